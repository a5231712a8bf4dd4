"""Detect slow endpoints and stalled runs by the progress of runs.

An endpoint can pass its health checks while its tasks take several times as
long as expected, or make no progress at all. It soon looks idle, which would
attract the next tasks as well.
"""

import typing

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import run_learning
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

RUN_WEIGHT = 0.3  # of one run in the slowness of its endpoint
SLOWNESS_FADE_S = 6.0  # after this time the slowness is back to normal
SLOW_RATIO = 1.8  # of actual to expected run time
MIN_ELAPSED_S = 0.4
MIN_PERCENT = 10
MIN_STALL_S = 1.0
STALL_SHARE = 0.25  # of the expected run time is tolerated without progress
STALL_BACKOFF = 3  # factor for each earlier stall, as the estimate may be off
QUARANTINE_S = 3.0
FULL_PERCENT = 100


def slowness(endpoint: state.Endpoint, now: float) -> float:
    """Return the average ratio of actual to expected run times.

    It fades to 1 while it isn't updated.
    """
    age = max(now - endpoint.slowness_updated_at, 0.0)
    weight = max(1.0 - age / SLOWNESS_FADE_S, 0.0)
    return 1.0 + (endpoint.slowness - 1.0) * weight


def is_slow(endpoint: state.Endpoint, now: float) -> bool:
    """Return True if tasks should go to other endpoints if possible."""
    if endpoint.slowness <= SLOW_RATIO:
        return False  # as it fades; spares most endpoints the computation
    return slowness(endpoint, now) > SLOW_RATIO


def update_slowness(
    endpoint: state.Endpoint, expected: float, actual: float, now: float
) -> None:
    """Update an endpoint's slowness with an actual or projected run time."""
    ratio = min(actual / max(expected, 0.05), 10.0)
    known = slowness(endpoint, now)
    endpoint.slowness = known + RUN_WEIGHT * (ratio - known)
    endpoint.slowness_updated_at = now


def watch_progress(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    allocation: state.Allocation,
    row: model.RunningRun,
    now: float,
) -> None:
    """Record the progress of a run, and stop it if it has stalled.

    Long-running tasks and throttled runs aren't expected to progress.
    """
    task = allocation.task
    if (
        task is None
        or task.step.spec.long_running
        or allocation.pace_percent < FULL_PERCENT
    ):
        allocation.progressed_at = now
        return
    if row.percent != allocation.percent or not allocation.progressed_at:
        allocation.percent = row.percent
        allocation.progressed_at = now
    expected = engine.estimates.run_time_on(task.step, endpoint)
    _learn_from_progress(engine, endpoint, allocation, row, expected, now)
    _stop_if_stalled(engine, endpoint, allocation, row, expected, now)


def _learn_from_progress(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    allocation: state.Allocation,
    row: model.RunningRun,
    expected: float,
    now: float,
) -> None:
    """Learn from a run that takes longer than the `expected` seconds."""
    task = allocation.task
    assert task is not None
    started_at = task_runs.started_at(task, row.run)
    elapsed = now - started_at if started_at else 0.0
    is_measured = run_learning.is_measured(engine.estimates, task, allocation)
    if is_measured:
        run_learning.learn_if_overdue(
            engine.estimates, endpoint, task, allocation, now
        )
    if elapsed > MIN_ELAPSED_S and row.percent >= MIN_PERCENT:
        if is_measured:
            projected = elapsed * FULL_PERCENT / row.percent
            if projected > SLOW_RATIO * expected:
                update_slowness(endpoint, expected, projected, now)


def _stop_if_stalled(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    allocation: state.Allocation,
    row: model.RunningRun,
    expected: float,
    now: float,
) -> None:
    task = allocation.task
    assert task is not None
    stalled_s = now - allocation.progressed_at
    stall_limit_s = (
        MIN_STALL_S + STALL_SHARE * expected
    ) * STALL_BACKOFF**task.stalls
    if stalled_s > stall_limit_s and not allocation.stop_requested_at:
        task.stalls += 1
        allocation.measurable = False
        engine.note(
            'run_stands_still',
            task=task.name,
            run=row.run,
            endpoint=endpoint.name,
            percent=row.percent,
            seconds=round(stalled_s, 2),
        )
        endpoint.quarantined_until = now + QUARANTINE_S
        engine.stop(task, 'stands still', now, row.run)
