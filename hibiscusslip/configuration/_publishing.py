"""Publish a configuration and determine the outcome."""

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

# A record must fit into one message between entry hosts.
MAX_RECORD_BYTES = 900_000
# Few at once, as each record contains a whole sheet.
READ_LIMIT = 8
READ_WAIT_S = 1.0
RETRY_DELAY_S = 0.2

Clock = collections.abc.Callable[[], float]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Report that the configuration was read back as valid."""

    version: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConflict:
    """Report the version published first and how the rejected one differs."""

    winner: _records.ConfigRecord
    changes: list[sheet.Change]


@dataclasses.dataclass(frozen=True, slots=True)
class NotPublished:
    """Report why nothing was written, and the remedy."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Report that the record may have been, or may yet be, appended."""

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
    """Append a configuration, read it back and return the outcome.

    `view` is a copy of the tracker's view, which this call advances. If the
    append's response is lost, the outcome is read from the log for up to
    `timeout` seconds.
    """
    data = _records.encode(record)
    decided = _decide_before_append(view, record, len(data))
    if decided is not None:
        return decided
    deadline = clock() + timeout
    try:
        await log.append(zone.CONFIG_STREAM, [data])
    except exceptions.AppendOutcomeUnknown:
        # Reading the log shows the outcome.
        pass
    except exceptions.PlatformError as exc:
        return NotPublished(f'{exc}; nothing was written, apply again later')
    return await _await_outcome(log, view, record, clock, deadline)


def _decide_before_append(
    view: _view.LogView, record: _records.ConfigRecord, size: int
) -> Publication | None:
    """Return the outcome if it is known before the append, else None."""
    if view.latest and view.latest.config.record_id == record.record_id:
        return Accepted(record.version, view.latest.offset)
    if not view.anchored and not record.after_gap:
        return NotPublished(
            'the log has lost records that this host did not read, so the'
            ' latest version is not certain; apply through another host, or'
            ' apply with --after-gap when none can'
        )
    if view.anchored and record.made_from != view.version:
        return _conflict(view, record)
    if size > MAX_RECORD_BYTES:
        return NotPublished(
            f'the sheet takes {size} bytes on the log, at most'
            f' {MAX_RECORD_BYTES} are allowed; shorten payloads or split'
            ' workloads off'
        )
    return None


async def _await_outcome(
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
        result = _apply_batch(view, record, batch.records)
        if result is not None:
            return result
    return OutcomeUnknown(
        record.record_id,
        'no answer came and the log could not be read to its end in time;'
        ' look at the version in force before you apply again',
    )


def _apply_batch(
    view: _view.LogView,
    record: _records.ConfigRecord,
    batch: list[base.LogRecord],
) -> Publication | None:
    for item in batch:
        view.on_record(item.offset, _decode(item.data))
        if view.latest is None or view.version <= record.made_from:
            continue
        if view.latest.config.record_id == record.record_id:
            return Accepted(record.version, item.offset)
        return _conflict(view, record)
    return None


def _decode(data: bytes) -> _records.StreamRecord | None:
    try:
        return _records.decode(data)
    except codec.CodecError:
        return None


def _conflict(
    view: _view.LogView, record: _records.ConfigRecord
) -> VersionConflict | NotPublished:
    if view.latest is None:
        return NotPublished(
            f'there is no version {record.made_from} to follow; apply the'
            ' sheet as the first one'
        )
    winner = view.latest.config
    return VersionConflict(winner, sheet.diff(winner.sheet, record.sheet))


async def read_next(
    log: base.Log,
    tracker: _tracker.ConfigTracker,
    clock: Clock,
    wait: float,
) -> bool:
    """Apply the next records of the log to a tracker.

    Return True if a version came into force. Raise PlatformError if the log
    can't be read.
    """
    try:
        batch = await log.read(
            zone.CONFIG_STREAM, tracker.next_offset, READ_LIMIT, wait
        )
    except exceptions.RecordsTrimmed as exc:
        tracker.on_trimmed(exc.first, clock())
        return False
    version_changed = False
    for item in batch.records:
        version_changed |= tracker.on_record(item.offset, item.data, clock())
    if batch.next_offset >= batch.end_offset:
        version_changed |= tracker.on_caught_up(clock())
    return version_changed
