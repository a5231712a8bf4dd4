"""Decide when to ask the advice service which endpoints may run a step.

Which endpoints are eligible for a step never changes; only the tickets
expire. While a step waits, its tickets are renewed before they expire, and
more endpoints are asked about if those with tickets are full and others
aren't. The first tickets are requested while the steps that it depends on
still run, as a call can take longer than a task. Which step makes the next
call is decided in `advice_calls`. Steps beyond an entitlement ask for nothing
while others that may start wait for a call.
"""

import dataclasses
import typing

from hibiscusslip.dispatch import advice_calls
from hibiscusslip.dispatch import advice_sizing
from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import feasibility
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import preferences
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

START_MARGIN_S = 0.25  # a start has to arrive while its ticket is valid
LEAD_S = 0.15  # by which a call is made earlier than its duration requires
RETRY_DELAY_S = 0.3
FULL_RETRY_DELAY_S = 0.05  # while the hosts make as many calls as they can
WIDENING_PERIOD_S = 0.25
RENEWAL_S = 1.0  # for which endpoints are kept free after their tickets
DEFERRED_S = 0.1  # for which a step that waits for a call keeps these back


def endpoints_admitting(step: state.StepState, now: float) -> list[str]:
    """Return the endpoints that would admit a start sent now."""
    return step.endpoints_with_ticket(now + START_MARGIN_S)


def endpoints_to_reserve(step: state.StepState, now: float) -> set[str]:
    """Return the endpoints that may be kept free for a step.

    None if its tickets have expired and weren't renewed: the advice service
    can't be asked, so it isn't known when the step can start.
    """
    tickets = (step.tickets or {}).values()
    expired_at = max((ticket.until for ticket in tickets), default=0.0)
    return step.eligible if now < expired_at + RENEWAL_S else set()


def request_advice_if_needed(
    engine: 'engines.Engine',
    step: state.StepState,
    candidates: candidate_pool.Candidates,
    now: float,
    copied_from: str = '',
    preference: preferences.Preference = preferences.NONE,
) -> None:
    """Request tickets if a step will need them soon.

    `copied_from` is the endpoint of a run of which a copy is needed, which
    mustn't be there; '' if the step waits for a start. Of endpoints with equal
    capacity, the call names those of the preferred speed.
    """
    advice = engine.queue_of(step.job).advice
    if advice is None or not _may_request(engine, step, now, copied_from):
        return
    if not _is_call_due(engine, advice, step, candidates, now, copied_from):
        return
    if not copied_from and feasibility.is_hopeless(
        engine, step, candidates, True
    ):
        step.next_advice_at = now + RETRY_DELAY_S
        return
    call = _make_call(engine, step, candidates, advice.cost(1))
    if not _may_call(engine, step, call, now):
        return
    names = advice_sizing.select(
        step,
        candidates,
        _eligible_share(engine, step).share,
        advice_sizing.min_endpoints(advice.decision, advice.per_endpoint),
        copied_from,
        preference,
    )
    cost = advice.cost(len(names))
    if not names or not _is_ready_by_reply(engine, step, cost, now):
        return
    call = dataclasses.replace(call, cost=cost)
    if _may_call(engine, step, call, now):
        _request(engine, step, names, call)


def _may_request(
    engine: 'engines.Engine',
    step: state.StepState,
    now: float,
    copied_from: str,
) -> bool:
    """Return True if a start could follow and no call is pending."""
    if step.advice_pending or now < step.next_advice_at:
        return False
    if not (step.has_waiting() or copied_from):
        return False
    return not _awaits_lost_member(engine, step)


