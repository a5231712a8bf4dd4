"""Follow one entry host by its name."""

import dataclasses
import math

from hibiscusslip.model import places

MAX_INCARNATIONS = 32
MAX_BEATS = 16


@dataclasses.dataclass(slots=True)
class Peer:
    """Hold what is known of the host with one name.

    `host` is None until an incarnation is known. `heard_at` is when the
    host last lived, by its own word or by others'; `direct_at` counts only
    its own. `seen` maps incarnations to when they were first known.
    """

    name: str
    zone: str
    address: str
    port: int
    known_at: float
    host: places.HostId | None = None
    heard_at: float = -math.inf
    direct_at: float = -math.inf
    draining: bool = False
    leaving: bool = False
    absent_since: float | None = None
    next_beat_at: float = -math.inf
    seen: dict[str, float] = dataclasses.field(default_factory=dict)
    beats: dict[int, float] = dataclasses.field(default_factory=dict)

    def see(self, incarnation: str, now: float) -> None:
        """Note an incarnation; the oldest are forgotten."""
        self.seen.setdefault(incarnation, now)
        while len(self.seen) > MAX_INCARNATIONS:
            del self.seen[next(iter(self.seen))]

    def hear(self, host: places.HostId, now: float) -> None:
        """Note a sign of life from the host itself."""
        self._become(host, now)
        self.heard_at = max(self.heard_at, now)
        self.direct_at = now

    def hear_of(self, host: places.HostId, at: float, now: float) -> None:
        """Note that others heard the host at `at`, later word wins."""
        if at <= self.heard_at:
            return
        self._become(host, now)
        self.heard_at = at

    def _become(self, host: places.HostId, now: float) -> None:
        if self.host != host:
            self.host = host
            self.draining = False
        self.see(host.incarnation, now)

    def beat(self, number: int, now: float) -> None:
        """Note a heartbeat that goes out now."""
        self.beats[number] = now
        while len(self.beats) > MAX_BEATS:
            del self.beats[next(iter(self.beats))]

    def outlived(
        self, incarnation: str, asked_at: float
    ) -> list[places.HostId]:
        """Return and forget the incarnations that have surely ended.

        A process that answers what was sent at `asked_at` lives after all
        that was known by then, and a host runs one process at a time.
        """
        ended = [
            other
            for other, since in self.seen.items()
            if other != incarnation and since < asked_at
        ]
        for other in ended:
            del self.seen[other]
        return [places.HostId(self.name, other) for other in ended]
