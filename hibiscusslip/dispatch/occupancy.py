"""Tell when running tasks release the capacity that they hold; no I/O.

Only what is known from learned run times counts: a run whose end is hardly
known is taken to release its capacity at once.
"""

import collections.abc
import dataclasses
import math

from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs

PERIOD_S = 0.5  # to which ends are rounded up, so that few have to be added
# Of a larger pool a part is looked at: all 10,000 runs of 2,500 endpoints take
# 133 ms each time, those of 100 endpoints 6 ms (`bench.learning`).
MAX_SAMPLED_ENDPOINTS = 100
MILLICORES = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Capacity that runs hold for so many seconds, infinite for services.

    They belong to queues of this `priority`. `resumable` ones may be stopped
    for more urgent work.
    """

    after: float
    amounts: tuple[float, float]  # cores, accelerators
    priority: int
    resumable: bool

    def blocks(self, beyond: bool, priority: int) -> bool:
        """Return False if the runs may be stopped for a new job."""
        return beyond or not self.resumable or self.priority <= priority


def find_releases(
    pool: collections.abc.Sequence[state.Endpoint],
    priority_of: collections.abc.Callable[[state.Job], int],
    estimator: estimates.Estimates,
    now: float,
) -> list[Release]:
    """Return what the runs of a pool release, the soonest first.

    Empty unless run times are learned.
    """
    if not estimator.policy.learned_run_times:
        return []
    stride = math.ceil(len(pool) / MAX_SAMPLED_ENDPOINTS) or 1
    sampled = pool[::stride]
    weight = len(pool) / max(len(sampled), 1)
    held: dict[tuple[float, int, bool], tuple[float, float]] = {}
    for endpoint in sampled:
        if endpoint.entry is None or endpoint.entry.draining:
            continue
        for allocation in endpoint.allocations.values():
            after = _seconds_left(estimator, endpoint, allocation, now)
            if after <= 0.0:
                continue
            assert allocation.task is not None
            step = allocation.task.step
            key = (after, priority_of(step.job), step.spec.resumable)
            cores, accelerators = held.get(key, (0.0, 0.0))
            demand = allocation.demand
            held[key] = (
                cores + weight * demand.cpu / MILLICORES,
                accelerators + weight * demand.accelerators,
            )
    return [
        Release(after, amounts, priority, resumable)
        for (after, priority, resumable), amounts in sorted(held.items())
    ]


def _seconds_left(
    estimator: estimates.Estimates,
    endpoint: state.Endpoint,
    allocation: state.Allocation,
    now: float,
) -> float:
    """Return for how long a run goes on, rounded up; 0 if that isn't known."""
    task = allocation.task
    if task is None or allocation.stop_requested_at:
        return 0.0
    if task.step.spec.long_running:
        return math.inf
    if not estimator.knows(task.step):
        return 0.0
    started_at = task_runs.started_at(task, allocation.run) or now
    end = estimator.expected_end(task, endpoint, started_at, now)
    return math.ceil((end - now) / PERIOD_S) * PERIOD_S
