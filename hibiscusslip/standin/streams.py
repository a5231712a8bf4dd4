"""Store the streams of an append-only log in memory."""

import collections
import dataclasses

from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions

MAX_READ_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Retention:
    """Limit what a stream retains by age in seconds, count and bytes."""

    seconds: float = 3600.0
    records: int = 200_000
    max_bytes: int = 128 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredRecord:
    appended_at: float
    data: bytes


class Stream:
    """Store one stream; offsets start at 0 and are never reused."""

    def __init__(self, retention: Retention) -> None:
        self._retention = retention
        self._records: collections.deque[_StoredRecord] = collections.deque()
        self._bytes = 0
        self.first_offset = 0

    @property
    def end_offset(self) -> int:
        """Return the offset after the newest record."""
        return self.first_offset + len(self._records)

    def append(self, now: float, records: list[bytes]) -> int:
        """Append records and return the first one's offset."""
        offset = self.end_offset
        for data in records:
            self._records.append(_StoredRecord(now, data))
            self._bytes += len(data)
        self.trim(now)
        return offset

    def read(self, offset: int, limit: int) -> base.ReadBatch:
        """Return up to `limit` records from `offset` on."""
        records: list[base.LogRecord] = []
        size = 0
        for position in range(offset, min(offset + limit, self.end_offset)):
            data = self._records[position - self.first_offset].data
            size += len(data)
            if records and size > MAX_READ_BYTES:
                break
            records.append(base.LogRecord(position, data))
        next_offset = offset + len(records)
        return base.ReadBatch(
            records, next_offset, self.first_offset, self.end_offset
        )

    def trim(self, now: float) -> None:
        """Drop the oldest records that exceed the retention."""
        retention = self._retention
        while self._records and (
            self._records[0].appended_at < now - retention.seconds
            or len(self._records) > retention.records
            or self._bytes > retention.max_bytes
        ):
            self._bytes -= len(self._records.popleft().data)
            self.first_offset += 1

    def drop_before(self, offset: int) -> None:
        """Drop all records before `offset`."""
        while self._records and self.first_offset < offset:
            self._bytes -= len(self._records.popleft().data)
            self.first_offset += 1


class StreamStore:
    """Store all streams of a log."""

    def __init__(self, retention: Retention) -> None:
        self._retention = retention
        self._streams: dict[str, Stream] = {}

    def get_or_create_stream(self, name: str) -> Stream:
        """Return a stream, created on first use."""
        stream = self._streams.get(name)
        if stream is None:
            stream = self._streams[name] = Stream(self._retention)
        return stream

    def read(
        self, now: float, name: str, offset: int, limit: int
    ) -> base.ReadBatch:
        """Return up to `limit` records; raises RecordsTrimmed."""
        stream = self.get_or_create_stream(name)
        stream.trim(now)
        if offset < stream.first_offset:
            raise exceptions.RecordsTrimmed(name, offset, stream.first_offset)
        return stream.read(offset, limit)

    def names(self) -> list[str]:
        """Return the names of all streams."""
        return sorted(self._streams)
