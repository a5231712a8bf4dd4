"""Move work off draining endpoints.

A long-running task is stopped at once and started elsewhere: if it were left
to terminate with its endpoint, the loss of the run would only be known once
its lease has expired.
A task that checkpoints is stopped if it won't complete in the time that is
left, and resumes elsewhere without loss of work. Other tasks stay.
"""

import typing

from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

MIN_NOTICE_S = 1.5  # an endpoint keeps running at least so long once it drains


def move_runs(engine: 'engines.Engine', now: float) -> None:
    """Stop the runs on draining endpoints that have to move."""
    for endpoint in engine.endpoints.values():
        if endpoint.entry is None or not endpoint.entry.draining:
            continue
        for allocation in list(endpoint.allocations.values()):
            if _should_move(engine, endpoint, allocation, now):
                assert allocation.task is not None
                engine.stop(allocation.task, 'its endpoint leaves', now)


def _should_move(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    allocation: state.Allocation,
    now: float,
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
    end = engine.estimates.expected_end(task, endpoint, task.started_at, now)
    return end - now > MIN_NOTICE_S
