"""Choose the connection that makes room for a new one."""

import collections.abc
import typing

from hibiscusslip.http import _activity

Phase = _activity.Phase
# A request that is being handled is never given up: it may have taken effect.
_ORDER = {
    Phase.LINGERING: 0,
    Phase.IDLE: 1,
    Phase.READING: 2,
    Phase.WRITING: 3,
}


class Evictable(typing.Protocol):
    """Interface to what has an activity."""

    activity: _activity.Activity


Conn = typing.TypeVar('Conn', bound=Evictable)


def choose(
    conns: collections.abc.Iterable[Conn], now: float, min_age: float
) -> Conn | None:
    """Return the connection to close first, None if none may be.

    Only those that have been in their phase for `min_age` seconds count.
    Idle connections go before slow ones, and among the idle ones those that
    have never sent a request.
    """
    candidates = [
        conn
        for conn in conns
        if conn.activity.phase in _ORDER
        and now >= conn.activity.since + min_age
    ]
    return min(candidates, key=_rank, default=None)


def _rank(conn: Evictable) -> tuple[int, bool, float]:
    activity = conn.activity
    return (_ORDER[activity.phase], activity.served > 0, activity.since)
