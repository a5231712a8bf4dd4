"""Publish a configuration and find out what became of it."""

import collections.abc
import dataclasses

import curio

from hibiscusslip import codec
from hibiscusslip.configuration import _records
from hibiscusslip.configuration import _tracker
from hibiscusslip.configuration import _view
from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions
from hibiscusslip.records import zone
import hibiscusslip.sheet as sheet

# A record has to fit in one message between entry hosts.
MAX_RECORD_BYTES = 900_000
# Few at once, as each record holds a whole sheet.
READ_LIMIT = 8
READ_WAIT_S = 1.0
RETRY_DELAY_S = 0.2

Clock = collections.abc.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Tell that the configuration was read back as valid."""

    version: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConflict:
    """Tell who published first, and how the lost sheet differs from it."""

    winner: _records.ConfigRecord
    changes: list[sheet.Change]


@dataclasses.dataclass(frozen=True, slots=True)
class NotPublished:
    """Tell why nothing was written, and what to do."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Tell that the record may have been written, or may yet land."""

    record_id: str
    detail: str


Publication = Accepted | VersionConflict | NotPublished | OutcomeUnknown


async def publish(
    log: base.Log,
    view: _view.LogView,
    record: _records.ConfigRecord,
    clock: Clock,
    timeout: float,
) -> Publication:
    """Append a configuration, read it back and tell what became of it.

    `view` is a copy of the tracker's view, which this call advances. An
    append without an answer is settled by reading, for up to `timeout` s.
    """
    data = _records.encode(record)
    early = _settle_early(view, record, len(data))
    if early is not None:
        return early
    deadline = clock() + timeout
    try:
        await log.append(zone.CONFIG_STREAM, [data])
    except exceptions.AppendUnsettled:
        # The reading below finds out.
        pass
    except exceptions.PlatformError as exc:
        return NotPublished(f'{exc}; nothing was written, apply again later')
    return await _settle(log, view, record, clock, deadline)


def _settle_early(
    view: _view.LogView, record: _records.ConfigRecord, size: int
) -> Publication | None:
    """Return what can be told before anything is written."""
    if view.latest and view.latest.config.record_id == record.record_id:
        return Accepted(record.version, view.latest.offset)
    if not view.anchored and not record.after_gap:
        return NotPublished(
            'the log has lost records that this host did not read, so the'
            ' latest version is not certain; apply through another host, or'
            ' apply with --after-gap when none can'
        )
    if view.anchored and record.made_from != view.version:
        return _lost(view, record)
    if size > MAX_RECORD_BYTES:
        return NotPublished(
            f'the sheet takes {size} bytes on the log, at most'
            f' {MAX_RECORD_BYTES} are allowed; shorten payloads or split'
            ' workloads off'
        )
    return None


async def _settle(
    log: base.Log,
    view: _view.LogView,
    record: _records.ConfigRecord,
    clock: Clock,
    deadline: float,
) -> Publication:
    while clock() < deadline:
        wait = min(READ_WAIT_S, deadline - clock())
        try:
            batch = await log.read(
                zone.CONFIG_STREAM, view.next_offset, READ_LIMIT, wait
            )
        except exceptions.RecordsTrimmed:
            break
        except exceptions.PlatformError:
            await curio.sleep(RETRY_DELAY_S)
            continue
        result = _decide(view, record, batch.records)
        if result is not None:
            return result
    return OutcomeUnknown(
        record.record_id,
        'no answer came and the log could not be read to its end in time;'
        ' look at the version in force before you apply again',
    )


def _decide(
    view: _view.LogView,
    record: _records.ConfigRecord,
    found: list[base.LogRecord],
) -> Publication | None:
    for item in found:
        view.on_record(item.offset, _decode(item.data))
        if view.latest is None or view.version <= record.made_from:
            continue
        if view.latest.config.record_id == record.record_id:
            return Accepted(record.version, item.offset)
        return _lost(view, record)
    return None


def _decode(data: bytes) -> _records.StreamRecord | None:
    try:
        return _records.decode(data)
    except codec.CodecError:
        return None


def _lost(
    view: _view.LogView, record: _records.ConfigRecord
) -> VersionConflict | NotPublished:
    if view.latest is None:
        return NotPublished(
            f'there is no version {record.made_from} to follow; apply the'
            ' sheet as the first one'
        )
    winner = view.latest.config
    return VersionConflict(winner, sheet.diff(winner.sheet, record.sheet))


async def read_on(
    log: base.Log,
    tracker: _tracker.ConfigTracker,
    clock: Clock,
    wait: float,
) -> bool:
    """Feed the next records of the log to a tracker.

    Return whether a version came into force. Raises PlatformError when the
    log can't be read.
    """
    try:
        batch = await log.read(
            zone.CONFIG_STREAM, tracker.next_offset, READ_LIMIT, wait
        )
    except exceptions.RecordsTrimmed as exc:
        tracker.on_trimmed(exc.first, clock())
        return False
    came = False
    for item in batch.records:
        came |= tracker.on_record(item.offset, item.data, clock())
    if batch.next_offset >= batch.end_offset:
        came |= tracker.on_caught_up(clock())
    return came
