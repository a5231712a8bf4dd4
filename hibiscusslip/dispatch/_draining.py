"""Move work off endpoints that are about to leave.

What lasts is stopped at once and started elsewhere, as a crash would only be
noticed when its lease is over; what checkpoints is stopped if it can't end in
the time that is left, and goes on elsewhere without loss.
"""

import typing

from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

TIME_LEFT_S = 1.5  # what an endpoint surely serves on after its notice


def leave(engine: 'engines.Engine', now: float) -> None:
    """Stop runs on leaving endpoints that wouldn't end there."""
    for endpoint in engine.endpoints.values():
        if endpoint.entry is None or not endpoint.entry.draining:
            continue
        for booking in list(endpoint.allocations.values()):
            if _should_move(engine, booking, now):
                assert booking.task is not None
                engine.stop(booking.task, 'its endpoint leaves', now)


def _should_move(
    engine: 'engines.Engine', booking: state.Allocation, now: float
) -> bool:
    task = booking.task
    if task is None or booking.stopping:
        return False
    if task.status is not state.Status.RUNNING or task.run != booking.run:
        return False
    spec = task.step.spec
    if spec.long_running:
        return True
    if not spec.resumable:
        return False
    left = task.started + engine.estimates.run_time(task.step) - now
    return left > TIME_LEFT_S
