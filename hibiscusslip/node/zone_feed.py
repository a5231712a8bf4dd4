"""Read the zone's stream and pass its records on."""

import abc

import curio
from loguru import logger

from hibiscusslip import codec
from hibiscusslip.jobs import index as jobs_index
from hibiscusslip.jobs import snapshots
from hibiscusslip.node import clock
from hibiscusslip.ownership import owner
from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions
from hibiscusslip.records import zone as zone_records

READ_LIMIT_RECORDS = 1000
READ_WAIT_SECONDS = 1.0
RETRY_SECONDS = 0.3
MAX_UNDECIDED_RECORDS = 20_000

JOB_RECORDS = (
    zone_records.JobAccepted,
    zone_records.StartIntent,
    zone_records.JobEnded,
)


class RecordHandler(abc.ABC):
    """Handle records that were read back."""

    @abc.abstractmethod
    async def on_record(
        self, record: zone_records.ZoneRecord, valid: bool
    ) -> None:
        """Handle a record of the zone's stream.

        `valid` is false for a job's record whose writer is not known to have
        owned the shard at that time.
        """

    @abc.abstractmethod
    async def on_caught_up(self) -> None:
        """Run whenever the stream has been read to its current end."""


class ZoneFeed:
    """Follow one zone's stream from its oldest retained record."""

    def __init__(
        self,
        log: base.Log,
        zone: str,
        ownership: owner.Ownership,
        index: jobs_index.JobIndex,
        handler: RecordHandler,
    ) -> None:
        self._log = log
        self._stream = zone_records.stream_of(zone)
        self._ownership = ownership
        self._index = index
        self._handler = handler
        self._assembler = snapshots.Assembler()
        self._undecided: dict[int, list[zone_records.ZoneRecord]] = {}
        self.offset = 0
        self.end_offset = 0
        self.log_readable = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            try:
                batch = await self._log.read(
                    self._stream,
                    self.offset,
                    READ_LIMIT_RECORDS,
                    READ_WAIT_SECONDS,
                )
            except exceptions.RecordsTrimmed as exc:
                self._restart_from(exc.first)
                continue
            except exceptions.PlatformError as exc:
                self._mark_unreadable(exc)
                await curio.sleep(RETRY_SECONDS)
                continue
            await self._process_batch(batch)

    def _mark_unreadable(self, exc: exceptions.PlatformError) -> None:
        if self.log_readable:
            logger.warning('the log cannot be read: {}', exc)
        self.log_readable = False

    def _restart_from(self, first: int) -> None:
        """Restart after a gap; snapshots then rebuild the state."""
        if self.offset:
            logger.warning(
                'records {} to {} of {} are gone; rebuilding from snapshots',
                self.offset,
                first,
                self._stream,
            )
        self.offset = first
        self._index.clear()
        self._assembler = snapshots.Assembler()
        self._undecided.clear()
        self._ownership.on_gap(first, clock.now())

    async def _process_batch(self, batch: base.ReadBatch) -> None:
        if not self.log_readable:
            logger.info('the log is read from offset {}', self.offset)
        self.log_readable = True
        self.end_offset = batch.end_offset
        for record in batch.records:
            await self._process_record(record)
            self.offset = record.offset + 1
        self.offset = max(self.offset, batch.next_offset)
        if self.offset >= batch.end_offset:
            self._ownership.on_caught_up(batch.end_offset, clock.now())
            await self._handler.on_caught_up()

    async def _process_record(self, raw: base.LogRecord) -> None:
        record = _decode(raw)
        complete = True
        if isinstance(record, zone_records.Snapshot):
            self._index.apply(record)
            complete = self._assembler.add(record)
        # A snapshot counts for ownership once all its parts were read.
        for_ownership = record if complete else None
        self._ownership.on_record(raw.offset, for_ownership, clock.now())
        self._process_undecided()
        if record is None:
            return
        valid = True
        if isinstance(record, JOB_RECORDS):
            valid = self._process_job_record(record)
        elif isinstance(record, zone_records.EndpointDrain):
            self._index.apply(record)
        await self._handler.on_record(record, valid)

    def _process_job_record(self, record) -> bool:
        """Index a job's record if its writer owned the shard at that time.

        Returns whether it did. Until the shard's owner is known, the record
        is queued and not valid.
        """
        ledger = self._ownership.ledger
        if ledger.latest(record.shard) is None:
            undecided = self._undecided.setdefault(record.shard, [])
            if len(undecided) < MAX_UNDECIDED_RECORDS:
                undecided.append(record)
            return False
        if not ledger.is_current_epoch(record.shard, record.epoch):
            return False
        self._index.apply(record)
        return True

    def _process_undecided(self) -> None:
        """Index queued records of shards whose owner is known by now.

        The oldest retained records can precede the snapshot that names the
        owner of their shard. Invalid ones are indexed as well: they can only
        make a later owner more cautious.
        """
        for shard in list(self._undecided):
            holding = self._ownership.ledger.latest(shard)
            if holding is None:
                continue
            for record in self._undecided.pop(shard):
                self._index.apply(record)


def _decode(raw: base.LogRecord) -> zone_records.ZoneRecord | None:
    """Return the record, or None for bytes of an unknown format."""
    try:
        return codec.decode(raw.data, zone_records.ZoneRecord)
    except codec.CodecError as exc:
        logger.error('record {} is not readable: {}', raw.offset, exc)
        return None