def _is_call_due(
    engine: 'engines.Engine',
    advice: model.Advice,
    step: state.StepState,
    candidates: candidate_pool.Candidates,
    now: float,
    copied_from: str,
) -> bool:
    """Return True if a step needs tickets and the shortest call is possible.

    If it isn't possible, a step without valid tickets has others deferred.
    """
    max_endpoints = min(
        candidates.count_others(copied_from),
        advice_sizing.MAX_ENDPOINTS_PER_CALL,
    )
    longest = advice.cost(max_endpoints)
    if not _is_ready_by_reply(engine, step, longest, now):
        return False
    shortest = advice.cost(1)
    if engine.advice_calls.is_full(
        shortest, not step.job.within_entitlement, engine.adviser_count
    ):
        _want_first_call(engine, step, candidates, shortest, now)
        return False
    renewal = advice.cost(min(len(step.eligible), max_endpoints))
    return _needs_tickets(step, candidates, renewal, now, copied_from)


def _request(
    engine: 'engines.Engine',
    step: state.StepState,
    names: tuple[str, ...],
    call: advice_calls.Call,
) -> None:
    step.advice_pending = True
    step.call_refused = False
    engine.advice_calls.begin(call)
    engine.advice_requests.append(commands.AdviceRequest(step, names, call))


def handle_reply(
    engine: 'engines.Engine',
    request: commands.AdviceRequest,
    tickets: dict[str, str] | None,
    until: float,
    now: float,
) -> None:
    """Apply a reply, whose tickets expire at `until`; None if it failed."""
    engine.advice_calls.finish(request.call)
    step = request.step
    step.advice_pending = False
    if tickets is None:
        step.next_advice_at = now + RETRY_DELAY_S
        return
    asked_first = set(request.endpoints) - step.asked_about
    _eligible_share(engine, step).learn(
        len(asked_first), len(asked_first & tickets.keys())
    )
    step.asked_about.update(request.endpoints)
    step.eligible.update(tickets)
    known = step.tickets or {}
    step.tickets = {
        name: ticket for name, ticket in known.items() if now < ticket.until
    }
    for name, text in tickets.items():
        step.tickets[name] = state.Ticket(text, until)


def _awaits_lost_member(
    engine: 'engines.Engine', step: state.StepState
) -> bool:
    """Return True if a gang waits for a run on an unresponsive endpoint.

    It can't start before that run is known to have ended, which takes longer
    than a ticket is valid.
    """
    if not step.spec.gang:
        return False
    for task in step.tasks:
        if task.status.placed:
            endpoint = engine.endpoints.get(task.endpoint)
            if endpoint is not None and not endpoint.responsive:
                return True
    return False


def _eligible_share(
    engine: 'engines.Engine', step: state.StepState
) -> advice_sizing.EligibleShare:
    return engine.eligible_shares.setdefault(
        step.job.queue, advice_sizing.EligibleShare()
    )


def _needs_tickets(
    step: state.StepState,
    candidates: candidate_pool.Candidates,
    cost: float,
    now: float,
    unsuitable: str = '',
) -> bool:
    """Return True if a call is due; a renewal takes `cost` seconds.

    It is due when no ticket would be valid at its end without it, or when the
    endpoints with a ticket are full and others have free capacity. A ticket
    of the `unsuitable` endpoint doesn't count.
    """
    valid_until = now + cost + START_MARGIN_S + LEAD_S
    names = step.endpoints_with_ticket(valid_until)
    names = [name for name in names if name != unsuitable]
    if not names:
        return True
    if now < step.next_widening_at:
        return False
    step.next_widening_at = now + WIDENING_PERIOD_S
    return _is_worth_widening(step, candidates, names)


def _is_worth_widening(
    step: state.StepState,
    candidates: candidate_pool.Candidates,
    names: list[str],
) -> bool:
    """Return True if only endpoints without a ticket have free capacity."""
    if not candidates.may_fit_anywhere(step.spec.allocated_demand):
        return False
    waiting = max(len(step.waiting()), 1)  # or a copy
    with_ticket = candidates.eligible_for(step, names)
    missing = waiting - advice_sizing.free_tasks(step, with_ticket)
    if missing <= 0:
        return False
    return advice_sizing.unasked_free_tasks(step, candidates) >= missing


