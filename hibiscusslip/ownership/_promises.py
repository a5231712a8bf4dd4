"""Grant promises not to claim shards, and collect those of peers."""

import dataclasses
import math

from hibiscusslip.model import places
from hibiscusslip.ownership import timing as timing_
from hibiscusslip.peer import messages


class GivenPromises:
    """Store the promises that this host granted, by shard."""

    def __init__(self, timing: timing_.Timing) -> None:
        self._timing = timing
        self._by_shard: dict[int, tuple[float, int, places.HostId]] = {}

    def give(
        self,
        holder: places.HostId,
        held: messages.HeldShard,
        duration: float,
        now: float,
    ) -> None:
        """Promise not to claim a shard for `duration` seconds.

        The duration is counted on the holder's clock.
        """
        until = now + self._timing.safe_wait(duration)
        until = max(until, self.binding_until(held.shard))
        self._by_shard[held.shard] = (until, held.epoch, holder)

    def binding_until(self, shard: int) -> float:
        """Return until when a promise forbids this host to claim the shard."""
        return self._by_shard.get(shard, (-math.inf,))[0]

    def unexpired(self, now: float) -> list[messages.OpenPromise]:
        """Return the promises that have not expired."""
        return [
            messages.OpenPromise(
                shard, epoch, host.name, host.incarnation, until - now
            )
            for shard, (until, epoch, host) in sorted(self._by_shard.items())
            if until > now
        ]


@dataclasses.dataclass(slots=True)
class PromiseRound:
    """Represent one round of promise requests to all known claimants.

    `epochs` maps each requested shard to the epoch at which it is held;
    `granted` maps hosts to the shards that they granted.
    """

    request_id: str
    sent_at: float
    epochs: dict[int, int]
    granted: dict[places.HostId, frozenset[int]]

    def granted_by_all(self, claimants: set[places.HostId]) -> list[int]:
        """Return the shards that all of `claimants` granted."""
        if not claimants <= self.granted.keys():
            return []
        return [
            shard
            for shard in self.epochs
            if all(shard in self.granted[host] for host in claimants)
        ]


class PromiseRequests:
    """Track promise requests, sent while the log confirms no renewals.

    Rounds overlap, as a reply may take longer than the interval between two
    rounds.
    """

    def __init__(self, timing: timing_.Timing) -> None:
        self._timing = timing
        self._rounds: dict[str, PromiseRound] = {}
        self._last_sent_at = -math.inf

    def is_due(self, now: float) -> bool:
        """Return True if another round may begin."""
        return now >= self._last_sent_at + self._timing.promise_interval

    def begin_round(
        self, request_id: str, epochs: dict[int, int], now: float
    ) -> PromiseRound:
        """Begin a round; drop those whose promises would have expired."""
        self._last_sent_at = now
        self._rounds = {
            key: round_
            for key, round_ in self._rounds.items()
            if now < round_.sent_at + self._timing.promise
        }
        self._rounds[request_id] = PromiseRound(request_id, now, epochs, {})
        return self._rounds[request_id]

    def on_reply(
        self, host: places.HostId, reply: messages.PromiseReply
    ) -> PromiseRound | None:
        """Record a reply and return its round, None if it was dropped."""
        round_ = self._rounds.get(reply.request_id)
        if round_ is not None:
            round_.granted[host] = frozenset(reply.granted)
        return round_
