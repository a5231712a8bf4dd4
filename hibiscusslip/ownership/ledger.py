"""Decide from the log alone which ownership entries are valid."""

import dataclasses

from hibiscusslip.model import places
from hibiscusslip.ownership import _track
from hibiscusslip.ownership import exceptions
from hibiscusslip.records import zone as zone_records

FREE = _track.FREE
Holding = _track.Holding
BOOTSTRAP_EPOCH_OFFSET = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Report that a valid entry replaced a shard's latest one."""

    shard: int
    previous: Holding | None
    current: Holding


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidEntry:
    """Report why an entry has no effect."""

    shard: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Report the effects of one record, entry by entry."""

    changes: list[Change]
    invalid: list[InvalidEntry]


def is_bootstrap(record: zone_records.Snapshot) -> bool:
    """Return True if a snapshot frees a shard whose history was lost.

    An entry's epoch exceeds its offset by at most 1. An epoch of `as_of` + 2
    is therefore above all earlier ones, and no real snapshot has it.
    """
    return (
        record.epoch == record.as_of + BOOTSTRAP_EPOCH_OFFSET
        and not record.host
    )


def bootstrap_record(
    record_id: str, shard: int, as_of: int
) -> zone_records.Snapshot:
    """Return a record that frees a shard as its first entry after `as_of`."""
    epoch = as_of + BOOTSTRAP_EPOCH_OFFSET
    return zone_records.Snapshot(
        record_id, shard, epoch, 0, '', '', as_of, 0, 1, []
    )


class Ledger:
    """Track the holdings of all shards in one zone's stream.

    An entry is valid if and only if the predecessor that it names is the
    latest valid entry at its own offset, so all readers reach the same
    decision.
    """

    def __init__(self, shards: int, now: float = 0.0) -> None:
        self._shards = shards
        self.next_offset = 0
        self.restart(0, now)

    def restart(self, first: int, now: float) -> None:
        """Clear all holdings and continue at `first`, the oldest offset.

        Above 0, a shard stays unknown until a snapshot shows its state as of
        `first` - 1 or later, or a bootstrap record frees it.
        """
        self.next_offset = first
        self._tracks = [_track.Track(first, now) for _ in range(self._shards)]

    def apply(
        self, offset: int, record: zone_records.ZoneRecord | None, now: float
    ) -> Applied:
        """Apply the record at `offset`; None for bytes that don't decode.

        A record that was read before is ignored. Raise LedgerGap if records
        between the last one and this one are missing.
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
            for shard, entry in entries_of(offset, record, now):
                self._apply_entry(shard, entry, applied)
        return applied

    def latest(self, shard: int) -> Holding | None:
        """Return a shard's holding, None while it is unknown."""
        return self._tracks[shard].holding

    def last_entry_read_at(self, shard: int) -> float:
        """Return when an entry of a shard, valid or not, was last read.

        In seconds; without any entry, the time when reading started.
        """
        return self._tracks[shard].last_read_at

    def hosts_named_while_unknown(
        self, shard: int
    ) -> dict[places.HostId, float]:
        """Return hosts named while a shard was unknown, and since when."""
        return self._tracks[shard].named_hosts

    def is_current_epoch(self, shard: int, epoch: int) -> bool:
        """Return True if `epoch` is the latest epoch of a shard.

        False while the shard is unknown.
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
        if is_bootstrap(record):
            entry = _track.Entry(
                _track.EntryKind.BOOTSTRAP,
                places.HostId('', ''),
                None,
                record.epoch,
                0,
                offset,
                now,
                record.as_of,
            )
            self._apply_entry(record.shard, entry, applied)
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

    def _apply_entry(
        self, shard: int, entry: _track.Entry, applied: Applied
    ) -> None:
        if not 0 <= shard < self._shards:
            applied.invalid.append(InvalidEntry(shard, 'no such shard'))
            return
        track = self._tracks[shard]
        previous = track.holding
        reason = track.add(entry)
        if reason:
            applied.invalid.append(InvalidEntry(shard, reason))
            return
        assert track.holding is not None
        applied.changes.append(Change(shard, previous, track.holding))


def entries_of(
    offset: int, record: zone_records.ZoneRecord, now: float
) -> list[tuple[int, _track.Entry]]:
    """Return the entries of a record with their shards, if it has any."""
    if isinstance(record, zone_records.Claim):
        kind, to_host = _track.EntryKind.CLAIM, None
    elif isinstance(record, zone_records.Renewal):
        kind, to_host = _track.EntryKind.RENEWAL, None
    elif isinstance(record, zone_records.Transfer):
        kind = _track.EntryKind.TRANSFER
        to_host = places.HostId(record.to_host, record.to_incarnation)
    else:
        return []
    host = places.HostId(record.host, record.incarnation)
    return [
        (
            entry.shard,
            _track.Entry(
                kind, host, to_host, entry.epoch, entry.seq, offset, now
            ),
        )
        for entry in record.entries
    ]
