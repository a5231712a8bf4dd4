"""Summarise the capacity and the queues of each service."""

import dataclasses

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The load of a service, as it is logged.

    `usable` counts the endpoints that may get work. The CPU, in cores, and
    the accelerators are those of these endpoints. `waiting` counts the
    waiting tasks of steps that are ready, by queue.
    """

    service: str
    endpoints: int
    usable: int
    cpu: int
    cpu_used: int
    accelerators: int
    accelerators_used: int
    waiting: dict[str, int]


def summarise(engine: engines.Engine, now: float) -> list[ServiceLoad]:
    """Return the load of each service that has endpoints."""
    waiting = _count_waiting(engine)
    return [
        _summarise_service(name, pool, waiting.get(name, {}), now)
        for name, pool in engine.pools().items()
    ]


def count_pending(engine: engines.Engine) -> dict[str, int]:
    """Return the number of jobs without a started task, by queue."""
    counts: dict[str, int] = {}
    for job in engine.jobs.values():
        if not job.has_started and not job.state.final:
            counts[job.queue] = counts.get(job.queue, 0) + 1
    return counts


def _count_waiting(engine: engines.Engine) -> dict[str, dict[str, int]]:
    waiting: dict[str, dict[str, int]] = {}
    for step in engine.active_steps.values():
        if not step.ready:
            continue
        queues = waiting.setdefault(step.job.service, {})
        queue = step.job.queue
        queues[queue] = queues.get(queue, 0) + len(step.waiting())
    return waiting


def _summarise_service(
    name: str,
    pool: list[state.Endpoint],
    waiting: dict[str, int],
    now: float,
) -> ServiceLoad:
    usable = [e for e in pool if e.usable(now)]
    capacity = model.Demand()
    used = model.Demand()
    for endpoint in usable:
        assert endpoint.entry is not None
        capacity = capacity + endpoint.entry.capacity
        used = used + endpoint.used
    return ServiceLoad(
        name,
        len(pool),
        len(usable),
        capacity.cpu // 1000,
        used.cpu // 1000,
        capacity.accelerators,
        used.accelerators,
        {queue: count for queue, count in waiting.items() if count},
    )
