"""Keep CPU of a service free for its most urgent queues.

Without headroom, long tasks fill a pool up to the last core. Small urgent
tasks, which arrive in groups and have half a second to start, would then
find no free capacity until a long task completes.
"""

import dataclasses

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

SMOOTHING_S = 8.0
UPDATE_PERIOD_S = 0.1  # between two scans of all allocations
USE_SHARE = 0.6  # of the average use of the urgent queues
MAX_POOL_SHARE = 0.25


@dataclasses.dataclass(slots=True)
class Headroom:
    """The moving average of the CPU that a service's urgent queues use.

    Before `next_preemption_at` nothing is preempted for these queues.
    """

    use: float = 0.0
    updated_at: float = 0.0
    next_preemption_at: float = 0.0

    def is_stale(self, now: float) -> bool:
        """Return True if the use is due for an update."""
        return now >= self.updated_at + UPDATE_PERIOD_S

    def update(self, use: float, now: float) -> None:
        """Add the present use, in thousandths of a core, to the average."""
        weight = min(max(now - self.updated_at, 0.0) / SMOOTHING_S, 1.0)
        self.use += weight * (use - self.use)
        self.updated_at = now

    def target(self, pool: float) -> float:
        """Return how much of a pool to keep free.

        Both are in thousandths of a core.
        """
        return min(self.use * USE_SHARE, pool * MAX_POOL_SHARE)


def urgent_priority(
    config: model.Configuration | None, service: str
) -> int | None:
    """Return the most urgent priority of a service.

    Returns None if all its queues have the same priority, unless there are
    organisations: jobs beyond an entitlement leave headroom then, too.
    """
    if config is None:
        return None
    priorities = config.index.priorities.get(service, ())
    if config.organisations is None and len(priorities) < 2:
        return None
    return min(priorities, default=None)


def urgent_use(
    endpoints: list[state.Endpoint],
    queues: dict[str, model.Queue],
    priority: int,
) -> int:
    """Return the CPU allocated to the urgent queues.

    These are the queues whose priority number is at most `priority`; jobs
    beyond an entitlement don't count. The CPU is in thousandths of a core.
    """
    use = 0
    for endpoint in endpoints:
        for allocation in endpoint.allocations.values():
            if allocation.task is None:
                continue
            job = allocation.task.step.job
            queue = queues.get(job.queue)
            if queue is None or not job.within_entitlement:
                continue
            if queue.priority <= priority:
                use += allocation.demand.cpu
    return use
