"""Keep processors of a service free for its most urgent queue.

The pattern it answers: long tasks that fill a pool up to the last core, so
that small urgent ones, which come in groups and have half a second to start,
find no room until one of the long ones ends.
"""

import dataclasses

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

SMOOTHING_S = 8.0
UPDATE_PERIOD_S = 0.1  # between two looks at all that is booked
USE_SHARE = 0.6  # of what the urgent queue uses on average
MAX_POOL_SHARE = 0.25  # of the pool


@dataclasses.dataclass(slots=True)
class Headroom:
    """Hold how many processors the urgent queue uses, smoothed."""

    use: float = 0.0
    updated: float = 0.0

    def is_stale(self, now: float) -> bool:
        """Tell whether the use has to be taken again."""
        return now >= self.updated + UPDATE_PERIOD_S

    def update(self, use: float, now: float) -> None:
        """Take the present use, in thousandths of a core."""
        weight = min(max(now - self.updated, 0.0) / SMOOTHING_S, 1.0)
        self.use += weight * (use - self.use)
        self.updated = now

    def target(self, pool: float) -> float:
        """Return what to keep free of a pool, in thousandths of a core."""
        return min(self.use * USE_SHARE, pool * MAX_POOL_SHARE)


def urgent_priority(
    config: model.Configuration | None, service: str
) -> int | None:
    """Return the first priority of a service if others come after it."""
    if config is None:
        return None
    priorities = {
        queue.priority
        for queue in config.queues.values()
        if queue.service == service
    }
    return min(priorities) if len(priorities) > 1 else None


def urgent_use(
    endpoints: list[state.Endpoint],
    queues: dict[str, model.Queue],
    priority: int,
) -> int:
    """Return what the urgent queues have booked, in thousandths of a core."""
    use = 0
    for endpoint in endpoints:
        for allocation in endpoint.allocations.values():
            if allocation.task is None:
                continue
            queue = queues.get(allocation.task.step.job.queue)
            if queue is not None and queue.priority <= priority:
                use += allocation.demand.cpu
    return use
