"""Have work that checkpoints yield to a burst of the most urgent queue.

The pattern it answers: 2.5 times the usual urgent work for some seconds, on a
pool whose rest is filled by long tasks with much time to spare. What was kept
free is used up in a second, while the long tasks lose little by a stop: they
go on later from their last checkpoint.
"""

import typing

from hibiscusslip.dispatch import _headroom
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

PATIENCE_S = 0.15  # urgent work that waits shorter is served by what ends
MOST_SHARE = 0.1  # of a pool that may be on its way out at a time
LEAST_RUN_S = 1.0  # a run that has just begun is left alone


def make_room(
    engine: 'engines.Engine',
    service: str,
    pool: list[state.Endpoint],
    wanted: float,
    now: float,
) -> None:
    """Stop what yields for so many thousandths of a core of urgent work."""
    if wanted <= 0:
        engine.short_since.pop(service, None)
        return
    since = engine.short_since.setdefault(service, now)
    if now < since + PATIENCE_S:
        return
    size = sum(e.entry.capacity.cpu for e in pool if e.entry is not None)
    coming = _coming(pool)
    left = min(wanted, size * MOST_SHARE) - coming
    for task in _yielding(engine, service, pool, now):
        if left <= 0:
            return
        engine.stop(task, 'yields to urgent work', now)
        left -= task.step.spec.booked.cpu


def _coming(pool: list[state.Endpoint]) -> int:
    """Return what is on its way to be free, in thousandths of a core."""
    return sum(
        booking.demand.cpu
        for endpoint in pool
        for booking in endpoint.bookings.values()
        if booking.stopping
    )


def _yielding(
    engine: 'engines.Engine',
    service: str,
    pool: list[state.Endpoint],
    now: float,
) -> list[state.Task]:
    """Return tasks that lose little by a stop, the latest begun first."""
    urgent = _headroom.urgent_priority(engine.config, service) or 0
    found = []
    for endpoint in pool:
        for booking in endpoint.bookings.values():
            task = booking.task
            if task is None or booking.stopping:
                continue
            spec = task.step.spec
            if not spec.checkpoints or spec.gang or spec.lasts:
                continue
            if task.status is not state.Status.RUNNING:
                continue
            if now < task.started + LEAST_RUN_S:
                continue
            if engine.queue_of(task.step.job).priority > urgent:
                found.append(task)
    found.sort(key=lambda task: -task.started)
    return found
