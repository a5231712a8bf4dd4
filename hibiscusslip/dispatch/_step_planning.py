"""Plan one step in a scheduling pass: start its tasks, or reserve for them."""

from hibiscusslip.dispatch import _attempts
from hibiscusslip.dispatch import _kept_back
from hibiscusslip.dispatch import _learned_planning
from hibiscusslip.dispatch import _reservations
from hibiscusslip.dispatch import _scheduling_pass
from hibiscusslip.dispatch import _starts
from hibiscusslip.dispatch import advice_planning
from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import crashes
from hibiscusslip.dispatch import feasibility
from hibiscusslip.dispatch import ordering
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs

STARTED_IN_PIECE = 500  # tasks of a step that may start one by one


def plan_ranked(
    current: _scheduling_pass.Pass,
    step: state.StepState,
    rank: ordering.Rank,
) -> bool:
    """Start tasks of a step if it is ready, and request advice for it.

    Returns True if as many were started as one piece of the pass may start.
    """
    engine = current.engine
    if rank.beyond and _scheduling_pass.lacks_spare(current, step):
        _log_yielding(current, step, rank)
        _start_kept_back(current, step)
        if not _kept_back.is_kept_back(step, current.now):
            return False  # tickets would expire before there is capacity
    if step.ready and _plan_step(current, step, rank):
        return True
    if engine.queue_of(step.job).advice is None:
        return False
    if engine.limiter.may_request_advice(step):
        advice_planning.request_advice_if_needed(
            engine,
            step,
            current.candidates[step.job.service],
            current.now,
            preference=_learned_planning.prefer(current, step, rank),
        )
    return False


def _is_urgent(current: _scheduling_pass.Pass, step: state.StepState) -> bool:
    """Return True if a step may have runs of other queues preempted.

    Gangs and tasks with accelerators need whole endpoints; reservations
    preempt for them.
    """
    urgent = current.urgent.get(step.job.service)
    spec = step.spec
    if urgent is None or spec.gang or spec.demand.accelerators:
        return False
    queue = current.engine.known_queue_of(step.job)
    return queue is not None and queue.priority <= urgent


def _plan_step(
    current: _scheduling_pass.Pass,
    step: state.StepState,
    rank: ordering.Rank,
) -> bool:
    """Start tasks of a step, and reserve capacity for those that wait.

    Returns True if as many were started as one piece of the pass may start.
    """
    now = current.now
    allowed = _scheduling_pass.starts_allowed(current, step)
    if not allowed:
        return False
    needs_advice = current.engine.queue_of(step.job).advice is not None
    tasks = _startable(current, step)
    if not tasks or (needs_advice and step.tickets is None):
        return False
    candidates = current.candidates[step.job.service]
    startable = _scheduling_pass.limit_to_spare(current, step, tasks)
    if startable and candidates.may_fit_anywhere(step.spec.allocated_demand):
        admitting = (
            advice_planning.endpoints_admitting(step, now)
            if needs_advice
            else None
        )
        piece = startable
        if not step.spec.all_or_none:
            piece = startable[: min(STARTED_IN_PIECE, allowed)]
        started = _place_tasks(
            current,
            step,
            piece,
            candidates.eligible_for(step, admitting),
            rank,
        )
        current.allotted_starts[step.job.job_id] -= started
        if len(piece) < len(startable) and started == len(piece):
            return True
    _log_yielding(current, step, rank)
    _start_kept_back(current, step)
    request = _reservations.Request(
        step,
        sum(task.status is state.Status.WAITING for task in tasks),
        not rank.late,
        len(startable) < len(tasks),
    )
    _claim_capacity(current, request, rank, needs_advice)
    return False


def _start_kept_back(
    current: _scheduling_pass.Pass, step: state.StepState
) -> None:
    """Start tasks from which free capacity was kept back for too long."""
    if not step.ready or not _kept_back.is_owed(current, step):
        step.kept_back_since = 0.0
        return
    needs_advice = current.engine.queue_of(step.job).advice is not None
    if needs_advice and step.tickets is None:
        return
    admitting = (
        advice_planning.endpoints_admitting(step, current.now)
        if needs_advice
        else None
    )
    waiting = [task for task in _startable(current, step) if not task.on_trial]
    if step.spec.gang and len(waiting) < len(step.tasks):
        return
    newest = max(task.run for task in step.tasks)
    for choice in _kept_back.update(current, step, waiting, admitting):
        run = task_runs.next_run(choice.task)
        _start(current, step, choice, 1 + newest if step.spec.gang else run)


def _claim_capacity(
    current: _scheduling_pass.Pass,
    request: _reservations.Request,
    rank: ordering.Rank,
    needs_advice: bool,
) -> None:
    """Keep capacity free, or have runs stopped, for tasks that wait for it."""
    step = request.step
    candidates = current.candidates[step.job.service]
    if request.needed and feasibility.is_hopeless(
        current.engine, step, candidates, needs_advice
    ):
        return
    _record_contention(current, step, rank)
    if rank.expired or not request.needed:
        return
    if rank.beyond and step.job.service in current.contended:
        return
    if _is_urgent(current, step) and not (rank.late or rank.beyond):
        placeable = feasibility.count_placeable(step, candidates, needs_advice)
        current.preempting.add(
            step, min(placeable, request.needed), rank.priority
        )
    if _reservations.is_large(step, candidates.max_endpoint_cpu):
        _reserve(current, request, needs_advice)


