"""Learn run times and speeds from the runs of tasks.

The duration of a run is divided into the length of its work and the speed of
its endpoint. Only runs that tell the length are used; see
`state.Allocation`. A run that was stopped, or goes on beyond what was
expected, tells that its work takes at least so long.
"""

from hibiscusslip.dispatch import estimates as run_estimates
from hibiscusslip.dispatch import run_times
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs

MIN_RUNS_FOR_SPEED = 8  # that the expected run time must derive from
# Of a run that is learned of twice, when it is overdue and when it ends.
HALF_WEIGHT = 0.5


def is_measured(
    estimates: run_estimates.Estimates,
    task: state.Task,
    allocation: state.Allocation | None,
) -> bool:
    """Return True if a run's duration tells the length of its work."""
    if not estimates.learns:
        return not task.checkpoint
    return (
        allocation is not None
        and allocation.measurable
        and not allocation.recovered
    )


def learn_done(
    estimates: run_estimates.Estimates,
    endpoint: state.Endpoint,
    task: state.Task,
    allocation: state.Allocation | None,
    now: float,
) -> None:
    """Learn from a run that is done and that `is_measured`."""
    step = task.step
    actual = now - task.started_at
    queue, declared = step.job.queue, step.spec.estimate
    if not estimates.learns or allocation is None:
        estimates.learn(queue, declared, actual)
        return
    speed = estimates.speed_of(endpoint)
    length = actual * speed.factor
    expected = estimates.expect_learned(step)
    estimates.errors.add(queue, length, expected.median, declared)
    if not step.spec.gang and expected.runs >= MIN_RUNS_FOR_SPEED:
        _learn_speed(estimates, endpoint, step, actual / expected.median, now)
    if speed.plausible:
        estimates.learn(queue, declared, length)
        weight = _weight(allocation)
        _learn_length(estimates, task, length, now, weight, False)


def learn_stopped(
    estimates: run_estimates.Estimates,
    endpoint: state.Endpoint,
    task: state.Task,
    allocation: state.Allocation | None,
    now: float,
) -> None:
    """Learn from a run that was stopped before its end."""
    if estimates.learns and allocation is not None:
        if task.started_at and is_measured(estimates, task, allocation):
            elapsed = now - task.started_at
            weight = _weight(allocation)
            _learn_bound(estimates, endpoint, task, elapsed, now, weight)


def learn_if_overdue(
    estimates: run_estimates.Estimates,
    endpoint: state.Endpoint,
    task: state.Task,
    allocation: state.Allocation,
    now: float,
) -> None:
    """Learn once from a run that goes on for longer than expected."""
    started_at = task_runs.started_at(task, allocation.run)
    if not estimates.learns or allocation.overdue or not started_at:
        return
    elapsed = now - started_at
    speed = estimates.speed_of(endpoint)
    high = estimates.expect_learned(task.step).high
    if elapsed * speed.factor > high:
        _learn_bound(estimates, endpoint, task, elapsed, now, HALF_WEIGHT)
        allocation.overdue = True


def _weight(allocation: state.Allocation) -> float:
    """Return the weight of a run's end: the rest, if it was overdue."""
    return 1.0 - HALF_WEIGHT if allocation.overdue else 1.0


def _learn_bound(
    estimates: run_estimates.Estimates,
    endpoint: state.Endpoint,
    task: state.Task,
    elapsed: float,
    now: float,
    weight: float,
) -> None:
    speed = estimates.speed_of(endpoint)
    if speed.plausible:
        length = elapsed * speed.factor
        _learn_length(estimates, task, length, now, weight, True)


def _learn_length(
    estimates: run_estimates.Estimates,
    task: state.Task,
    length: float,
    now: float,
    weight: float,
    at_least: bool,
) -> None:
    step = task.step
    work = run_times.Work(
        step.job.queue,
        step.spec.image,
        step.job.organisation,
        step.spec.estimate,
    )
    job = f'{step.job.job_id}.{step.occurrence}'
    estimates.run_times.learn(work, length, job, now, weight, at_least)


def _learn_speed(
    estimates: run_estimates.Estimates,
    endpoint: state.Endpoint,
    step: state.StepState,
    ratio: float,
    now: float,
) -> None:
    entry = endpoint.entry
    if entry is not None:
        estimates.speeds.learn(
            endpoint.name, entry.service, entry.kind, ratio, step.name, now
        )
