"""Tell when running tasks release the capacity that they hold; no I/O.

Only what is known from learned run times counts: a run whose end is hardly
known is taken to release its capacity at once.
"""

import collections.abc
import dataclasses
import heapq
import math
import zlib

from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs

PERIOD_S = 0.5  # to which ends are rounded up, so that few have to be added
# Bounds the cost of a forecast, which the owner computes between two passes.
MAX_SAMPLED_ENDPOINTS = 100
MILLICORES = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Describe capacity that runs hold until they end.

    They end `after` so many seconds, infinite for services, and belong to
    queues of this `priority`. `resumable` ones may be stopped for more urgent
    work, so there are none without urgent preemption.
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
    counted = [
        endpoint
        for endpoint in pool
        if endpoint.entry is not None and not endpoint.entry.draining
    ]
    sampled = _sample(counted)
    cpu_weight, accelerators_weight = _weights(counted, sampled)
    preempts = estimator.policy.urgent_preemption
    held: dict[tuple[float, int, bool], tuple[float, float]] = {}
    for endpoint in sampled:
        for allocation in endpoint.allocations.values():
            after = _seconds_left(estimator, endpoint, allocation, now)
            if after <= 0.0:
                continue
            assert allocation.task is not None
            step = allocation.task.step
            resumable = preempts and step.spec.resumable
            key = (after, priority_of(step.job), resumable)
            cores, accelerators = held.get(key, (0.0, 0.0))
            demand = allocation.demand
            held[key] = (
                cores + cpu_weight * demand.cpu / MILLICORES,
                accelerators + accelerators_weight * demand.accelerators,
            )
    return [
        Release(after, amounts, priority, resumable)
        for (after, priority, resumable), amounts in sorted(held.items())
    ]


def _sample(pool: list[state.Endpoint]) -> list[state.Endpoint]:
    """Return the endpoints to look at, the same while the pool is.

    They are chosen by a hash: endpoints of one size may recur at regular
    intervals in the order of the pool.
    """
    if len(pool) <= MAX_SAMPLED_ENDPOINTS:
        return pool
    return heapq.nsmallest(
        MAX_SAMPLED_ENDPOINTS, pool, key=lambda e: zlib.crc32(e.name.encode())
    )


def _weights(
    pool: list[state.Endpoint], sampled: list[state.Endpoint]
) -> tuple[float, float]:
    """Return what a sampled core and a sampled accelerator count for.

    Endpoints of different sizes are in the sample by chance, so it stands for
    the capacity of the pool rather than for the number of its endpoints.
    """
    if sampled is pool:
        return 1.0, 1.0
    cpu, accelerators = _capacity(pool)
    sampled_cpu, sampled_accelerators = _capacity(sampled)
    return (
        cpu / max(sampled_cpu, 1),
        accelerators / max(sampled_accelerators, 1),
    )


def _capacity(endpoints: list[state.Endpoint]) -> tuple[int, int]:
    capacities = [e.entry.capacity for e in endpoints if e.entry is not None]
    return (
        sum(capacity.cpu for capacity in capacities),
        sum(capacity.accelerators for capacity in capacities),
    )


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
