"""Move work off endpoints that are about to leave.

What lasts is stopped at once and started elsewhere, as a crash would only be
noticed when its lease is over; what checkpoints is stopped if it can't end in
the time that is left, and goes on elsewhere without loss.
"""

import typing

from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

MIN_NOTICE_S = 1.5  # what an endpoint surely serves on after its notice


def move_runs(engine: 'engines.Engine', now: float) -> None:
    """Stop runs on leaving endpoints that wouldn't end there."""
    for endpoint in engine.endpoints.values():
        if endpoint.entry is None or not endpoint.entry.draining:
            continue
        for allocation in list(endpoint.allocations.values()):
            if _should_move(engine, allocation, now):
                assert allocation.task is not None
                engine.stop(allocation.task, 'its endpoint leaves', now)


def _should_move(
    engine: 'engines.Engine', allocation: state.Allocation, now: float
) -> bool:
    task = allocation.task
    if task is None or allocation.stop_requested_at:
        return False
    if task.status is not state.Status.RUNNING or task.run != allocation.run:
        return False
    spec = task.step.spec
    if spec.long_running:
        return True
    if not spec.resumable:
        return False
    remaining = task.started + engine.estimates.run_time(task.step) - now
    return remaining > MIN_NOTICE_S
