"""Start copies of stragglers on capacity that nothing else needs."""

from hibiscusslip.dispatch import _copy_planning
from hibiscusslip.dispatch import _scheduling_pass
from hibiscusslip.dispatch import _starts
from hibiscusslip.dispatch import advice_planning
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import second_runs
from hibiscusslip.dispatch import task_runs

MAX_UNPLACED = 20  # copies in a pass; the others have to wait for the next


def plan_copies(current: _scheduling_pass.Pass) -> None:
    """Start copies of stragglers on capacity that nothing else needs."""
    engine = current.engine
    steps = list(engine.active_steps.values())
    finder = _copy_planning.Finder(
        engine.endpoints, engine.estimates, engine.queue_of, current.now
    )
    budgets: dict[str, _copy_planning.Budget] = {}
    unplaced = 0
    for straggler in finder.find(steps):
        task = straggler.task
        service = task.step.job.service
        if service not in current.services:
            continue
        if service not in budgets:
            budgets[service] = _copy_planning.Budget(
                current.services[service], current.candidates[service], steps
            )
        demand = task.step.spec.allocated_demand
        if not budgets[service].admits(demand):
            continue
        if not engine.limiter.count_startable(task.step, 1):
            continue
        if _scheduling_pass.limit_to_spare(current, task.step, [task]):
            if _try_copy(current, straggler):
                budgets[service].spend(demand)
                continue
            unplaced += 1
            if unplaced >= MAX_UNPLACED:
                return


def _try_copy(
    current: _scheduling_pass.Pass, straggler: _copy_planning.Straggler
) -> bool:
    """Start a copy if an endpoint admits it; else request tickets."""
    engine = current.engine
    now = current.now
    step = straggler.task.step
    needs_advice = engine.queue_of(step.job).advice is not None
    candidates = current.candidates[step.job.service]
    admitting = (
        advice_planning.endpoints_admitting(step, now)
        if needs_advice
        else None
    )
    choice = _copy_planning.choose(
        straggler,
        _scheduling_pass.find_unreserved(
            current, step, candidates.eligible_for(step, admitting)
        ),
    )
    if choice is None:
        advice_planning.request_advice_if_needed(
            engine,
            step,
            candidates,
            now,
            copied_from=straggler.endpoint.name,
        )
        return False
    _start_copy(current, straggler, choice)
    return True


def _start_copy(
    current: _scheduling_pass.Pass,
    straggler: _copy_planning.Straggler,
    choice: placement.Choice,
) -> None:
    """Start a second run of a task."""
    task = choice.task
    endpoint = choice.endpoint
    run = task_runs.next_run(task)
    task.copy_run = run
    task.second = second_runs.SecondRun(
        run, endpoint.name, endpoint.address, endpoint.born
    )
    _starts.send_start(current, task.step, choice, run)
    current.engine.note(
        'copy_started',
        run=run,
        endpoint=endpoint.name,
        zone=endpoint.zone,
        **straggler.log_fields(),
    )
