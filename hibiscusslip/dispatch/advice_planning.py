"""Decide when to ask the advice service, and about which endpoints.

Which endpoints are eligible for a step never changes; only the tickets
expire. So the first call names all endpoints that could run the step, and
later calls only those that were eligible. While a step waits, its tickets
are renewed before they expire. The first tickets are requested while the
steps that it depends on still run, as a call can take longer than a task.
"""

import typing

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

START_MARGIN_S = 0.25  # a start has to arrive while its ticket is valid
LEAD_S = 0.15  # by which a call is made earlier than its duration requires
RETRY_DELAY_S = 0.3
MAX_ENDPOINTS_PER_CALL = 100
LONG_CALL_S = 0.1
MAX_SHORT_LOAD_PER_HOST_S = 0.2  # pending short calls, in seconds of cost
MAX_SHORT_CALL_HOSTS = 2  # these make no long calls


def has_valid_tickets(step: state.StepState, now: float) -> bool:
    """Return True if a start with a ticket of the step would be admitted."""
    return (
        step.tickets is not None and now + START_MARGIN_S < step.tickets_until
    )


def request_advice_if_needed(
    engine: 'engines.Engine',
    step: state.StepState,
    pool: list[state.Endpoint],
    now: float,
) -> None:
    """Request tickets if a step will need them soon."""
    advice = engine.queue_of(step.job).advice
    if advice is None or step.advice_pending or now < step.next_advice_at:
        return
    if not step.has_waiting():
        return
    max_endpoints = min(len(pool), MAX_ENDPOINTS_PER_CALL)
    if not _is_call_due(engine, step, advice.cost(max_endpoints), now):
        return
    names = _select_endpoints(step, pool, now)
    cost = advice.cost(len(names))
    if not names or not _is_call_due(engine, step, cost, now):
        return
    if not _has_call_capacity(engine, cost):
        return
    step.advice_pending = True
    if is_long_call(cost):
        engine.long_calls += 1
    else:
        engine.short_calls_cost += cost
    engine.advice_requests.append(commands.AdviceRequest(step, names, cost))


def _is_call_due(
    engine: 'engines.Engine', step: state.StepState, cost: float, now: float
) -> bool:
    """Return True if a call that takes `cost` seconds should be made now."""
    lead = cost + START_MARGIN_S + LEAD_S
    if step.tickets is not None and now + lead < step.tickets_until:
        return False
    return _is_ready_by_reply(engine, step, cost, now)


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


def _has_call_capacity(engine: 'engines.Engine', cost: float) -> bool:
    """Return True if the hosts can make a call without much queueing."""
    if is_long_call(cost):
        hosts = engine.adviser_count - hosts_for_short_calls(
            engine.adviser_count
        )
        return engine.long_calls < hosts
    return (
        engine.short_calls_cost + cost
        <= MAX_SHORT_LOAD_PER_HOST_S * engine.adviser_count
    )


def _select_endpoints(
    step: state.StepState, pool: list[state.Endpoint], now: float
) -> tuple[str, ...]:
    """Return the names of the endpoints to ask about.

    If there are too many, eligible ones come first, because an endpoint that
    isn't asked about again loses its ticket; then those with free capacity.
    """
    selected = []
    for endpoint in pool:
        assert endpoint.entry is not None
        if endpoint.entry.draining:
            continue
        label = step.spec.label
        if label and label not in endpoint.entry.labels:
            continue
        was_asked = endpoint.name in step.asked_about
        if was_asked and endpoint.name not in step.eligible:
            continue
        selected.append(endpoint)
    if len(selected) > MAX_ENDPOINTS_PER_CALL:
        selected.sort(key=lambda e: _selection_key(step, e, now))
    return tuple(
        endpoint.name for endpoint in selected[:MAX_ENDPOINTS_PER_CALL]
    )


def _selection_key(
    step: state.StepState, endpoint: state.Endpoint, now: float
) -> tuple[bool, bool, bool, int]:
    """Return the sort key of an endpoint; the lowest is asked about first."""
    free = endpoint.free_capacity()
    eligible = endpoint.name in step.eligible
    fits = step.spec.allocated_demand.fits(free)
    return not eligible, not endpoint.usable(now), not fits, -free.cpu


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
