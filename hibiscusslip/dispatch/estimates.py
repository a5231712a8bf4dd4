"""Estimate run times and derive from them by when a job should complete."""

import dataclasses

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import parallelism
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import run_time_ratios
from hibiscusslip.dispatch import run_times
from hibiscusslip.dispatch import speeds
from hibiscusslip.dispatch import state

LEARNING_RATE = 0.1
MIN_RATIO = 0.2
MAX_RATIO = 5.0
LATE_FACTOR = 3.0  # a job that takes longer than 3x its objective is worthless
MIN_DECLARED_S = run_times.MIN_DECLARED_S
# A run past its high quantile is expected to go on for half as long again.
OVERDUE_SHARE = 0.5
# With fewer runs an end is mostly that by the declared time, which may be
# wrong by a factor of two.
MIN_RUNS_TO_RELY = 8
# Closer to 1 a ratio changes few decisions, and isn't worth its bytes.
MIN_REPORTED_DIFFERENCE = 0.1
MAX_CACHED = 10_000
MIN_STEPS_TO_KEEP_PATHS = 4
DEFAULT_QUEUE = model.Queue('', '', '', '')


@dataclasses.dataclass(frozen=True, slots=True)
class Objective:
    """The deadlines of a job, on the host's clock.

    The job is on time until the first, and of some use until the second.
    """

    on_time_until: float
    useful_until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Expectation:
    """The expected run time of a task on an endpoint of ordinary speed.

    `median` and `high`, a high quantile, are in seconds. They derive from
    `runs` finished runs of the group that `source` names.
    """

    median: float
    high: float
    runs: int
    source: str


