"""Throttle best-effort tasks co-located with latency-sensitive ones.

A latency-sensitive task reports its tail latency. When that nears its
target, all best-effort tasks on the endpoint are paused. Once it has been
well below the target for a while they resume, first at half their speed.
"""

import typing

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

MS_PER_S = 1000.0
PAUSE_RATIO = 0.9  # of tail latency to its target
RESUME_RATIO = 0.6
COOLDOWN_S = 2.0
PAUSED_PERCENT = 0
HALF_PERCENT = 50
FULL_PERCENT = 100


def pace(engine: 'engines.Engine', now: float) -> None:
    """Add commands for the best-effort runs whose pace has to change."""
    for endpoint in engine.endpoints.values():
        if not endpoint.best_effort_count:
            continue
        best_effort = _listed_allocations(endpoint, lambda spec: spec.fills)
        if not best_effort:
            continue
        sensitive = _listed_allocations(
            endpoint, lambda spec: bool(spec.tail_latency_target)
        )
        ratios = [_latency_ratio(allocation) for allocation in sensitive]
        highest = max(ratios, default=None)
        for allocation in best_effort:
            percent = _pace_percent(allocation, highest, now)
            if percent != allocation.pace_percent:
                _set_pace(engine, endpoint, allocation, percent, now)


def _listed_allocations(
    endpoint: state.Endpoint, predicate: typing.Callable[..., bool]
) -> list[state.Allocation]:
    return [
        allocation
        for allocation in endpoint.allocations.values()
        if allocation.task is not None
        and allocation.listed_at
        and predicate(allocation.task.step.spec)
    ]


def _pace_percent(
    allocation: state.Allocation, highest: float | None, now: float
) -> int:
    """Return the pace of a run beside others with a `highest` ratio.

    It is None if none of them is latency-sensitive.
    """
    ratio = highest or 0.0
    if ratio >= PAUSE_RATIO:
        allocation.cooldown_since = now
        return PAUSED_PERCENT
    if allocation.pace_percent == FULL_PERCENT:
        return FULL_PERCENT
    may_resume = (
        ratio < RESUME_RATIO and now >= allocation.cooldown_since + COOLDOWN_S
    )
    if highest is None or (
        may_resume and allocation.pace_percent == HALF_PERCENT
    ):
        return FULL_PERCENT
    return HALF_PERCENT if may_resume else allocation.pace_percent


def _latency_ratio(allocation: state.Allocation) -> float:
    """Return the ratio of a run's tail latency to its target."""
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
        allocation.cooldown_since = now  # full speed takes another cooldown
    allocation.pace_percent = percent
    allocation.measurable = False
    engine.paces.append(
        commands.Pace(
            endpoint.name, allocation.task.name, allocation.run, percent
        )
    )
