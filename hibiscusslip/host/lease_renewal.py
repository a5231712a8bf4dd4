"""Decide until when an owner may extend leases; no I/O.

Its right begins with each notice that it reads back from the log: no claim
precedes that notice, and whoever claims later has read it, and waits. Without
the store it extends leases for UNVOUCHED_RENEWAL_S. After that each host that
a claimant could take for known to this owner has to vouch, within the last
VOUCH_S, that it doesn't claim; each counts its own vouches if it claims after
all. So a host that never vouched can wait for the shorter time.
"""

import dataclasses

from hibiscusslip.host import lease_timing


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """A notice: when it was composed, and the other hosts known then."""

    at: float
    hosts: frozenset[str]
    grants: bool


class LeaseRenewal:
    """Keep the right of one epoch's owner to extend leases.

    `confirmed_at` is when the newest notice that was read back was composed,
    on the monotonic clock. While `held_back` no lease is extended.
    """

    def __init__(self) -> None:
        self.confirmed_at = 0.0
        self.held_back = False
        self._confirmed_number = 0
        self._sent: dict[int, _Sent] = {}
        self._vouched_until: dict[str, float] = {}

    def begin(self, sent: float, hosts: frozenset[str]) -> None:
        """Begin with a claim, sent at `sent`, that has been written."""
        self.confirmed_at = sent
        self.held_back = False
        self._confirmed_number = 0
        self._sent = {0: _Sent(sent, hosts, False)}
        self._vouched_until = {}

    def note_sent(
        self, number: int, at: float, hosts: frozenset[str], grants: bool
    ) -> None:
        """Note a notice; with `grants` it says that leases are extended."""
        # Without the store notices add up, mostly with the same hosts.
        newest = next(reversed(self._sent.values()), None)
        if newest is not None and newest.hosts == hosts:
            hosts = newest.hosts
        self._sent[number] = _Sent(at, hosts, grants)

    def confirm(self, number: int) -> None:
        """Note that a notice was read back, with no claim before it."""
        sent = self._sent.get(number)
        if sent is None or number < self._confirmed_number:
            return
        self.confirmed_at = max(self.confirmed_at, sent.at)
        self._confirmed_number = number
        if sent.grants:
            self.held_back = False
        self._sent = {n: s for n, s in self._sent.items() if n >= number}

    def relied_on(self) -> frozenset[str]:
        """Return the hosts that have to vouch.

        A claimant may have read any notice since the last one that is known
        to be in the log, and takes itself for known if that one includes it.
        """
        return frozenset().union(*{sent.hosts for sent in self._sent.values()})

    def record_vouch(self, host: str, asked_at: float) -> None:
        """Record that a host has vouched when asked at `asked_at`."""
        until = asked_at + lease_timing.VOUCH_S
        self._vouched_until[host] = max(
            until, self._vouched_until.get(host, until)
        )

    def missing_vouches(self, now: float) -> list[str]:
        """Return the hosts that don't vouch at present, in order."""
        return sorted(
            host
            for host in self.relied_on()
            if self._vouched_until.get(host, 0.0) <= now
        )

    def needs_vouches(self, now: float) -> bool:
        """Return True once leases aren't extended without vouches."""
        return now >= self.confirmed_at + lease_timing.UNVOUCHED_RENEWAL_S

    def allows(self, now: float) -> bool:
        """Return True if leases may be extended."""
        if self.held_back:
            return False
        if now >= self.confirmed_at + lease_timing.RENEWAL_LIMIT_S:
            return False
        return not self.needs_vouches(now) or not self.missing_vouches(now)
