"""Track one entry host by its name."""

import dataclasses
import math

from hibiscusslip.model import places

MAX_INCARNATIONS = 32
MAX_UNANSWERED_HEARTBEATS = 16


@dataclasses.dataclass(slots=True)
class Peer:
    """Store what is known of the host with one name.

    `host` is None until an incarnation is known. `last_alive_at` is when the
    host was last alive by its own messages or by those of other hosts;
    `last_contact_at` counts only its own. `incarnations` maps each one to
    when it was first known, `unanswered` each heartbeat's number to when it
    was sent.
    """

    name: str
    zone: str
    address: str
    port: int
    known_at: float
    host: places.HostId | None = None
    last_alive_at: float = -math.inf
    last_contact_at: float = -math.inf
    draining: bool = False
    leaving: bool = False
    absent_since: float | None = None
    next_heartbeat_at: float = -math.inf
    incarnations: dict[str, float] = dataclasses.field(default_factory=dict)
    unanswered: dict[int, float] = dataclasses.field(default_factory=dict)

    def record_incarnation(self, incarnation: str, now: float) -> None:
        """Record an incarnation; the oldest ones are dropped."""
        self.incarnations.setdefault(incarnation, now)
        while len(self.incarnations) > MAX_INCARNATIONS:
            del self.incarnations[next(iter(self.incarnations))]

    def record_contact(self, host: places.HostId, now: float) -> None:
        """Record a message from the host itself."""
        self._set_incarnation(host, now)
        self.last_alive_at = max(self.last_alive_at, now)
        self.last_contact_at = now

    def record_report(
        self, host: places.HostId, at: float, now: float
    ) -> None:
        """Record that the host was alive at `at`, as other hosts report."""
        if at <= self.last_alive_at:
            return
        self._set_incarnation(host, now)
        self.last_alive_at = at

    def _set_incarnation(self, host: places.HostId, now: float) -> None:
        if self.host != host:
            self.host = host
            self.draining = False
        self.record_incarnation(host.incarnation, now)

    def record_heartbeat(self, number: int, now: float) -> None:
        """Record a heartbeat that is sent now."""
        self.unanswered[number] = now
        while len(self.unanswered) > MAX_UNANSWERED_HEARTBEATS:
            del self.unanswered[next(iter(self.unanswered))]

    def pop_ended(
        self, incarnation: str, sent_at: float
    ) -> list[places.HostId]:
        """Remove and return the incarnations that have provably ended.

        The process that answers a heartbeat sent at `sent_at` is newer than
        any other incarnation known by then, as a host runs one process at a
        time.
        """
        ended = [
            other
            for other, since in self.incarnations.items()
            if other != incarnation and since < sent_at
        ]
        for other in ended:
            del self.incarnations[other]
        return [places.HostId(self.name, other) for other in ended]
