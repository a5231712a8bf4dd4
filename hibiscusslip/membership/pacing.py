"""Define the intervals of heartbeats and the timeouts of suspicion."""

import dataclasses

from hibiscusslip.membership import exceptions


@dataclasses.dataclass(frozen=True, slots=True)
class Pacing:
    """Store intervals and timeouts, in seconds, and limits.

    The `foreign_` values apply to hosts of other zones: a host sends
    heartbeats to `foreign_fanout` of them. `known_hosts_per_message` is how
    many known hosts one message carries, and `list_lag` how long the
    platform's host list may lag behind. Raise InvalidPacing if the values are
    inconsistent.
    """

    heartbeat: float = 0.5
    suspect_after: float = 2.0
    foreign_heartbeat: float = 2.0
    foreign_suspect_after: float = 20.0
    forget_after: float = 120.0
    list_lag: float = 60.0
    foreign_fanout: int = 4
    known_hosts_per_message: int = 12
    max_hosts: int = 512

    def __post_init__(self) -> None:
        if self.suspect_after < 2 * self.heartbeat:
            raise exceptions.InvalidPacing(
                'suspect_after leaves no time for a lost heartbeat; give at'
                ' least twice heartbeat'
            )
        if self.foreign_suspect_after < 2 * self.foreign_heartbeat:
            raise exceptions.InvalidPacing(
                'foreign_suspect_after leaves no time for a lost heartbeat;'
                ' give at least twice foreign_heartbeat'
            )
        if self.foreign_fanout < 1 or self.known_hosts_per_message < 1:
            raise exceptions.InvalidPacing(
                'foreign_fanout and known_hosts_per_message must be 1 or more'
            )
