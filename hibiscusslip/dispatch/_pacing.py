"""Slow down tasks that fill for the sake of those that serve beside them.

A task that serves tells the tail of its response times. Once it nears its
target, everything that fills on its endpoint stands still; when it has been
well below for a while, that may work again, half as fast first.
"""

import typing

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

MS_PER_S = 1000.0
THROTTLE_LOAD = 0.9  # of the target: from here on others make room
RESUME_LOAD = 0.6  # of the target: below this others may work again
COOLDOWN_S = 2.0
PAUSED_PERCENT = 0
HALF_PERCENT = 50
FULL_PERCENT = 100


def pace(engine: 'engines.Engine', now: float) -> None:
    """Give each run that fills the speed that its neighbours bear."""
    for endpoint in engine.endpoints.values():
        filling = _listed_allocations(endpoint, lambda spec: spec.fills)
        if not filling:
            continue
        serving = _listed_allocations(
            endpoint, lambda spec: bool(spec.tail_latency_target)
        )
        for allocation in filling:
            percent = _pace_percent(allocation, serving, now)
            if percent != allocation.pace_percent:
                _set_pace(engine, endpoint, allocation, percent, now)


def _listed_allocations(
    endpoint: state.Endpoint, predicate: typing.Callable[..., bool]
) -> list[state.Allocation]:
    return [
        allocation
        for allocation in endpoint.allocations.values()
        if allocation.task is not None
        and allocation.listed
        and predicate(allocation.task.step.spec)
    ]


def _pace_percent(
    allocation: state.Allocation, serving: list[state.Allocation], now: float
) -> int:
    load = max((_load_ratio(other) for other in serving), default=0.0)
    if load >= THROTTLE_LOAD:
        allocation.cooldown_since = now
        return PAUSED_PERCENT
    if allocation.pace_percent == FULL_PERCENT:
        return FULL_PERCENT
    may_resume = (
        load < RESUME_LOAD and now >= allocation.cooldown_since + COOLDOWN_S
    )
    if not serving or (may_resume and allocation.pace_percent == HALF_PERCENT):
        return FULL_PERCENT
    return HALF_PERCENT if may_resume else allocation.pace_percent


def _load_ratio(allocation: state.Allocation) -> float:
    """Return the tail of response times as a share of its target."""
    assert allocation.task is not None
    target = allocation.task.step.spec.tail_latency_target
    return allocation.usage / MS_PER_S / target


def _set_pace(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    allocation: state.Allocation,
    percent: int,
    now: float,
) -> None:
    assert allocation.task is not None
    if percent == HALF_PERCENT:
        allocation.cooldown_since = (
            now  # full speed only after another calm while
        )
    allocation.pace_percent = percent
    engine.paces.append(
        commands.Pace(
            endpoint.name, allocation.task.name, allocation.run, percent
        )
    )
