"""Learn run times and derive from them by when a job should complete."""

import dataclasses

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

LEARNING_RATE = 0.1
MIN_RATIO = 0.2
MAX_RATIO = 5.0
LATE_FACTOR = 3.0  # a job that takes longer than 3x its objective is worthless
MIN_DECLARED_S = 0.05
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
    """Estimate run times by each queue's ratio of actual to declared ones."""

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def learn(self, queue: str, declared: float, actual: float) -> None:
        """Update a queue's ratio with a run that is done."""
        ratio = actual / max(declared, MIN_DECLARED_S)
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        known = self._ratios.get(queue, 1.0)
        self._ratios[queue] = known + LEARNING_RATE * (ratio - known)

    def run_time(self, step: state.StepState) -> float:
        """Return the expected run time of a step's tasks, in seconds."""
        return step.spec.estimate * self._ratios.get(step.job.queue, 1.0)

    def expect(self, step: state.StepState) -> Expectation:
        """Return the expected run time of a step's tasks."""
        run_time = self.run_time(step)
        return Expectation(run_time, run_time, 0, 'declared')

    def critical_path(self, job: state.Job, start: int = 0) -> float:
        """Return the length of the critical path from a step on, in seconds.

        For step 0 it is the critical path of the whole job.
        """
        ratio = self._ratios.get(job.queue, 1.0)
        steps = job.spec.steps
        lengths = [step.estimate * ratio for step in steps]
        for number in range(len(steps) - 1, -1, -1):
            for dependency in steps[number].after:
                own = steps[dependency].estimate * ratio
                lengths[dependency] = max(
                    lengths[dependency], own + lengths[number]
                )
        return max(lengths) if start == 0 else lengths[start]

    def objective(self, job: state.Job, queue: model.Queue) -> Objective:
        """Return the deadlines of a job."""
        allowed = (
            queue.stretch * self.critical_path(job) + queue.target_latency
        )
        return Objective(
            job.submitted_at + allowed,
            job.submitted_at + LATE_FACTOR * allowed,
        )
