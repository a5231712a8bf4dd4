"""Make sure that holders know who may claim from them.

A holder that is cut from the log goes on by promises of all claimants it
knows. So a host may claim only when each other host of the zone that may
live counts it among its claimants.
"""

import math

from hibiscusslip.model import places
from hibiscusslip.ownership import timing as timing_
from hibiscusslip.peer import messages

MAX_CLAIMANTS = 256


class Introductions:
    """Hold who knows this host, and whom this host knows as claimants."""

    def __init__(self, me: places.HostId, timing: timing_.Timing) -> None:
        self._me = me
        self._timing = timing
        self._known_since: dict[places.HostId, float] = {}
        self._sent: dict[str, float] = {}
        self._asked: dict[places.HostId, float] = {}
        self._claimants: dict[places.HostId, float] = {}

    @property
    def claimants(self) -> set[places.HostId]:
        """Return the hosts that may claim from this one."""
        return set(self._claimants)

    def admit(self, host: places.HostId, now: float) -> bool:
        """Count a newcomer among the claimants, False if there is no room."""
        if host == self._me:
            return False
        if host not in self._claimants:
            if len(self._claimants) >= MAX_CLAIMANTS:
                return False
            self._claimants[host] = now
        return True

    def known_before(self, at: float) -> list[places.HostId]:
        """Return the claimants that were known before a time."""
        return [host for host, since in self._claimants.items() if since < at]

    def drop(self, host: places.HostId) -> None:
        """Forget a host that can't claim any more."""
        self._claimants.pop(host, None)
        self._known_since.pop(host, None)
        self._asked.pop(host, None)

    def due(self, host: places.HostId, now: float) -> bool:
        """Tell whether to send an introduction, again if unanswered."""
        if host in self._known_since:
            return False
        asked = self._asked.get(host, -math.inf)
        interval = self._timing.promise_interval
        return now >= asked + interval

    def sent(self, host: places.HostId, request_id: str, now: float) -> None:
        """Note an introduction that goes out now."""
        self._asked[host] = now
        self._sent[request_id] = now
        if len(self._sent) > MAX_CLAIMANTS:
            del self._sent[next(iter(self._sent))]

    def confirmed(
        self,
        host: places.HostId,
        reply: messages.IntroductionReply,
        now: float,
    ) -> float | None:
        """Note that a host counts this one among its claimants.

        Return when the request was sent, None for an unknown one.
        """
        sent_at = self._sent.pop(reply.request_id, None)
        if sent_at is None:
            return None
        self._known_since.setdefault(host, now)
        return sent_at

    def clear_at(self, host: places.HostId) -> float:
        """Return when promises that left this host out have run out.

        Infinite while the host doesn't count it among its claimants.
        """
        since = self._known_since.get(host, math.inf)
        return since + self._timing.lease_wait
