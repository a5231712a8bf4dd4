"""Find the runs of which copies are worth their capacity, and places."""

import collections.abc
import dataclasses
import itertools

from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import copies
from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import feasibility
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import ordering
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import state

FRESH_PROGRESS_S = 1.0  # a run without progress for so long may hang
MIN_PERCENT = 10  # below, a projection is too uncertain
FULL_PERCENT = 100
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Straggler:
    """A run to be copied, and the inputs of that decision."""

    task: state.Task
    endpoint: state.Endpoint
    run: copies.Observation
    expected: estimates.Expectation
    rank: ordering.Rank

    def log_fields(self) -> dict[str, object]:
        """Return what is logged of the decision."""
        run = self.run
        remaining = run.remaining
        return {
            'job': self.task.step.job.job_id,
            'task': self.task.name,
            'copied_run': self.task.run,
            'copied_from': self.endpoint.name,
            'reason': str(copies.reason_to_copy(run, self.expected)),
            'elapsed_ms': int(run.elapsed * MS_PER_S),
            'remaining_ms': (
                int(remaining * MS_PER_S) if remaining < float('inf') else None
            ),
            'suspected_ms': int(run.suspected_for * MS_PER_S),
            'speed': round(run.speed, 2),
            'median_ms': int(self.expected.median * MS_PER_S),
            'high_ms': int(self.expected.high * MS_PER_S),
            'runs': self.expected.runs,
            'source': self.expected.source,
            'slack_ms': int(self.rank.slack * MS_PER_S),
            'late': self.rank.late,
        }


