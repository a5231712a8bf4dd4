"""Decide when to ask the advice service which endpoints may run a step.

Which endpoints are eligible for a step never changes; only the tickets
expire. While a step waits, its tickets are renewed before they expire, and
more endpoints are asked about if those with tickets are full and others
aren't. The first tickets are requested while the steps that it depends on
still run, as a call can take longer than a task. Steps beyond an entitlement
leave part of the calls to others, and ask for nothing while others wait for
a call.
"""

import typing

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
LONG_CALL_S = 0.1
MAX_SHORT_LOAD_PER_HOST_S = 0.2  # pending short calls, in seconds of cost
MAX_SHORT_CALL_HOSTS = 2  # these make no long calls
BEYOND_SHARE = 0.5  # of the calls, for steps beyond an entitlement
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
    if not _has_call_capacity(engine, step, cost, now):
        step.next_advice_at = now + FULL_RETRY_DELAY_S
        _defer_others(engine, step, now)
        return
    _request(engine, step, names, cost)


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

    If it isn't possible, the first call of a step has others deferred.
    """
    max_endpoints = min(
        candidates.count_others(copied_from),
        advice_sizing.MAX_ENDPOINTS_PER_CALL,
    )
    longest = advice.cost(max_endpoints)
    if not _is_ready_by_reply(engine, step, longest, now):
        return False
    if not _has_call_capacity(engine, step, advice.cost(1), now):
        if step.tickets is None and step.job.within_entitlement:
            _defer_others(engine, step, now)
        return False
    renewal = advice.cost(min(len(step.eligible), max_endpoints))
    return _needs_tickets(step, candidates, renewal, now, copied_from)


def _request(
    engine: 'engines.Engine',
    step: state.StepState,
    names: tuple[str, ...],
    cost: float,
) -> None:
    step.advice_pending = True
    if is_long_call(cost):
        engine.long_calls += 1
    else:
        engine.short_calls_cost += cost
    engine.advice_requests.append(commands.AdviceRequest(step, names, cost))


def handle_reply(
    engine: 'engines.Engine',
    request: commands.AdviceRequest,
    tickets: dict[str, str] | None,
    until: float,
    now: float,
) -> None:
    """Apply a reply, whose tickets expire at `until`; None if it failed."""
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


def is_long_call(cost: float) -> bool:
    """Return True if a call of `cost` seconds would delay many short ones."""
    return cost > LONG_CALL_S


def finish_call(engine: 'engines.Engine', cost: float) -> None:
    """Record that a call has ended, with or without a reply."""
    if is_long_call(cost):
        engine.long_calls -= 1
    else:
        engine.short_calls_cost -= cost


def hosts_for_short_calls(hosts: int) -> int:
    """Return how many of the hosts make short calls only."""
    return min(MAX_SHORT_CALL_HOSTS, hosts // 2)


def _has_call_capacity(
    engine: 'engines.Engine', step: state.StepState, cost: float, now: float
) -> bool:
    """Return True if the hosts can make a call without much queueing."""
    share = 1.0
    if not step.job.within_entitlement:
        full_until = engine.shares.advice_full_until.get(step.job.queue, now)
        if now < max(engine.shares.advice_wanted_until, full_until):
            return False
        share = BEYOND_SHARE
    if is_long_call(cost):
        hosts = engine.adviser_count - hosts_for_short_calls(
            engine.adviser_count
        )
        return engine.long_calls < hosts * share
    load = engine.short_calls_cost + cost
    return load <= MAX_SHORT_LOAD_PER_HOST_S * engine.adviser_count * share


def _defer_others(
    engine: 'engines.Engine', step: state.StepState, now: float
) -> None:
    """Keep back steps beyond an entitlement while another waits for a call.

    One of them keeps back only those of its queue, which take as long.
    """
    if step.job.within_entitlement:
        engine.shares.advice_wanted_until = now + DEFERRED_S
    else:
        engine.shares.advice_full_until[step.job.queue] = now + DEFERRED_S


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
