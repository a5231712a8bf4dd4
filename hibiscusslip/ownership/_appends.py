"""Keep track of own appends until the log settles them."""

import dataclasses
import enum

from hibiscusslip.ownership import _track
from hibiscusslip.records import zone as zone_records

MAX_OPEN = 16
CLAIMS = (_track.Kind.CLAIM, _track.Kind.FOUNDING)

Predecessor = tuple[int, int]


class AppendOutcome(enum.Enum):
    """Tell what the answer to an append says.

    UNSETTLED is for a lost answer: only reading the log settles it.
    """

    APPENDED = 'appended'
    REFUSED = 'refused'
    UNKNOWN = 'unsettled'


@dataclasses.dataclass(slots=True)
class Append:
    """Hold one own record that may be in the log already or later.

    `shards` maps each shard to the named predecessor (epoch, seq). `waits`
    is true while the answer is awaited or, after a lost one, until the log
    has been read to its end without finding the record.
    """

    record_id: str
    kind: _track.Kind
    sent_at: float
    shards: dict[int, tuple[int, int]]
    waits: bool = True
    unsettled: bool = False
    renounced: bool = False


class Appends:
    """Hold the open appends of one host.

    When there are too many, the oldest one without an answer is forgotten.
    It gives no lease if it lands after all; that a claim may land is kept
    by shard.
    """

    def __init__(self) -> None:
        self._open: dict[str, Append] = {}
        self._forgotten: dict[tuple[int, _track.Kind], Predecessor] = {}

    def add(self, append: Append) -> None:
        """Remember a record that is about to be sent."""
        if len(self._open) >= MAX_OPEN:
            self._forget(next(a for a in self._open.values() if not a.waits))
        self._open[append.record_id] = append

    def _forget(self, append: Append) -> None:
        del self._open[append.record_id]
        if append.kind in CLAIMS and not append.renounced:
            for shard, predecessor in append.shards.items():
                self._forgotten[shard, append.kind] = predecessor

    def sent(self, record_id: str, sent_at: float) -> None:
        """Note the time right before the first send, in seconds."""
        append = self._open.get(record_id)
        if append is not None and not append.unsettled:
            append.sent_at = sent_at

    def settle(self, record_id: str, settled: AppendOutcome) -> Append | None:
        """Note an answer and return the append if it surely didn't land."""
        append = self._open.get(record_id)
        if append is None:
            return None
        if settled is AppendOutcome.REFUSED and not append.unsettled:
            return self._open.pop(record_id)
        if settled is AppendOutcome.UNKNOWN:
            append.unsettled = True
        return None

    def found(self, record_id: str) -> Append | None:
        """Return and forget the append whose record the log shows."""
        return self._open.pop(record_id, None)

    def caught_up(self) -> None:
        """Let shards of lost answers go on: the log was read to its end."""
        for append in self._open.values():
            if append.unsettled:
                append.waits = False

    def lose_track(self) -> None:
        """Take all open appends for unsettled: records were missed."""
        for append in self._open.values():
            append.unsettled = True

    def passed(self, shard: int, latest: _track.Holding, entry: bool) -> None:
        """Drop what can't be valid any more as the shard moved on.

        `entry` tells a new entry from a snapshot of what was known before:
        only the former ends a founding.
        """
        now_latest = (latest.epoch, latest.seq)
        if entry:
            self._forgotten.pop((shard, _track.Kind.FOUNDING), None)
        if self._forgotten.get((shard, _track.Kind.CLAIM)) != now_latest:
            self._forgotten.pop((shard, _track.Kind.CLAIM), None)
        for record_id, append in list(self._open.items()):
            if append.kind is _track.Kind.FOUNDING:
                dead = entry and shard in append.shards
            else:
                dead = append.shards.get(shard, now_latest) != now_latest
            if dead:
                del append.shards[shard]
                if not append.shards:
                    del self._open[record_id]

    def busy(self, shard: int) -> bool:
        """Tell whether to wait before another record names the shard."""
        return any(
            append.waits and shard in append.shards
            for append in self._open.values()
        )

    def full(self) -> bool:
        """Tell whether too many appends are open to add another."""
        waiting = sum(append.waits for append in self._open.values())
        return waiting >= MAX_OPEN

    def claims(self, shard: int) -> bool:
        """Tell whether a claim of the shard may still take effect."""
        if any((shard, kind) in self._forgotten for kind in CLAIMS):
            return True
        return any(
            append.kind in CLAIMS
            and not append.renounced
            and shard in append.shards
            for append in self._open.values()
        )

    def renounce(self) -> None:
        """Give up the effect of claims that still might land."""
        self._forgotten.clear()
        for append in self._open.values():
            append.renounced = True


def entries_of(
    shards: dict[int, tuple[int, int]],
) -> list[zone_records.ClaimEntry]:
    """Return the entries of a record from shards and predecessors."""
    return [
        zone_records.ClaimEntry(shard, epoch, seq)
        for shard, (epoch, seq) in sorted(shards.items())
    ]
