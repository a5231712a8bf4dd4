"""Decide when to ask the advice service, and about which endpoints.

Which endpoints are eligible for a step never changes, only the tickets age.
So the first question names all that could run it, and later ones just those
that were eligible. Tickets are renewed before they end while a step waits,
and got ahead while the step before is still at work, as a call can take
longer than a task.
"""

import typing

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

MARGIN_S = 0.25  # a start has to arrive while its ticket holds
LEAD_S = 0.15
PAUSE_S = 0.3
MOST_ASKED = 100
LONG_CALL_S = 0.1
SHORT_LOAD_S = 0.2
SHORT_ADVISERS = 2  # hosts that are kept free of long calls


def fresh(step: state.StepState, now: float) -> bool:
    """Tell whether the tickets of a step still hold for a start."""
    return step.tickets is not None and now + MARGIN_S < step.tickets_until


def ask_if_needed(
    engine: 'engines.Engine',
    step: state.StepState,
    pool: list[state.Endpoint],
    now: float,
) -> None:
    """Ask for tickets if a step will need them soon."""
    advice = engine.queue_of(step.job).advice
    if advice is None or step.asking or now < step.ask_again:
        return
    if not step.has_waiting():
        return
    most = min(len(pool), MOST_ASKED)
    if not _needed(engine, step, advice.cost(most), now):
        return
    names = _names(step, pool, now)
    cost = advice.cost(len(names))
    if not names or not _needed(engine, step, cost, now):
        return
    if not _may_ask(engine, cost):
        return
    step.asking = True
    if is_long_call(cost):
        engine.long_asks += 1
    else:
        engine.asking_cost += cost
    engine.advice_requests.append(commands.AdviceRequest(step, names, cost))


def _needed(
    engine: 'engines.Engine', step: state.StepState, cost: float, now: float
) -> bool:
    """Tell whether a call of that cost should be made now."""
    lead = cost + MARGIN_S + LEAD_S
    if step.tickets is not None and now + lead < step.tickets_until:
        return False
    return _soon(engine, step, cost, now)


def is_long_call(cost: float) -> bool:
    """Tell whether a call would hold up many short ones."""
    return cost > LONG_CALL_S


def answered(engine: 'engines.Engine', cost: float) -> None:
    """Take note that a call has ended."""
    if is_long_call(cost):
        engine.long_asks -= 1
    else:
        engine.asking_cost -= cost


def hosts_for_short_calls(advisers: int) -> int:
    """Return how many hosts are kept for short calls."""
    return min(SHORT_ADVISERS, advisers // 2)


def _may_ask(engine: 'engines.Engine', cost: float) -> bool:
    """Tell whether a call would be answered without much of a queue."""
    if is_long_call(cost):
        most = engine.advisers - hosts_for_short_calls(engine.advisers)
        return engine.long_asks < most
    return engine.asking_cost + cost <= SHORT_LOAD_S * engine.advisers


def _names(
    step: state.StepState, pool: list[state.Endpoint], now: float
) -> tuple[str, ...]:
    """Return the endpoints to ask about.

    Eligible ones go first, as one that isn't asked about again has no
    ticket any more; then those with room.
    """
    found = []
    for endpoint in pool:
        assert endpoint.entry is not None
        if endpoint.entry.draining:
            continue
        label = step.spec.label
        if label and label not in endpoint.entry.labels:
            continue
        known = endpoint.name in step.asked
        if known and endpoint.name not in step.eligible:
            continue
        found.append(endpoint)
    if len(found) > MOST_ASKED:
        found.sort(key=lambda e: _standing(step, e, now))
    return tuple(endpoint.name for endpoint in found[:MOST_ASKED])


def _standing(
    step: state.StepState, endpoint: state.Endpoint, now: float
) -> tuple[bool, bool, bool, int]:
    """Return the place of an endpoint among those to ask about."""
    free = endpoint.free()
    eligible = endpoint.name in step.eligible
    fits = step.spec.booked.fits(free)
    return not eligible, not endpoint.usable(now), not fits, -free.cpu


def _soon(
    engine: 'engines.Engine', step: state.StepState, cost: float, now: float
) -> bool:
    """Tell whether the steps before will be done when the answer is here."""
    others = step.job.occurrences[step.occurrence]
    for number in step.spec.after:
        before = others[number]
        if before.complete:
            continue
        left = _time_left(before, engine.estimates.run_time(before), now)
        if left > cost + LEAD_S:
            return False
    return True


def _time_left(before: state.StepState, run_time: float, now: float) -> float:
    """Return how long the tasks of a step should still take."""
    left = 0.0
    for task in before.tasks:
        if task.status is state.Status.DONE:
            continue
        if task.status is not state.Status.RUNNING:
            return float('inf')
        left = max(left, task.started + run_time - now)
    return left
