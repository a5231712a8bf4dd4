"""Decide which waiting tasks to start where, and what to ask first."""

import typing

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import ordering
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

ORDER_VALID_S = 2.0
TICKET_MARGIN_S = 0.25
ASK_PAUSE_S = 0.3
MOST_ASKED = 100


def plan(engine: 'engines.Engine', now: float) -> None:
    """Start what fits, the most pressing steps first."""
    services = _by_service(engine)
    for step in _in_order(engine, now):
        endpoints = services.get(step.job.service, [])
        _plan_step(engine, step, endpoints, now)


def _by_service(
    engine: 'engines.Engine',
) -> dict[str, list[state.Endpoint]]:
    services: dict[str, list[state.Endpoint]] = {}
    for endpoint in engine.endpoints.values():
        if endpoint.entry is not None:
            pool = services.setdefault(endpoint.entry.service, [])
            pool.append(endpoint)
    return services


def _in_order(engine: 'engines.Engine', now: float) -> list[state.StepState]:
    ranked = []
    for step in engine.active.values():
        if not _ready(step):
            continue
        job = step.job
        objective = engine.estimates.objective(job, engine.queue_of(job))
        remaining = engine.estimates.chain(job, step.number)
        rank = ordering.rank(step, objective, remaining, now)
        ranked.append((rank, step))
    ranked.sort(key=lambda pair: pair[0])
    return [step for _, step in ranked]


def _ready(step: state.StepState) -> bool:
    if step.job.state.final:
        return False
    if not any(t.status is state.Status.WAITING for t in step.tasks):
        return False
    others = step.job.occurrences[step.occurrence]
    return all(others[number].complete for number in step.spec.after)


def _plan_step(
    engine: 'engines.Engine',
    step: state.StepState,
    pool: list[state.Endpoint],
    now: float,
) -> None:
    tasks = [task for task in step.waiting() if task.not_before <= now]
    if not tasks or (step.spec.gang and len(tasks) < len(step.tasks)):
        return
    endpoints = [e for e in pool if placement.allowed(step, e, now)]
    needs_ticket = engine.queue_of(step.job).advice is not None
    if needs_ticket and step.tickets is not None:
        if endpoints and all(e.name in step.asked for e in endpoints):
            endpoints = [e for e in endpoints if e.name in step.tickets]
    choices = placement.choose(step, tasks, endpoints)
    if not choices:
        return
    if needs_ticket and not _has_tickets(engine, step, endpoints, pool, now):
        return
    newest = max(task.run for task in step.tasks)
    for choice in choices:
        run = 1 + (newest if step.spec.gang else choice.task.run)
        _start(engine, step, choice, run, now)


def _has_tickets(
    engine: 'engines.Engine',
    step: state.StepState,
    endpoints: list[state.Endpoint],
    pool: list[state.Endpoint],
    now: float,
) -> bool:
    """Tell whether tickets hold for all of `endpoints`; else ask."""
    tickets = step.tickets
    fresh = now + TICKET_MARGIN_S < step.tickets_until
    if tickets is not None and fresh:
        if all(endpoint.name in tickets for endpoint in endpoints):
            return True
    if step.asking or now < step.ask_again:
        return False
    _ask(engine, step, endpoints, now)
    return False


def _ask(
    engine: 'engines.Engine',
    step: state.StepState,
    endpoints: list[state.Endpoint],
    now: float,
) -> None:
    advice = engine.queue_of(step.job).advice
    assert advice is not None
    names = tuple(e.name for e in endpoints[:MOST_ASKED])
    cost = advice.decision + advice.per_endpoint * len(names)
    step.asking = True
    engine.asks.append(commands.Ask(step, names, cost))


def _start(
    engine: 'engines.Engine',
    step: state.StepState,
    choice: placement.Choice,
    run: int,
    now: float,
) -> None:
    task = choice.task
    endpoint = choice.endpoint
    assert endpoint.entry is not None
    run = 1 + (max(t.run for t in step.tasks) if step.spec.gang else task.run)
    deadline = endpoint.clock_now(now) + ORDER_VALID_S
    task.status = state.Status.ORDERED
    task.run = run
    task.endpoint = endpoint.name
    task.started = 0.0
    step.job.begun = True
    booking = state.Booking(
        task, run, step.spec.booked, now, deadline=deadline
    )
    endpoint.book(task.name, booking)
    endpoint.granted = max(endpoint.granted, deadline)
    checkpoint = step.checkpoint if step.spec.gang else task.checkpoint
    tickets = step.tickets or {}
    engine.dirty.add(step.job.ident)
    engine.starts.append(
        commands.Start(
            endpoint.name,
            endpoint.entry.address,
            task,
            run,
            step.job.spec.payload,
            deadline,
            checkpoint,
            tickets.get(endpoint.name, ''),
            now,
        )
    )