class Estimates:
    """Estimate run times, by default by each queue's mean ratio.

    The ratio is that of actual to declared run times. `policy` says whether
    distributions of run times and the speeds of endpoints are used instead;
    both are learned if one of them is used, in `run_times` and `speeds`.
    `run_time_ratios` measures how accurate the estimates are. `unlogged_steps`
    are new steps whose expected run time hasn't been logged.
    """

    def __init__(self, policy: policies.Policy = policies.Policy()) -> None:
        self.policy = policy
        self.run_times = run_times.RunTimes()
        self.speeds = speeds.Speeds()
        self.run_time_ratios = run_time_ratios.RunTimeRatios()
        self._ratios: dict[str, float] = {}
        self._ratios_version = 0
        self._expected: dict[tuple[str, str, str, float], Expectation] = {}
        self._paths: dict[str, list[float]] = {}
        self.unlogged_steps: list[state.StepState] = []
        self.parallelism = parallelism.Parallelism()
        self._version = (0, 0)
        self._paths_version = 0
        self._reported: dict[str, float] = {}
        self._reported_version = 0

    @property
    def learns(self) -> bool:
        """Return True if run times and speeds are learned."""
        return self.policy.learned_run_times or self.policy.endpoint_speeds

    def learn(self, queue: str, declared: float, actual: float) -> None:
        """Update a queue's ratio with a run that is done."""
        ratio = clamp_ratio(actual / max(declared, MIN_DECLARED_S))
        known = self._ratios.get(queue, 1.0)
        self._ratios[queue] = known + LEARNING_RATE * (ratio - known)
        self._ratios_version += 1

    def expect_ratio(self, queue: str, ratio: float) -> None:
        """Expect the tasks of a queue to take `ratio` times what they declare.

        This is for estimates that don't learn.
        """
        self._ratios[queue] = clamp_ratio(ratio)
        self._ratios_version += 1

    def expect_initially(self, ratios: dict[str, float]) -> None:
        """Begin with the ratios of queues that a former owner reported."""
        self.run_times.expect_initially(
            {queue: clamp_ratio(ratio) for queue, ratio in ratios.items()}
        )

    def reported_ratios(self) -> dict[str, float]:
        """Return the ratios of queues that are reported to other hosts.

        They are rounded to hundredths, those used last first. Queues whose
        jobs take about as long as they declare are left out.
        """
        if not self.policy.learned_run_times:
            return {}
        version = self.run_times.version
        if self._reported_version != version:
            self._reported_version = version
            known = self.run_times.queue_ratios(MIN_RUNS_TO_RELY)
            rounded = {q: round(clamp_ratio(r), 2) for q, r in known.items()}
            self._reported = {
                queue: ratio
                for queue, ratio in rounded.items()
                if round(abs(ratio - 1.0), 2) >= MIN_REPORTED_DIFFERENCE
            }
        return self._reported

    def run_time(self, step: state.StepState) -> float:
        """Return the expected run time of a step's tasks, in seconds."""
        return self._run_time(step.job, step.spec)

    def run_time_on(
        self, step: state.StepState, endpoint: state.Endpoint
    ) -> float:
        """Return the expected run time on an endpoint, in seconds."""
        return self.run_time(step) / self.speed_factor(endpoint)

    def expect(self, step: state.StepState) -> Expectation:
        """Return the expected run time of a step's tasks."""
        if not self.policy.learned_run_times:
            run_time = self.run_time(step)
            return Expectation(run_time, run_time, 0, 'declared')
        return self.expect_learned(step)

    def expect_learned(self, step: state.StepState) -> Expectation:
        """Return the expected run time by what is learned."""
        return self._learned(step.job, step.spec)

    def knows(self, step: state.StepState) -> bool:
        """Return True if the end of a step's runs can be relied on."""
        return (
            self.policy.learned_run_times
            and self.expect_learned(step).runs >= MIN_RUNS_TO_RELY
        )

    def work_time(self, job: state.Job, spec: model.Step) -> float:
        """Return the run time to count for a new job's step, in seconds.

        It is the declared one unless run times are learned.
        """
        if not self.policy.learned_run_times:
            return spec.estimate
        return self._learned(job, spec).median

    def expected_end(
        self,
        task: state.Task,
        endpoint: state.Endpoint,
        started_at: float,
        now: float,
    ) -> float:
        """Return when a run should end, on the host's clock.

        Of a run that has taken longer than expected, what is learned tells
        how much longer it may take.
        """
        speed = self.speed_factor(endpoint)
        if not self.policy.learned_run_times:
            return started_at + self.run_time(task.step) / speed
        expected = self.expect_learned(task.step)
        for run_time in (expected.median, expected.high):
            if started_at + run_time / speed > now:
                return started_at + run_time / speed
        return now + OVERDUE_SHARE * (now - started_at)

    def speed_of(self, endpoint: state.Endpoint) -> speeds.Speed:
        """Return what is known of an endpoint's speed."""
        entry = endpoint.entry
        if entry is None:
            return speeds.UNKNOWN
        return self.speeds.speed(endpoint.name, entry.service, entry.kind)

    def speed_factor(self, endpoint: state.Endpoint) -> float:
        """Return an endpoint's speed, 1 unless speeds are considered."""
        if not self.policy.endpoint_speeds:
            return 1.0
        return self.speed_of(endpoint).factor

    def critical_path(self, job: state.Job, start: int = 0) -> float:
        """Return the length of the critical path from a step on, in seconds.

        For step 0 it is the critical path of the whole job. Waves of the step
        that are done don't count.
        """
        lengths = self._path_lengths(job)
        left = lengths[start] - self._time_done(job, start)
        return max(left, *lengths[1:]) if start == 0 and lengths[1:] else left

    def objective(self, job: state.Job, queue: model.Queue) -> Objective:
        """Return the deadlines of a job."""
        allowed = (
            queue.stretch * max(self._path_lengths(job)) + queue.target_latency
        )
        return Objective(
            job.submitted_at + allowed,
            job.submitted_at + LATE_FACTOR * allowed,
        )

    def _run_time(self, job: state.Job, spec: model.Step) -> float:
        if not self.policy.learned_run_times:
            return spec.estimate * self._ratios.get(job.queue, 1.0)
        return self._learned(job, spec).median

    def _path_lengths(self, job: state.Job) -> list[float]:
        """Return the length of the critical path from each step on."""
        if not self._keeps_paths(job):
            return self._compute_path_lengths(job)
        self._drop_outdated()
        lengths = self._paths.get(job.job_id)
        if lengths is None:
            lengths = self._compute_path_lengths(job)
            self._paths[job.job_id] = lengths
        return lengths

    def _keeps_paths(self, job: state.Job) -> bool:
        """Return True if computing a job's paths takes long.

        Each of its steps in each occurrence is ranked by them in each pass.
        """
        if self.policy.learned_run_times:
            return True
        return len(job.spec.steps) >= MIN_STEPS_TO_KEEP_PATHS

    def _compute_path_lengths(self, job: state.Job) -> list[float]:
        steps = job.spec.steps
        lengths = [
            self._run_time(job, step)
            * self.parallelism.waves(job, step, step.count)
            for step in steps
        ]
        own = lengths.copy()
        for number in range(len(steps) - 1, -1, -1):
            for dependency in steps[number].after:
                lengths[dependency] = max(
                    lengths[dependency], own[dependency] + lengths[number]
                )
        return lengths

    def _time_done(self, job: state.Job, number: int) -> float:
        """Return the length of a step's waves that are done, in seconds.

        Of a periodic job it is that of the newest occurrence.
        """
        spec = job.spec.steps[number]
        waves = self.parallelism.waves(job, spec, spec.count)
        if waves == 1 or not job.occurrences:
            return 0.0
        step = job.occurrences[next(reversed(job.occurrences))][number]
        left = self.parallelism.waves(job, spec, spec.count - step.done_count)
        return self._run_time(job, spec) * (waves - left)

    def _learned(self, job: state.Job, spec: model.Step) -> Expectation:
        self._drop_outdated()
        key = (job.queue, spec.image, job.organisation, spec.estimate)
        expected = self._expected.get(key)
        if expected is None:
            work = run_times.Work(*key)
            ratios = self.run_times.expect(work)
            expected = self._expected[key] = Expectation(
                work.base * ratios.median,
                work.base * ratios.high,
                ratios.runs,
                ratios.source,
            )
        return expected

    def _drop_outdated(self) -> None:
        """Empty the caches if they are outdated or full."""
        version = (self.run_times.version, self.parallelism.version)
        if (
            self._version != version
            or len(self._expected) >= MAX_CACHED
            or len(self._paths) >= MAX_CACHED
        ):
            self._version = version
            self._expected.clear()
            self._paths.clear()
        if self._paths_version != self._ratios_version:
            self._paths_version = self._ratios_version
            self._paths.clear()


def clamp_ratio(ratio: float) -> float:
    """Return a ratio within what is plausible.

    It bounds the effect of a queue whose declarations are false.
    """
    return min(max(ratio, MIN_RATIO), MAX_RATIO)
