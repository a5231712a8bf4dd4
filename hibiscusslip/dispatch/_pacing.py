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
NEAR = 0.9  # of the target: from here on others make room
CALM = 0.6  # of the target: below this others may work again
CALM_S = 2.0
STILL = 0
HALF = 50
FULL = 100


def pace(engine: 'engines.Engine', now: float) -> None:
    """Give each run that fills the speed that its neighbours bear."""
    for endpoint in engine.endpoints.values():
        filling = _runs(endpoint, lambda spec: spec.fills)
        if not filling:
            continue
        serving = _runs(endpoint, lambda spec: bool(spec.tail_latency_target))
        for booking in filling:
            percent = _speed(booking, serving, now)
            if percent != booking.paced:
                _order(engine, endpoint, booking, percent, now)


def _runs(
    endpoint: state.Endpoint, wanted: typing.Callable[..., bool]
) -> list[state.Allocation]:
    return [
        booking
        for booking in endpoint.allocations.values()
        if booking.task is not None
        and booking.listed
        and wanted(booking.task.step.spec)
    ]


def _speed(
    booking: state.Allocation, serving: list[state.Allocation], now: float
) -> int:
    load = max((_load(other) for other in serving), default=0.0)
    if load >= NEAR:
        booking.over_since = now
        return STILL
    if booking.paced == FULL:
        return FULL
    calm = load < CALM and now >= booking.over_since + CALM_S
    if not serving or (calm and booking.paced == HALF):
        return FULL
    return HALF if calm else booking.paced


def _load(booking: state.Allocation) -> float:
    """Return the tail of response times as a share of its target."""
    assert booking.task is not None
    target = booking.task.step.spec.tail_latency_target
    return booking.usage / MS_PER_S / target


def _order(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    booking: state.Allocation,
    percent: int,
    now: float,
) -> None:
    assert booking.task is not None
    if percent == HALF:
        booking.over_since = now  # full speed only after another calm while
    booking.paced = percent
    engine.paces.append(
        commands.Pace(endpoint.name, booking.task.name, booking.run, percent)
    )
