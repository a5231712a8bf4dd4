"""Make sure that holders know who may claim from them.

A holder that is cut from the log goes on by promises of all claimants it
knows. So a host may claim from a holder only when that one counts it among
its claimants, or surely holds nothing any more.
"""

import dataclasses
import math

from hibiscusslip.model import places
from hibiscusslip.ownership import timing as timing_
from hibiscusslip.peer import messages

MAX_CLAIMANTS = 256


@dataclasses.dataclass(slots=True)
class Contact:
    """Hold when a host confirmed to know this one.

    `known_to` maps each holder that asks the host for promises to when it
    was first told, `last_sent` is when the last confirmed request went out.
    """

    first_ack: float
    last_sent: float
    known_to: dict[places.HostId, float]


class Introductions:
    """Hold who knows this host, and whom this host knows as claimants."""

    def __init__(self, me: places.HostId, timing: timing_.Timing) -> None:
        self._me = me
        self._timing = timing
        self._contacts: dict[places.HostId, Contact] = {}
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

    def excuse(self, host: places.HostId) -> None:
        """Count a host no more that said it claims nothing from now on."""
        self._claimants.pop(host, None)

    def known_before(self, at: float) -> list[places.HostId]:
        """Return the claimants that were known before a time."""
        return [host for host, since in self._claimants.items() if since < at]

    def drop(self, host: places.HostId) -> None:
        """Forget a host that can't claim any more."""
        self._claimants.pop(host, None)
        self._contacts.pop(host, None)
        self._asked.pop(host, None)

    def due(self, host: places.HostId, touch: bool, now: float) -> bool:
        """Tell whether to send an introduction, `touch` for known hosts."""
        if host in self._contacts and not touch:
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
        contact = self._contacts.get(host)
        if contact is None:
            contact = Contact(now, sent_at, {})
            self._contacts[host] = contact
        contact.last_sent = max(contact.last_sent, sent_at)
        known = contact.known_to
        contact.known_to = {
            holder: known.get(holder, now)
            for holder in map(parse_host, reply.known_to)
        }
        return sent_at

    def knows_me(self, host: places.HostId) -> bool:
        """Tell whether a host counts this one among its claimants."""
        return host in self._contacts

    def known_to(self) -> list[str]:
        """Return the hosts that count this one among their claimants."""
        return sorted(str(host) for host in self._contacts)

    def clear_at(self, holder: places.HostId, since: float) -> float:
        """Return when the holder's rights as of `since` have run out.

        Infinite while the holder may go on without asking this host.
        """
        wait = self._timing.lease_wait
        contact = self._contacts.get(holder)
        if contact is not None:
            return max(since, contact.first_ack) + wait
        return min(
            (
                max(since, other.known_to[holder]) + wait
                for other in self._contacts.values()
                if holder in other.known_to
                and other.last_sent
                >= max(since, other.known_to[holder]) + wait
            ),
            default=math.inf,
        )


def parse_host(text: str) -> places.HostId:
    """Return the host that `str(host)` was made from."""
    name, _, incarnation = text.partition('#')
    return places.HostId(name, incarnation)
