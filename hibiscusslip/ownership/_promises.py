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
        until = now + self._timing.safe_wait(duration)
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
    """Ask for promises while the log doesn't confirm renewals.

    Rounds overlap, as replies may take longer than the pause between two.
    """

    def __init__(self, timing: timing_.Timing) -> None:
        self._timing = timing
        self._rounds: dict[str, Round] = {}
        self._asked_at = -math.inf

    def due(self, now: float) -> bool:
        """Tell whether another round may begin."""
        return now >= self._asked_at + self._timing.promise_interval

    def begin(
        self, request_id: str, epochs: dict[int, int], now: float
    ) -> Round:
        """Begin a round; rounds too old to be of use are dropped."""
        self._asked_at = now
        self._rounds = {
            key: asked
            for key, asked in self._rounds.items()
            if now < asked.asked_at + self._timing.promise
        }
        self._rounds[request_id] = Round(request_id, now, epochs, {})
        return self._rounds[request_id]

    def reply(
        self, host: places.HostId, reply: messages.PromiseReply
    ) -> Round | None:
        """Note a reply and return its round, None when that is dropped."""
        asked = self._rounds.get(reply.request_id)
        if asked is not None:
            asked.granted[host] = frozenset(reply.granted)
        return asked
