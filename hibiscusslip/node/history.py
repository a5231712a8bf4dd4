"""Record what this host did on its own, with the reasons."""

import collections

from hibiscusslip.node import clock
from hibiscusslip.operator import service

MAX_EVENTS = 500


class History:
    """Keep the latest MAX_EVENTS events in memory."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._events: collections.deque[service.Event] = collections.deque(
            maxlen=MAX_EVENTS
        )

    def note(self, what: str, why: str) -> None:
        """Record an event with the present time."""
        event = service.Event(clock.wall_time(), self._host, what, why)
        self._events.append(event)

    def latest(self, limit: int) -> list[service.Event]:
        """Return up to `limit` events, the newest first."""
        return list(reversed(self._events))[:limit]
