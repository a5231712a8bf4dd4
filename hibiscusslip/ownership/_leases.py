"""Keep what this host holds, and until when it may act."""

import dataclasses
import math

from hibiscusslip.ownership import timing as timing_


@dataclasses.dataclass(slots=True)
class Lease:
    """Hold this host's right to one shard; times are its own seconds.

    `transfer_id` is set while the shard is frozen for a hand-over, and
    `transfer_sent` once its record may be on its way.
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
    def until(self) -> float:
        """Return when the right to act ends."""
        return max(self.log_until, self.promise_until)


class Leases:
    """Hold the leases of one host by shard."""

    def __init__(self, timing: timing_.Timing) -> None:
        self._timing = timing
        self._held: dict[int, Lease] = {}

    def get(self, shard: int) -> Lease | None:
        """Return the lease of a shard, lapsed or not."""
        return self._held.get(shard)

    def items(self) -> list[tuple[int, Lease]]:
        """Return all leases by shard, lapsed ones as well."""
        return sorted(self._held.items())

    def begin(
        self, shard: int, epoch: int, counted_from: float, settle: float
    ) -> Lease:
        """Hold a shard at a new epoch, `settle` is when starts may begin."""
        lease = Lease(epoch, counted_from + self._timing.lease, settle)
        lease.last_sent = counted_from
        self._held[shard] = lease
        return lease

    def renew(self, shard: int, sent_at: float) -> None:
        """Count the lease anew from before a confirmed record was sent."""
        lease = self._held[shard]
        lease.log_until = max(lease.log_until, sent_at + self._timing.lease)

    def promise(self, shard: int, asked_at: float, now: float) -> bool:
        """Extend a lease by promises of all claimants.

        Return whether it had lapsed. Then a host that has ended since may
        have held the shard in between, and its sends have to settle.
        """
        lease = self._held[shard]
        until = asked_at + self._timing.promise
        lapsed = now >= lease.until
        lease.promise_until = max(lease.promise_until, until)
        if not lapsed or now >= until:
            return False
        settled_at = now + self._timing.safe_wait(self._timing.settle)
        lease.settle_until = max(lease.settle_until, settled_at)
        return True

    def end(self, shard: int) -> Lease | None:
        """Forget a shard and return what was held."""
        return self._held.pop(shard, None)

    def left(self, shard: int, now: float) -> float:
        """Return the seconds for which the shard is still held, 0 if not."""
        lease = self._held.get(shard)
        if lease is None or lease.transfer_sent:
            return 0.0
        return max(0.0, lease.until - now)

    def settling(self, shard: int, now: float) -> bool:
        """Tell whether sends of the previous owner may still arrive."""
        lease = self._held.get(shard)
        return lease is not None and now < lease.settle_until

    def may_act(self, shard: int, now: float) -> bool:
        """Tell whether a send to the shard's endpoints may begin."""
        lease = self._held.get(shard)
        if lease is None or lease.transfer_id:
            return False
        return self.left(shard, now) > 0 and now >= lease.settle_until
