"""Decide which waiting tasks to start on which endpoints."""

import dataclasses
import typing

from hibiscusslip.dispatch import _copy_planning
from hibiscusslip.dispatch import _headroom
from hibiscusslip.dispatch import _reservations
from hibiscusslip.dispatch import _suspicion
from hibiscusslip.dispatch import advice_planning
from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import crashes
from hibiscusslip.dispatch import ordering
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import second_runs
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

START_VALID_S = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class _Pass:
    """The state of one scheduling pass.

    `urgent` maps a service to the priority of its urgent queues, `spare` to
    the CPU that other queues may use, in thousandths of a core. `reserved`
    are the endpoints reserved for large steps.
    """

    engine: 'engines.Engine'
    services: dict[str, list[state.Endpoint]]
    candidates: dict[str, candidate_pool.Candidates]
    now: float
    spare: dict[str, float] = dataclasses.field(default_factory=dict)
    urgent: dict[str, int] = dataclasses.field(default_factory=dict)
    reserved: _reservations.Reservations = dataclasses.field(
        default_factory=_reservations.Reservations
    )


def plan(engine: 'engines.Engine', now: float) -> None:
    """Start the tasks that fit, in order of their steps' ranks."""
    services = engine.pools()
    suspicions = _suspicion.Suspicions(engine.endpoints.values(), now)
    candidates = {
        name: candidate_pool.Candidates(pool, suspicions, now)
        for name, pool in services.items()
    }
    current = _Pass(engine, services, candidates, now)
    _compute_spare(current)
    for rank, step in _rank_steps(engine, now):
        pool = current.services.get(step.job.service, [])
        if not pool:
            continue
        if step.ready:
            _plan_step(current, step, rank)
        advice_planning.request_advice_if_needed(
            engine, step, pool, candidates[step.job.service], now
        )
    if engine.policy.copies:
        _plan_copies(current)


def _compute_spare(current: _Pass) -> None:
    """Compute for each service the CPU that non-urgent queues may use."""
    engine = current.engine
    for service, pool in current.services.items():
        priority = _headroom.urgent_priority(engine.config, service)
        if priority is None or engine.config is None:
            continue
        headroom = engine.headroom.setdefault(service, _headroom.Headroom())
        if headroom.is_stale(current.now):
            use = _headroom.urgent_use(pool, engine.config.queues, priority)
            headroom.update(use, current.now)
        candidates = current.candidates[service].all
        size = sum(candidate.entry.capacity.cpu for candidate in candidates)
        free = sum(candidate.cpu for candidate in candidates)
        current.urgent[service] = priority
        current.spare[service] = free - headroom.target(size)


