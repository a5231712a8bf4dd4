"""Decide how long a stopping host waits for a successor of its shards."""

import collections.abc

from hibiscusslip.membership import members as members_

# A host of the zone that is being restarted answers its first heartbeat only
# after a moment, later on a busy machine. The other half of the grace is left
# for the transfer itself.
SUCCESSOR_WAIT_SHARE = 0.5


class SuccessorWait:
    """Track whether another host of the zone may still take the shards.

    Times are seconds on this host's monotonic clock.
    """

    def __init__(self, grace: float, now: float) -> None:
        self._wait = grace * SUCCESSOR_WAIT_SHARE
        self._last_seen_at = now

    def expects_successor(
        self, others: collections.abc.Collection[members_.Member], now: float
    ) -> bool:
        """Return whether to wait on, given the other hosts of the zone.

        A host that doesn't respond counts for half of the grace after one
        that accepts shards was last seen: it may be restarting, or its
        heartbeats may be late.
        """
        if any(other.alive and not other.draining for other in others):
            self._last_seen_at = now
            return True
        may_return = any(
            not (other.alive or other.leaving) for other in others
        )
        return may_return and now < self._last_seen_at + self._wait