def _reserve(
    current: _scheduling_pass.Pass,
    request: _reservations.Request,
    needs_advice: bool,
) -> None:
    """Reserve endpoints where the step could start its tasks."""
    step = request.step
    now = current.now
    eligible = (
        advice_planning.endpoints_to_reserve(step, now)
        if needs_advice
        else None
    )
    candidates = current.candidates[step.job.service]
    endpoints = [
        candidate.endpoint
        for candidate in candidates.eligible_for(step, eligible)
    ]
    _reservations.reserve(
        current.engine, current.reserved, request, endpoints, now
    )


def _startable(
    current: _scheduling_pass.Pass, step: state.StepState
) -> list[state.Task]:
    """Return the tasks that may start if there is capacity for them."""
    tasks = [
        task
        for task in step.waiting()
        if task.not_before <= current.now
        and crashes.may_start(task)
        and _attempts.may_start(current.engine, task)
    ]
    if not tasks or (step.spec.gang and len(tasks) < len(step.tasks)):
        return []
    limiter = current.engine.limiter
    max_tasks = limiter.count_startable(step, len(tasks))
    if max_tasks < len(tasks):
        limiter.note_held_back(step)
    return tasks[:max_tasks]


def _record_contention(
    current: _scheduling_pass.Pass, step: state.StepState, rank: ordering.Rank
) -> None:
    """Record the lowest share level of a step within its entitlement."""
    if rank.expired or rank.beyond:
        return
    service = step.job.service
    lowest = current.contended.get(service, rank.level)
    current.contended[service] = min(lowest, rank.level)


def _log_yielding(
    current: _scheduling_pass.Pass, step: state.StepState, rank: ordering.Rank
) -> None:
    """Log that a step waits for steps of other organisations."""
    lowest = current.contended.get(step.job.service)
    if rank.expired or lowest is None or not step.has_waiting():
        return
    if rank.beyond or rank.level > lowest:
        fields = current.engine.shares.describe_wait(step)
        if fields:
            current.engine.note('step_yields', **fields)


def _place_tasks(
    current: _scheduling_pass.Pass,
    step: state.StepState,
    startable: list[state.Task],
    candidates: list[candidate_pool.Candidate],
    rank: ordering.Rank,
) -> int:
    """Start as many of a step's startable tasks as fit; return how many."""
    unreserved = _scheduling_pass.find_unreserved(current, step, candidates)
    preference = _learned_planning.prefer(current, step, rank)
    on_trial = [task for task in startable if task.on_trial]
    if step.spec.gang and on_trial:
        on_trial = startable
    if on_trial:
        _place_on_trial(current, step, on_trial, unreserved)
    tried = {task.name for task in on_trial}
    others = [task for task in startable if task.name not in tried]
    choices = placement.choose(step, others, unreserved, preference)
    _start_all(current, step, choices)
    return sum(task.status is not state.Status.WAITING for task in startable)


def _place_on_trial(
    current: _scheduling_pass.Pass,
    step: state.StepState,
    tasks: list[state.Task],
    candidates: list[candidate_pool.Candidate],
) -> None:
    """Start tasks that may crash their endpoints, on idle ones if possible."""
    calm = crashes.calm_candidates(step, candidates, current.now)
    idle = [c for c in calm if not c.endpoint.allocations]
    for options in (idle, calm):
        waiting = [t for t in tasks if t.status is state.Status.WAITING]
        choices = placement.choose(step, waiting, options)
        _start_all(current, step, choices)
        for choice in choices:
            current.candidates[step.job.service].note_trial(choice.endpoint)


def _start_all(
    current: _scheduling_pass.Pass,
    step: state.StepState,
    choices: list[placement.Choice],
) -> None:
    newest = max(task.run for task in step.tasks)
    planned = _scheduling_pass.plan_run(current, step)
    reserved = current.reserved
    for choice in choices:
        if reserved.until and not reserved.take(
            choice.candidate, planned, current.now
        ):
            continue  # it is left for another pass
        run = task_runs.next_run(choice.task)
        if step.spec.gang:
            run = 1 + newest
        _start(current, step, choice, run)


def _start(
    current: _scheduling_pass.Pass,
    step: state.StepState,
    choice: placement.Choice,
    run: int,
) -> None:
    task = choice.task
    endpoint = choice.endpoint
    assert endpoint.entry is not None
    task.status = state.Status.STARTING
    task.run = run
    task.endpoint = endpoint.name
    task.address = endpoint.address
    task.born = endpoint.born
    task.started_at = 0.0
    step.job.has_started = True
    step.job.zone = endpoint.entry.zone
    _starts.send_start(current, step, choice, run)