def _limit_to_spare(
    current: _Pass, step: state.StepState, tasks: list[state.Task]
) -> list[state.Task]:
    """Return the tasks that may start without use of the headroom."""
    service = step.job.service
    cpu = step.spec.allocated_demand.cpu
    urgent = current.urgent.get(service)
    if urgent is None or not cpu or step.spec.demand.accelerators:
        return tasks
    if current.engine.queue_of(step.job).priority <= urgent:
        return tasks
    max_tasks = max(int(current.spare[service] // cpu), 0)
    if step.spec.gang and max_tasks < len(tasks):
        return []
    return tasks[:max_tasks]


def _rank_steps(
    engine: 'engines.Engine', now: float
) -> list[tuple[ordering.Rank, state.StepState]]:
    ranked = []
    for step in engine.active_steps.values():
        if step.job.state.final or not step.has_waiting():
            continue
        job = step.job
        queue = engine.queue_of(job)
        rank = ordering.rank(
            step,
            engine.estimates.objective(job, queue),
            engine.estimates.critical_path(job, step.number),
            queue.priority,
            now,
        )
        ranked.append((rank, step))
    ranked.sort(key=lambda pair: pair[0])
    return ranked


def _plan_step(
    current: _Pass,
    step: state.StepState,
    rank: ordering.Rank,
) -> None:
    now = current.now
    needs_advice = current.engine.queue_of(step.job).advice is not None
    if needs_advice and step.tickets is None:
        return
    tasks = [
        task
        for task in step.waiting()
        if task.not_before <= now and crashes.may_start(task)
    ]
    if not tasks or (step.spec.gang and len(tasks) < len(step.tasks)):
        return
    candidates = current.candidates[step.job.service]
    if candidates.may_fit_anywhere(step.spec.allocated_demand):
        admitting = (
            advice_planning.endpoints_admitting(step, now)
            if needs_advice
            else None
        )
        _place_tasks(
            current, step, tasks, candidates.eligible_for(step, admitting)
        )
    if rank.expired or not step.has_waiting():
        return
    if _reservations.is_large(step, candidates.max_endpoint_cpu):
        endpoints = [
            candidate.endpoint
            for candidate in candidates.eligible_for(
                step, step.eligible if needs_advice else None
            )
        ]
        can_be_on_time = not rank.late
        _reservations.reserve(
            current.engine,
            current.reserved,
            step,
            endpoints,
            can_be_on_time,
            now,
        )


def _place_tasks(
    current: _Pass,
    step: state.StepState,
    tasks: list[state.Task],
    candidates: list[candidate_pool.Candidate],
) -> None:
    """Start as many of a step's tasks as fit."""
    run_time = current.engine.estimates.run_time(step)
    unreserved = [
        candidate
        for candidate in candidates
        if current.reserved.admits(candidate.endpoint, run_time, current.now)
    ]
    startable = _limit_to_spare(current, step, tasks)
    on_trial = [task for task in startable if task.on_trial]
    if step.spec.gang and on_trial:
        on_trial = startable
    if on_trial:
        _place_on_trial(current, step, on_trial, unreserved)
    others = [task for task in startable if task not in on_trial]
    _start_all(current, step, placement.choose(step, others, unreserved))


def _place_on_trial(
    current: _Pass,
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
    current: _Pass, step: state.StepState, choices: list[placement.Choice]
) -> None:
    newest = max(task.run for task in step.tasks)
    for choice in choices:
        run = task_runs.next_run(choice.task)
        if step.spec.gang:
            run = 1 + newest
        _start(current, step, choice, run)


def _start(
    current: _Pass,
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
    _send_start(current, step, choice, run)


def _plan_copies(current: _Pass) -> None:
    """Start copies of stragglers on capacity that nothing else needs."""
    engine = current.engine
    steps = list(engine.active_steps.values())
    finder = _copy_planning.Finder(
        engine.endpoints, engine.estimates, engine.queue_of, current.now
    )
    budgets: dict[str, _copy_planning.Budget] = {}
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
        if _limit_to_spare(current, task.step, [task]):
            if _try_copy(current, straggler):
                budgets[service].spend(demand)


def _try_copy(current: _Pass, straggler: _copy_planning.Straggler) -> bool:
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
    run_time = engine.estimates.run_time(step)
    choice = _copy_planning.choose(
        straggler,
        [
            candidate
            for candidate in candidates.eligible_for(step, admitting)
            if current.reserved.admits(candidate.endpoint, run_time, now)
        ],
    )
    if choice is None:
        advice_planning.request_advice_if_needed(
            engine,
            step,
            current.services[step.job.service],
            candidates,
            now,
            copied_from=straggler.endpoint.name,
        )
        return False
    _start_copy(current, straggler, choice)
    return True


def _start_copy(
    current: _Pass,
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
    _send_start(current, task.step, choice, run)
    current.engine.note(
        'copy_started',
        run=run,
        endpoint=endpoint.name,
        zone=endpoint.zone,
        **straggler.log_fields(),
    )


def _send_start(
    current: _Pass,
    step: state.StepState,
    choice: placement.Choice,
    run: int,
) -> None:
    """Allocate for a run and add the command that starts it."""
    now = current.now
    task = choice.task
    endpoint = choice.endpoint
    assert endpoint.entry is not None
    deadline = endpoint.clock_now(now) + START_VALID_S
    if step.job.service in current.spare:
        current.spare[step.job.service] -= step.spec.allocated_demand.cpu
    allocation = state.Allocation(
        task, run, step.spec.allocated_demand, now, deadline=deadline
    )
    endpoint.allocate(task.name, allocation)
    endpoint.last_start_at = now
    endpoint.last_start_job = step.job.job_id
    choice.candidate.allocate(step.spec.allocated_demand)
    endpoint.leased_until = max(endpoint.leased_until, deadline)
    checkpoint = step.checkpoint if step.spec.gang else task.checkpoint
    ticket = (step.tickets or {}).get(endpoint.name)
    current.engine.dirty.add(step.job.job_id)
    current.engine.starts.append(
        commands.Start(
            endpoint.name,
            endpoint.entry.address,
            task,
            run,
            step.job.spec.payload,
            deadline,
            checkpoint,
            ticket.text if ticket is not None else '',
            now,
        )
    )