def allows_copies(step: state.StepState) -> bool:
    """Return True if a step's tasks may have a second run."""
    spec = step.spec
    return spec.speculative and not (
        spec.gang or spec.long_running or spec.fills
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Finder:
    """Find stragglers as of `now` among the tasks of steps.

    `on_time` has two runs that are on time, if any, of each endpoint that was
    looked at: whichever run is a straggler, one of them is another.
    """

    endpoints: dict[str, state.Endpoint]
    run_times: estimates.Estimates
    queue_of: collections.abc.Callable[[state.Job], model.Queue]
    now: float
    on_time: dict[str, list[state.Allocation]] = dataclasses.field(
        default_factory=dict
    )

    def find(
        self, steps: collections.abc.Iterable[state.StepState]
    ) -> list[Straggler]:
        """Return the runs to be copied, the most urgent first."""
        found = []
        for step in steps:
            job = step.job
            if not allows_copies(step) or job.state.final:
                continue
            if not job.within_entitlement:
                continue
            found += self._find_in_step(step)
        found.sort(key=lambda straggler: straggler.rank)
        return found

    def _find_in_step(self, step: state.StepState) -> list[Straggler]:
        expected = self.run_times.expect(step)
        suspects = self._suspects(step, expected)
        if not suspects:
            return []
        rank = self._rank(step)
        if not copies.is_urgent(rank, expected):
            return []
        found = []
        for task, endpoint in suspects:
            run = self._examine(task, endpoint, expected)
            if run is not None:
                found.append(Straggler(task, endpoint, run, expected, rank))
        return found

    def _suspects(
        self, step: state.StepState, expected: estimates.Expectation
    ) -> list[tuple[state.Task, state.Endpoint]]:
        """Return the tasks to examine; a cheap check leaves out the most."""
        started_before = self.now - copies.min_elapsed(expected)
        suspects = []
        for task in step.tasks:
            if not task.status.placed or task.copy_run:
                continue
            endpoint = self.endpoints.get(task.endpoint)
            if endpoint is None:
                continue
            if task.started_at <= started_before or endpoint.suspected_at:
                suspects.append((task, endpoint))
        return suspects

    def _examine(
        self,
        task: state.Task,
        endpoint: state.Endpoint,
        expected: estimates.Expectation,
    ) -> copies.Observation | None:
        """Return what is known of a run if there is a reason to copy it."""
        allocation = endpoint.allocations.get((task.name, task.run))
        if allocation is None or allocation.stop_requested_at:
            return None
        run = self._observe(endpoint, allocation)
        if copies.reason_to_copy(run, expected) is None:
            return None
        if not self._may_copy(task, allocation):
            return None
        run = self._observe_peers(endpoint, allocation, run)
        if copies.reason_to_copy(run, expected) is None:
            return None
        return run

    def _may_copy(
        self, task: state.Task, allocation: state.Allocation
    ) -> bool:
        """Return False if a second run could do harm.

        A run on probation may crash the endpoint of its copy as well.
        """
        max_attempts = self.queue_of(task.step.job).max_attempts
        return (
            not task.on_trial
            and not allocation.on_probation
            and self.now >= task.not_before
            and copies.may_fail(task.failures, max_attempts)
        )

    def _observe(
        self, endpoint: state.Endpoint, allocation: state.Allocation
    ) -> copies.Observation:
        suspected_at = endpoint.suspected_at
        return copies.Observation(
            self._elapsed(allocation),
            self._remaining(allocation),
            self.now - suspected_at if suspected_at else 0.0,
            self.run_times.speed_factor(endpoint),
        )

    def _observe_peers(
        self,
        endpoint: state.Endpoint,
        allocation: state.Allocation,
        run: copies.Observation,
    ) -> copies.Observation:
        """Add whether other runs on the endpoint are on time."""
        on_time = self._find_on_time(endpoint, run.speed)
        peers_on_time = any(other is not allocation for other in on_time)
        return dataclasses.replace(run, peers_on_time=peers_on_time)

    def _find_on_time(
        self, endpoint: state.Endpoint, speed: float
    ) -> list[state.Allocation]:
        """Return two runs on an endpoint that are on time, if there are."""
        found = self.on_time.get(endpoint.name)
        if found is None:
            on_time = (
                allocation
                for allocation in endpoint.allocations.values()
                if self._is_on_time(allocation, speed)
            )
            found = list(itertools.islice(on_time, 2))
            self.on_time[endpoint.name] = found
        return found

    def _elapsed(self, allocation: state.Allocation) -> float:
        assert allocation.task is not None
        return self.now - (allocation.task.started_at or allocation.decided_at)

    def _remaining(self, allocation: state.Allocation) -> float:
        """Return how long a run still takes if it progresses as before.

        Percentages are cut off, so the next one may be nearly reached.
        """
        age = self.now - allocation.progressed_at
        if age > FRESH_PROGRESS_S:
            return float('inf')
        percent = min(allocation.percent + 1, FULL_PERCENT)
        left = FULL_PERCENT - percent
        return self._elapsed(allocation) * left / percent

    def _is_on_time(self, allocation: state.Allocation, speed: float) -> bool:
        """Return True if a run progresses as expected."""
        task = allocation.task
        if task is None or task.run != allocation.run or task.checkpoint:
            return False
        if task.step.spec.long_running or task.step.spec.fills:
            return False
        if not MIN_PERCENT <= allocation.percent < FULL_PERCENT:
            return False
        total = self._elapsed(allocation) + self._remaining(allocation)
        expected = self.run_times.expect(task.step)
        return total <= copies.overdue_after(expected, speed)

    def _rank(self, step: state.StepState) -> ordering.Rank:
        queue = self.queue_of(step.job)
        return ordering.rank(
            step,
            self.run_times.objective(step.job, queue),
            self.run_times.critical_path(step.job, step.number),
            queue.priority,
            self.now,
        )


class Budget:
    """What copies may use in a pool during one scheduling pass.

    It is what is left once the pool's waiting steps have got what they need.
    """

    def __init__(
        self,
        pool: list[state.Endpoint],
        candidates: candidate_pool.Candidates,
        steps: collections.abc.Iterable[state.StepState],
    ) -> None:
        service = pool[0].entry.service if pool[0].entry is not None else ''
        own = [step for step in steps if step.job.service == service]
        runs = sum(len(endpoint.allocations) for endpoint in pool)
        self._copies_left = copies.max_copies(runs) - sum(
            task.second is not None
            for step in own
            if allows_copies(step)
            for task in step.tasks
        )
        self._spare = _free_capacity(candidates)
        for step in own:
            self._spare = self._spare - _awaited(step, candidates)

    def admits(self, demand: model.Demand) -> bool:
        """Return True if one more copy may be started."""
        spare = self._spare
        return (
            self._copies_left > 0
            and (not demand.cpu or demand.cpu <= spare.cpu)
            and (not demand.memory or demand.memory <= spare.memory)
            and (
                not demand.accelerators
                or demand.accelerators <= spare.accelerators
            )
        )

    def spend(self, demand: model.Demand) -> None:
        """Subtract a copy that was started."""
        self._copies_left -= 1
        self._spare = self._spare - demand


def _free_capacity(candidates: candidate_pool.Candidates) -> model.Demand:
    free = candidates.all
    return model.Demand(
        sum(candidate.cpu for candidate in free),
        sum(candidate.memory for candidate in free),
        sum(candidate.accelerators for candidate in free),
    )


def _awaited(
    step: state.StepState, candidates: candidate_pool.Candidates
) -> model.Demand:
    """Return the demand of a step's tasks that wait for their start."""
    if not step.job.within_entitlement or not step.ready:
        return model.Demand()
    count = feasibility.count_placeable(step, candidates, False)
    demand = step.spec.allocated_demand
    return model.Demand(
        count * demand.cpu,
        count * demand.memory,
        count * demand.accelerators,
    )


def choose(
    straggler: Straggler, candidates: list[candidate_pool.Candidate]
) -> placement.Choice | None:
    """Choose where to start a copy, in another zone if possible."""
    task = straggler.task
    others = [
        candidate
        for candidate in candidates
        if candidate.endpoint is not straggler.endpoint and not candidate.slow
    ]
    elsewhere = [
        candidate
        for candidate in others
        if candidate.entry.zone != straggler.endpoint.zone
    ]
    for options in (elsewhere, others):
        choices = placement.choose(task.step, [task], options)
        if choices:
            return choices[0]
    return None
