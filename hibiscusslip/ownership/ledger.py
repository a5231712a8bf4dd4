"""Decide from the log alone which claims are valid."""

import dataclasses

from hibiscusslip.model import places
from hibiscusslip.ownership import _track
from hibiscusslip.ownership import exceptions
from hibiscusslip.records import zone as zone_records

FREE = _track.FREE
Holding = _track.Holding
FOUNDING_STEP = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Tell that a valid entry replaced the latest one of a shard."""

    shard: int
    previous: Holding | None
    current: Holding


@dataclasses.dataclass(frozen=True, slots=True)
class Void:
    """Tell that an entry has no effect, and why."""

    shard: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Tell what one record did."""

    changes: list[Change]
    voids: list[Void]


def is_founding(record: zone_records.Snapshot) -> bool:
    """Tell whether a snapshot sets a shard free whose past is unknown.

    Epochs are at most one above the offset that made them, so an epoch of
    `as_of` + 2 is above any earlier one and can't be a shard's true state.
    """
    return record.epoch == record.as_of + FOUNDING_STEP and not record.host


def founding(record_id: str, shard: int, as_of: int) -> zone_records.Snapshot:
    """Return the record that frees a shard without entries since `as_of`."""
    epoch = as_of + FOUNDING_STEP
    return zone_records.Snapshot(
        record_id, shard, epoch, 0, '', '', as_of, 0, 1, []
    )


class Ledger:
    """Follow all shards of one zone's stream.

    An entry is valid if and only if its predecessor is still the latest
    valid one at the entry's own offset. Every reader decides alike.
    """

    def __init__(self, shards: int, now: float = 0.0) -> None:
        self._shards = shards
        self.next_offset = 0
        self.restart(0, now)

    def restart(self, first: int, now: float) -> None:
        """Forget all and read on from `first`, the oldest kept offset.

        Above 0 the shards stay unknown until a snapshot tells their state
        as of an offset that joins up with `first`, or a founding frees them.
        """
        self.next_offset = first
        self._tracks = [_track.Track(first, now) for _ in range(self._shards)]

    def apply(
        self, offset: int, record: zone_records.ZoneRecord | None, now: float
    ) -> Applied:
        """Apply the record at `offset`; None for bytes that don't decode.

        A record read before is ignored. Raises LedgerGap when records
        between the last one and this are missing.
        """
        applied = Applied([], [])
        if offset < self.next_offset:
            return applied
        if offset > self.next_offset:
            raise exceptions.LedgerGap(self.next_offset, offset)
        self.next_offset = offset + 1
        if isinstance(record, zone_records.Snapshot):
            self._apply_snapshot(offset, record, now, applied)
        elif record is not None:
            for shard, step in steps_of(offset, record, now):
                self._apply_step(shard, step, applied)
        return applied

    def latest(self, shard: int) -> Holding | None:
        """Return the latest valid entry, None while it isn't known."""
        return self._tracks[shard].holding

    def last_entry(self, shard: int) -> float:
        """Return when an entry, valid or not, was last read, in seconds.

        Without any it is when reading started.
        """
        return self._tracks[shard].last_read_at

    def hosts_of_unknown(self, shard: int) -> dict[places.HostId, float]:
        """Return whom entries named while a shard was unknown, since when."""
        return self._tracks[shard].hosts

    def is_current_epoch(self, shard: int, epoch: int) -> bool:
        """Tell whether `epoch` is the latest of a shard, for other records.

        False as well while the shard isn't known.
        """
        holding = self.latest(shard)
        return holding is not None and holding.epoch == epoch

    def _apply_snapshot(
        self,
        offset: int,
        record: zone_records.Snapshot,
        now: float,
        applied: Applied,
    ) -> None:
        if not 0 <= record.shard < self._shards:
            return
        if is_founding(record):
            step = _track.Step(
                _track.Kind.FOUNDING,
                places.HostId('', ''),
                None,
                record.epoch,
                0,
                offset,
                now,
                record.as_of,
            )
            self._apply_step(record.shard, step, applied)
            return
        track = self._tracks[record.shard]
        host = places.HostId(record.host, record.incarnation)
        holding = Holding(
            host if record.host else None,
            record.epoch,
            record.seq,
            record.as_of,
            now,
        )
        if track.anchor(holding, record.as_of):
            assert track.holding is not None
            applied.changes.append(Change(record.shard, None, track.holding))

    def _apply_step(
        self, shard: int, step: _track.Step, applied: Applied
    ) -> None:
        if not 0 <= shard < self._shards:
            applied.voids.append(Void(shard, 'no such shard'))
            return
        track = self._tracks[shard]
        previous = track.holding
        reason = track.add(step)
        if reason:
            applied.voids.append(Void(shard, reason))
            return
        assert track.holding is not None
        applied.changes.append(Change(shard, previous, track.holding))


def steps_of(
    offset: int, record: zone_records.ZoneRecord, now: float
) -> list[tuple[int, _track.Step]]:
    """Return a record's entries as steps by shard, none for other kinds."""
    if isinstance(record, zone_records.Claim):
        kind, to_host = _track.Kind.CLAIM, None
    elif isinstance(record, zone_records.Renewal):
        kind, to_host = _track.Kind.RENEWAL, None
    elif isinstance(record, zone_records.Transfer):
        kind = _track.Kind.TRANSFER
        to_host = places.HostId(record.to_host, record.to_incarnation)
    else:
        return []
    host = places.HostId(record.host, record.incarnation)
    return [
        (
            entry.shard,
            _track.Step(
                kind, host, to_host, entry.epoch, entry.seq, offset, now
            ),
        )
        for entry in record.entries
    ]
