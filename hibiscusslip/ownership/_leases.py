"""Track the leases of this host and when they expire."""

import dataclasses
import math

from hibiscusslip.ownership import timing as timing_


@dataclasses.dataclass(slots=True)
class Lease:
    """Represent this host's lease of one shard.

    Times are seconds on this host's clock. `log_until` and `promise_until`
    are when the lease expires by the log and by promises. Before
    `settle_until`, sends of the previous owner may still arrive.
    `transfer_id` is set while the shard is frozen for a transfer, and
    `transfer_sent` once the transfer's record may be in flight.
    """

    epoch: int
    log_until: float
    settle_until: float
    last_sent: float = -math.inf
    promise_until: float = -math.inf
    transfer_id: str = ''
    transfer_sent: bool = False
    snapshot_at: float = math.inf

    @property
    def expires_at(self) -> float:
        """Return when the lease expires."""
        return max(self.log_until, self.promise_until)


class Leases:
    """Store the leases of one host by shard."""

    def __init__(self, timing: timing_.Timing) -> None:
        self._timing = timing
        self._held: dict[int, Lease] = {}

    def get(self, shard: int) -> Lease | None:
        """Return the lease of a shard, expired or not."""
        return self._held.get(shard)

    def items(self) -> list[tuple[int, Lease]]:
        """Return all leases by shard, including expired ones."""
        return sorted(self._held.items())

    def acquire(
        self, shard: int, epoch: int, lease_start: float, settle_until: float
    ) -> Lease:
        """Add a lease at a new epoch; sends may begin at `settle_until`."""
        lease = Lease(epoch, lease_start + self._timing.lease, settle_until)
        lease.last_sent = lease_start
        self._held[shard] = lease
        return lease

    def renew(self, shard: int, sent_at: float) -> None:
        """Renew a lease; it runs from right before the renewal was sent."""
        lease = self._held[shard]
        lease.log_until = max(lease.log_until, sent_at + self._timing.lease)

    def extend_by_promises(
        self, shard: int, sent_at: float, now: float
    ) -> bool:
        """Extend a lease by the promises of all claimants.

        Return True if it had expired. Another host, terminated since, may
        then have held the shard in between; its sends in flight have to
        arrive before this host acts again.
        """
        lease = self._held[shard]
        expires_at = sent_at + self._timing.promise
        expired = now >= lease.expires_at
        lease.promise_until = max(lease.promise_until, expires_at)
        if not expired or now >= expires_at:
            return False
        settled_at = now + self._timing.safe_wait(self._timing.settle)
        lease.settle_until = max(lease.settle_until, settled_at)
        return True

    def end(self, shard: int) -> Lease | None:
        """Remove and return the lease of a shard."""
        return self._held.pop(shard, None)

    def time_left(self, shard: int, now: float) -> float:
        """Return the seconds until the lease expires, 0 without a lease."""
        lease = self._held.get(shard)
        if lease is None or lease.transfer_sent:
            return 0.0
        return max(0.0, lease.expires_at - now)

    def is_settling(self, shard: int, now: float) -> bool:
        """Return True while sends of the previous owner may still arrive."""
        lease = self._held.get(shard)
        return lease is not None and now < lease.settle_until

    def may_act(self, shard: int, now: float) -> bool:
        """Return True if a send to the shard's endpoints may begin."""
        lease = self._held.get(shard)
        if lease is None or lease.transfer_id:
            return False
        return self.time_left(shard, now) > 0 and now >= lease.settle_until
