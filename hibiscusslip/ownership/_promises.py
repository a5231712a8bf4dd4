"""Give promises not to claim, and gather those of others."""

import dataclasses
import math

from hibiscusslip.model import places
from hibiscusslip.ownership import timing as timing_
from hibiscusslip.peer import messages


class Given:
    """Hold the promises that this host gave, by shard."""

    def __init__(self, timing: timing_.Timing) -> None:
        self._timing = timing
        self._open: dict[int, tuple[float, int, places.HostId]] = {}

    def give(
        self,
        holder: places.HostId,
        held: messages.HeldShard,
        duration: float,
        now: float,
    ) -> None:
        """Promise not to claim a shard for `duration` s of the holder."""
        until = now + self._timing.outlast(duration)
        until = max(until, self.until(held.shard))
        self._open[held.shard] = (until, held.epoch, holder)

    def until(self, shard: int) -> float:
        """Return until when the shard mustn't be claimed from here."""
        return self._open.get(shard, (-math.inf,))[0]

    def open(self, now: float) -> list[messages.OpenPromise]:
        """Return the promises that haven't run out."""
        return [
            messages.OpenPromise(
                shard, epoch, host.name, host.incarnation, until - now
            )
            for shard, (until, epoch, host) in sorted(self._open.items())
            if until > now
        ]


@dataclasses.dataclass(slots=True)
class Round:
    """Hold one round of promise requests to all possible claimants."""

    request_id: str
    asked_at: float
    epochs: dict[int, int]
    granted: dict[places.HostId, frozenset[int]]

    def complete(self, claimants: set[places.HostId]) -> list[int]:
        """Return the shards that each of `claimants` granted."""
        if not claimants <= self.granted.keys():
            return []
        return [
            shard
            for shard in self.epochs
            if all(shard in self.granted[host] for host in claimants)
        ]


class Asking:
    """Ask for promises while the log doesn't confirm renewals."""

    def __init__(self, timing: timing_.Timing) -> None:
        self._timing = timing
        self._round: Round | None = None

    def due(self, now: float) -> bool:
        """Tell whether another round may begin."""
        if self._round is None:
            return True
        return now >= self._round.asked_at + self._timing.promise_interval

    def begin(
        self, request_id: str, epochs: dict[int, int], now: float
    ) -> Round:
        """Begin a round; replies to older ones count no more."""
        self._round = Round(request_id, now, epochs, {})
        return self._round

    def reply(
        self, host: places.HostId, reply: messages.PromiseReply
    ) -> Round | None:
        """Note a reply and return its round if that is the present one."""
        if self._round is None or reply.request_id != self._round.request_id:
            return None
        self._round.granted[host] = frozenset(reply.granted)
        return self._round
