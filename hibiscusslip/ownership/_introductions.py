"""Ensure that lease holders know all hosts that may claim their shards.

A holder that can't reach the log extends its leases by promises of all the
claimants it knows. A host may therefore claim a shard only when each peer of
its zone that may be running counts it among its claimants.
"""

import math

from hibiscusslip.model import places
from hibiscusslip.ownership import timing as timing_
from hibiscusslip.peer import messages

MAX_CLAIMANTS = 256


class Introductions:
    """Track which peers know this host as a claimant, and the reverse."""

    def __init__(self, me: places.HostId, timing: timing_.Timing) -> None:
        self._me = me
        self._timing = timing
        self._known_since: dict[places.HostId, float] = {}
        self._sent_at: dict[str, float] = {}
        self._last_sent_at: dict[places.HostId, float] = {}
        self._claimants: dict[places.HostId, float] = {}

    @property
    def claimants(self) -> set[places.HostId]:
        """Return the hosts that may claim shards from this host."""
        return set(self._claimants)

    def admit(self, host: places.HostId, now: float) -> bool:
        """Add a claimant; return False if the limit is reached."""
        if host == self._me:
            return False
        if host not in self._claimants:
            if len(self._claimants) >= MAX_CLAIMANTS:
                return False
            self._claimants[host] = now
        return True

    def known_before(self, at: float) -> list[places.HostId]:
        """Return the claimants added before a time."""
        return [host for host, since in self._claimants.items() if since < at]

    def drop(self, host: places.HostId) -> None:
        """Remove a host that can no longer claim."""
        self._claimants.pop(host, None)
        self._known_since.pop(host, None)
        self._last_sent_at.pop(host, None)

    def is_due(self, host: places.HostId, now: float) -> bool:
        """Return True if an introduction should be sent or repeated."""
        if host in self._known_since:
            return False
        last_sent_at = self._last_sent_at.get(host, -math.inf)
        interval = self._timing.promise_interval
        return now >= last_sent_at + interval

    def mark_sent(
        self, host: places.HostId, request_id: str, now: float
    ) -> None:
        """Record an introduction that is sent now."""
        self._last_sent_at[host] = now
        self._sent_at[request_id] = now
        if len(self._sent_at) > MAX_CLAIMANTS:
            del self._sent_at[next(iter(self._sent_at))]

    def confirm(
        self,
        host: places.HostId,
        reply: messages.IntroductionReply,
        now: float,
    ) -> float | None:
        """Record that a peer counts this host among its claimants.

        Return when the request was sent, None for an unknown request.
        """
        sent_at = self._sent_at.pop(reply.request_id, None)
        if sent_at is None:
            return None
        self._known_since.setdefault(host, now)
        return sent_at

    def promises_expire_at(self, host: places.HostId) -> float:
        """Return when leases that a peer extended without this host expire.

        Infinite while the peer doesn't count this host among its claimants.
        """
        since = self._known_since.get(host, math.inf)
        return since + self._timing.lease_wait