def _make_call(
    engine: 'engines.Engine',
    step: state.StepState,
    candidates: candidate_pool.Candidates,
    cost: float,
) -> advice_calls.Call:
    """Return the call that a step wants to make."""
    demand = step.spec.allocated_demand
    kind = advice_calls.Kind(
        step.job.service, step.spec.label, demand.accelerators > 0
    )
    size = max(demand.accelerators or demand.cpu, 1)
    wanted = max(len(step.waiting()), 1)  # or a copy
    free = 0
    if candidates.may_fit_anywhere(demand):
        free = engine.advice_calls.unclaimed(
            kind, advice_sizing.count_free_tasks(step, candidates), size
        )
    if step.spec.all_or_none and free < wanted:
        free = 0
    return advice_calls.Call(
        kind, cost, min(free, wanted), size, not step.job.within_entitlement
    )


def _want_first_call(
    engine: 'engines.Engine',
    step: state.StepState,
    candidates: candidate_pool.Candidates,
    cost: float,
    now: float,
) -> None:
    """Have a call left to a step without valid tickets if it may start.

    One such step of a service suffices, as thousands may wait.
    """
    if not candidates.may_fit_anywhere(step.spec.allocated_demand):
        return
    if engine.advice_calls.was_wanted(
        step.job.service,
        cost,
        not step.job.within_entitlement,
        now - FULL_RETRY_DELAY_S,
    ):
        return
    if not endpoints_admitting(step, now):
        call = _make_call(engine, step, candidates, cost)
        _leave_next_call(engine, step, call, now)


def _may_call(
    engine: 'engines.Engine',
    step: state.StepState,
    call: advice_calls.Call,
    now: float,
) -> bool:
    """Return True if a step may make a call now; else others leave it one."""
    calls, hosts = engine.advice_calls, engine.adviser_count
    if not (call.beyond and _is_deferred(engine, step, now)):
        has_capacity = calls.has_capacity(call, hosts)
        if has_capacity and not calls.yields(call, hosts, now):
            return True
        if call.beyond and call.tasks and not has_capacity:
            # Others of the queue are beyond it, too, and take as long.
            full_until = now + DEFERRED_S
            engine.shares.advice_full_until[step.job.queue] = full_until
        _leave_next_call(engine, step, call, now)
    step.next_advice_at = now + FULL_RETRY_DELAY_S
    return False


def _is_deferred(
    engine: 'engines.Engine', step: state.StepState, now: float
) -> bool:
    """Return True if a step beyond an entitlement waits for others."""
    full_until = engine.shares.advice_full_until.get(step.job.queue, now)
    return now < max(engine.shares.advice_wanted_until, full_until)


def _leave_next_call(
    engine: 'engines.Engine',
    step: state.StepState,
    call: advice_calls.Call,
    now: float,
) -> None:
    """Keep back others while a step that may start waits for a call.

    Logs once for each call that a step has to wait for.
    """
    engine.advice_calls.note_wanted(call, now)
    if call.tasks and not call.beyond:
        engine.shares.advice_wanted_until = now + DEFERRED_S
    if not step.call_refused:
        step.call_refused = True
        engine.note(
            'advice_waits',
            step=step.name,
            service=call.kind.service,
            startable=call.tasks,
            hosts=engine.adviser_count,
        )


def _is_ready_by_reply(
    engine: 'engines.Engine', step: state.StepState, cost: float, now: float
) -> bool:
    """Return True if the step should be ready by the time of the reply."""
    steps = step.job.occurrences[step.occurrence]
    for number in step.spec.after:
        dependency = steps[number]
        if dependency.complete:
            continue
        remaining = _remaining_time(
            dependency, engine.estimates.run_time(dependency), now
        )
        if remaining > cost + LEAD_S:
            return False
    return True


def _remaining_time(
    dependency: state.StepState, run_time: float, now: float
) -> float:
    """Return how long the tasks of a step should still run, in seconds.

    Infinite if one of them hasn't started.
    """
    remaining = 0.0
    for task in dependency.tasks:
        if task.status is state.Status.DONE:
            continue
        if task.status is not state.Status.RUNNING:
            return float('inf')
        remaining = max(remaining, task.started_at + run_time - now)
    return remaining
