"""Prepare what a scheduling pass uses of what is learned from runs."""

import typing

from hibiscusslip.dispatch import _scheduling_pass
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import ordering
from hibiscusslip.dispatch import preferences
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines


MS_PER_S = 1000
# A new owner has thousands of steps to log, which mustn't delay its passes.
MAX_LOGGED_STEPS = 200


def update_learned(current: _scheduling_pass.Pass) -> None:
    """Log what was learned, and compute what placement needs of it."""
    engine = current.engine
    engine.estimates.speeds.refresh(current.now)
    for shift in engine.estimates.run_times.take_shifts():
        engine.note(
            'run_times_shifted',
            group=shift.group,
            before=round(shift.before, 2),
            after=round(shift.after, 2),
            runs=shift.runs,
        )
    _log_expected(engine)
    if not engine.policy.endpoint_speeds:
        return
    for pool in current.candidates.values():
        for candidate in pool.all:
            candidate.set_speed(
                engine.estimates.speed_factor(candidate.endpoint)
            )
    current.largest = preferences.largest_demands(engine.active_steps.values())


def _log_expected(engine: 'engines.Engine') -> None:
    """Log the expected run times of new steps that wait."""
    unlogged_steps = engine.estimates.unlogged_steps
    steps = unlogged_steps[:MAX_LOGGED_STEPS]
    del unlogged_steps[:MAX_LOGGED_STEPS]
    for step in steps:
        if step.job.state.final or not step.has_waiting():
            continue
        expected = engine.estimates.expect(step)
        engine.note(
            'step_expected',
            step=step.name,
            expected_ms=int(expected.median * MS_PER_S),
            high_ms=int(expected.high * MS_PER_S),
            source=expected.source,
            source_runs=expected.runs,
        )


def update_forecast(
    current: _scheduling_pass.Pass,
    ranked: list[tuple[ordering.Rank, state.StepState]],
) -> None:
    """Predict the waits of new jobs from the steps that still wait.

    Nobody waits for hopeless ones.
    """
    engine = current.engine
    forecast = engine.shares.forecast
    if forecast.is_due(engine.config, current.now):
        assert engine.config is not None
        waiting = [item for item in ranked if not item[1].hopeless]
        forecast.update(
            engine.config,
            waiting,
            current.services,
            engine.estimates,
            current.now,
        )


def prefer(
    current: _scheduling_pass.Pass, step: state.StepState, rank: ordering.Rank
) -> preferences.Preference:
    """Return which endpoints suit a step, by its slack and their speeds."""
    estimates = current.engine.estimates
    if not estimates.policy.endpoint_speeds:
        return preferences.NONE
    return preferences.for_step(
        step,
        rank.slack,
        estimates.run_time(step),
        estimates.critical_path(step.job, step.number),
        current.largest.get(step.job.service, model.Demand()),
    )
