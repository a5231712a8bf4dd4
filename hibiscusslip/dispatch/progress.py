"""Judge from the progress of runs which endpoints are slow or stand still.

The pattern it answers: endpoints whose health is good while their tasks take
several times as long, or don't get on at all. They look idle soon, so that
the next tasks would go there as well.
"""

import typing

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

WEIGHT = 0.3  # of one run in the slowness of its endpoint
FORGET_S = 6.0  # slowness fades to normal in about this time
SLOW = 1.8
LEAST_ELAPSED_S = 0.4
LEAST_PERCENT = 10
STILL_S = 1.0
STILL_SHARE = 0.25  # of the run time that a task may seem to stand still
PATIENCE = 3  # times as long with each stop: its estimate may be far off
DISTRUST_S = 3.0
FULL = 100


def slowness(endpoint: state.Endpoint, now: float) -> float:
    """Return how many times as long as elsewhere tasks take, about."""
    age = max(now - endpoint.slow_at, 0.0)
    kept = max(1.0 - age / FORGET_S, 0.0)
    return 1.0 + (endpoint.slowness - 1.0) * kept


def is_slow(endpoint: state.Endpoint, now: float) -> bool:
    """Tell whether tasks should rather go elsewhere."""
    return slowness(endpoint, now) > SLOW


def note_time(
    endpoint: state.Endpoint, expected: float, real: float, now: float
) -> None:
    """Take note of how long a run took, or will take, against others."""
    ratio = min(real / max(expected, 0.05), 10.0)
    known = slowness(endpoint, now)
    endpoint.slowness = known + WEIGHT * (ratio - known)
    endpoint.slow_at = now


def watch(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    booking: state.Allocation,
    row: model.RunningRun,
    now: float,
) -> None:
    """Take note of a run's progress; stop one that stands still."""
    task = booking.task
    if task is None or task.step.spec.long_running or booking.paced < FULL:
        booking.moved_at = now
        return
    if row.percent != booking.percent or not booking.moved_at:
        booking.percent = row.percent
        booking.moved_at = now
    elapsed = now - task.started if task.started else 0.0
    expected = engine.estimates.run_time(task.step)
    if elapsed > LEAST_ELAPSED_S and row.percent >= LEAST_PERCENT:
        if not task.checkpoint:
            total = elapsed * FULL / row.percent
            if total > SLOW * expected:
                note_time(endpoint, expected, total, now)
    still = now - booking.moved_at
    patience = (STILL_S + STILL_SHARE * expected) * PATIENCE**task.stalls
    if still > patience and not booking.stopping:
        task.stalls += 1
        engine.note(
            'run_stands_still',
            task=task.name,
            run=row.run,
            endpoint=endpoint.name,
            percent=row.percent,
            seconds=round(still, 2),
        )
        endpoint.trust_after = now + DISTRUST_S
        engine.stop(task, 'stands still', now)
