"""Decide which waiting tasks to start on which endpoints."""

import dataclasses
import typing

from hibiscusslip.dispatch import _headroom
from hibiscusslip.dispatch import _preempting
from hibiscusslip.dispatch import _reservations
from hibiscusslip.dispatch import _suspicion
from hibiscusslip.dispatch import advice_planning
from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import crashes
from hibiscusslip.dispatch import holdings
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import ordering
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import preferences
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

START_VALID_S = 2.0


@dataclasses.dataclass(slots=True, eq=False)
class _Pass:
    """The state of one scheduling pass.

    `urgent` maps a service to the priority of its urgent queues, `headroom` to
    the CPU to keep free for them and `spare` to that which other queues may
    use, both in thousandths of a core. `reserved` are the endpoints reserved
    for large steps, `largest` are the largest demands of each service if
    endpoints' speeds are considered. `contended` maps a service to the lowest
    level of a share with a ready step within its entitlement.
    """

    engine: 'engines.Engine'
    services: dict[str, list[state.Endpoint]]
    candidates: dict[str, candidate_pool.Candidates]
    now: float
    spare: dict[str, float] = dataclasses.field(default_factory=dict)
    headroom: dict[str, float] = dataclasses.field(default_factory=dict)
    urgent: dict[str, int] = dataclasses.field(default_factory=dict)
    reserved: _reservations.Reservations = dataclasses.field(
        default_factory=_reservations.Reservations
    )
    preempting: _preempting.Preempting = dataclasses.field(
        default_factory=_preempting.Preempting
    )
    largest: dict[str, model.Demand] = dataclasses.field(default_factory=dict)
    contended: dict[str, holdings.Level] = dataclasses.field(
        default_factory=dict
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
    for service in services:
        entries = (c.entry for c in candidates[service].all)
        engine.shares.update(engine.config, service, entries, now)
    if engine.estimates.learns:
        _update_learned(current)
    ranked = _rank_steps(engine, now)
    engine.limiter.begin_pass(engine.config, (step for _, step in ranked))
    for rank, step in ranked:
        pool = current.services.get(step.job.service, [])
        if not pool:
            continue
        if rank.beyond and _lacks_spare(current, step):
            _note_yielding(current, step, rank)
            continue  # tickets would expire before there is capacity
        if step.ready:
            _plan_step(current, step, rank)
        if engine.queue_of(step.job).advice is None:
            continue
        if engine.limiter.may_request_advice(step):
            advice_planning.request_advice_if_needed(
                engine, step, pool, candidates[step.job.service], now
            )
    config = engine.config
    has_organisations = config is not None and config.organisations is not None
    if engine.policy.preempts(has_organisations):
        current.preempting.preempt(engine, services, candidates, now)
    _update_forecast(engine, ranked, services, now)


def _update_learned(current: _Pass) -> None:
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
    if not engine.policy.endpoint_speeds:
        return
    for pool in current.candidates.values():
        for candidate in pool.all:
            candidate.speed = engine.estimates.speed_factor(candidate.endpoint)
    current.largest = preferences.largest_demands(engine.active_steps.values())


def _update_forecast(
    engine: 'engines.Engine',
    ranked: list[tuple[ordering.Rank, state.StepState]],
    services: dict[str, list[state.Endpoint]],
    now: float,
) -> None:
    """Predict the waits of new jobs from the steps that still wait."""
    forecast = engine.shares.forecast
    if forecast.is_due(engine.config, now):
        assert engine.config is not None
        forecast.update(engine.config, ranked, services, engine.estimates, now)


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
        target = headroom.target(size)
        current.headroom[service] = target
        current.spare[service] = free - target


def _limit_to_spare(
    current: _Pass, step: state.StepState, tasks: list[state.Task]
) -> list[state.Task]:
    """Return the tasks that may start without use of the headroom."""
    service = step.job.service
    cpu = step.spec.allocated_demand.cpu
    urgent = current.urgent.get(service)
    if urgent is None or not cpu or step.spec.demand.accelerators:
        return tasks
    is_urgent = current.engine.queue_of(step.job).priority <= urgent
    if is_urgent and step.job.within_entitlement:
        return tasks
    max_tasks = max(int(_spare_for(current, step) // cpu), 0)
    if step.spec.gang and max_tasks < len(tasks):
        return []
    return tasks[:max_tasks]


def _is_urgent(current: _Pass, step: state.StepState) -> bool:
    """Return True if a step may have runs of other queues preempted.

    Gangs and tasks with accelerators need whole endpoints; reservations
    preempt for them.
    """
    urgent = current.urgent.get(step.job.service)
    spec = step.spec
    if urgent is None or spec.gang or spec.demand.accelerators:
        return False
    return current.engine.queue_of(step.job).priority <= urgent


def _lacks_spare(current: _Pass, step: state.StepState) -> bool:
    """Return True if no task of a step beyond an entitlement may start."""
    if step.job.service not in current.spare:
        return False
    if step.spec.demand.accelerators:
        return False
    return _spare_for(current, step) < step.spec.allocated_demand.cpu


def _spare_for(current: _Pass, step: state.StepState) -> float:
    """Return the CPU that a step may use, in thousandths of a core.

    Steps beyond an entitlement leave twice the headroom: what they leave is
    in pieces, many of which are too small for a task.
    """
    service = step.job.service
    spare = current.spare[service]
    if step.job.within_entitlement:
        return spare
    return spare - current.headroom[service]


def _rank_steps(
    engine: 'engines.Engine', now: float
) -> list[tuple[ordering.Rank, state.StepState]]:
    ranked = []
    for step in engine.active_steps.values():
        if step.job.state.final or not step.has_waiting():
            continue
        job = step.job
        if job.holding is not None:
            job.holding.wanted_at = now
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
    tasks = _startable(current, step)
    if not tasks or (needs_advice and step.tickets is None):
        return
    candidates = current.candidates[step.job.service]
    startable = _limit_to_spare(current, step, tasks)
    if startable and candidates.may_fit_anywhere(step.spec.allocated_demand):
        admitting = (
            advice_planning.endpoints_admitting(step, now)
            if needs_advice
            else None
        )
        _place_tasks(
            current,
            step,
            startable,
            candidates.eligible_for(step, admitting),
            rank,
        )
    needed = current.engine.limiter.count_startable(step, len(step.waiting()))
    _note_yielding(current, step, rank)
    if rank.expired or not needed:
        return
    if rank.beyond and step.job.service in current.contended:
        return
    if _is_urgent(current, step) and not (rank.late or rank.beyond):
        waiting = sum(t.status is state.Status.WAITING for t in tasks)
        current.preempting.add(step, waiting, rank.priority)
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
            needed,
            endpoints,
            can_be_on_time,
            now,
        )


def _startable(current: _Pass, step: state.StepState) -> list[state.Task]:
    """Return the tasks that may start if there is capacity for them."""
    tasks = [
        task
        for task in step.waiting()
        if task.not_before <= current.now and crashes.may_start(task)
    ]
    if not tasks or (step.spec.gang and len(tasks) < len(step.tasks)):
        return []
    limiter = current.engine.limiter
    max_tasks = limiter.count_startable(step, len(tasks))
    if max_tasks < len(tasks):
        limiter.hold_back(step)
    return tasks[:max_tasks]


def _note_yielding(
    current: _Pass, step: state.StepState, rank: ordering.Rank
) -> None:
    """Log that a step waits for others because of its organisation."""
    if rank.expired:
        return
    service = step.job.service
    lowest = current.contended.get(service)
    if not rank.beyond and (lowest is None or rank.level < lowest):
        current.contended[service] = rank.level
    if lowest is None or not step.has_waiting():
        return
    if rank.beyond or rank.level > lowest:
        fields = current.engine.shares.describe_wait(step)
        if fields:
            current.engine.note('step_yields', **fields)


def _place_tasks(
    current: _Pass,
    step: state.StepState,
    startable: list[state.Task],
    candidates: list[candidate_pool.Candidate],
    rank: ordering.Rank,
) -> None:
    """Start as many of a step's startable tasks as fit."""
    run_time = current.engine.estimates.run_time(step)
    unreserved = [
        candidate
        for candidate in candidates
        if current.reserved.admits(
            candidate.endpoint, run_time / candidate.speed, current.now
        )
    ]
    preference = _prefer(current, step, rank)
    on_trial = [task for task in startable if task.on_trial]
    if step.spec.gang and on_trial:
        on_trial = startable
    if on_trial:
        _place_on_trial(current, step, on_trial, unreserved)
    others = [task for task in startable if task not in on_trial]
    choices = placement.choose(step, others, unreserved, preference)
    _start_all(current, step, choices)


def _prefer(
    current: _Pass, step: state.StepState, rank: ordering.Rank
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
        run = 1 + (newest if step.spec.gang else choice.task.run)
        _start(current, step, choice, run)


def _start(
    current: _Pass,
    step: state.StepState,
    choice: placement.Choice,
    run: int,
) -> None:
    now = current.now
    task = choice.task
    endpoint = choice.endpoint
    assert endpoint.entry is not None
    deadline = endpoint.clock_now(now) + START_VALID_S
    task.status = state.Status.STARTING
    task.run = run
    task.endpoint = endpoint.name
    task.address = endpoint.address
    task.born = endpoint.born
    task.started_at = 0.0
    step.job.has_started = True
    step.job.zone = endpoint.entry.zone
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
    estimates = current.engine.estimates
    checkpoint = step.checkpoint if step.spec.gang else task.checkpoint
    allocation.measurable = not checkpoint
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
            estimates.expect(step) if estimates.learns else None,
            choice.candidate.speed,
        )
    )
