"""Keep the streams of an append-only log in memory."""

import collections
import dataclasses

from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions

MAX_READ_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Retention:
    """Bound what a stream keeps by age in seconds, count and bytes."""

    seconds: float = 3600.0
    records: int = 200_000
    max_bytes: int = 128 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Kept:
    at: float
    data: bytes


class Stream:
    """Hold one stream; offsets start at 0 and never repeat."""

    def __init__(self, retention: Retention) -> None:
        self._retention = retention
        self._kept: collections.deque[_Kept] = collections.deque()
        self._bytes = 0
        self.first_offset = 0

    @property
    def end_offset(self) -> int:
        """Return one past the newest offset."""
        return self.first_offset + len(self._kept)

    def append(self, now: float, records: list[bytes]) -> int:
        """Append records and return the first one's offset."""
        offset = self.end_offset
        for data in records:
            self._kept.append(_Kept(now, data))
            self._bytes += len(data)
        self.trim(now)
        return offset

    def read(self, offset: int, limit: int) -> base.ReadBatch:
        """Return up to `limit` records from `offset` on."""
        records: list[base.LogRecord] = []
        size = 0
        for at in range(offset, min(offset + limit, self.end_offset)):
            data = self._kept[at - self.first_offset].data
            size += len(data)
            if records and size > MAX_READ_BYTES:
                break
            records.append(base.LogRecord(at, data))
        next_offset = offset + len(records)
        return base.ReadBatch(
            records, next_offset, self.first_offset, self.end_offset
        )

    def trim(self, now: float) -> None:
        """Drop the oldest records beyond the retention."""
        keep = self._retention
        while self._kept and (
            self._kept[0].at < now - keep.seconds
            or len(self._kept) > keep.records
            or self._bytes > keep.max_bytes
        ):
            self._bytes -= len(self._kept.popleft().data)
            self.first_offset += 1

    def drop_before(self, offset: int) -> None:
        """Drop all records before `offset`."""
        while self._kept and self.first_offset < offset:
            self._bytes -= len(self._kept.popleft().data)
            self.first_offset += 1


class StreamStore:
    """Hold all streams of a log."""

    def __init__(self, retention: Retention) -> None:
        self._retention = retention
        self._streams: dict[str, Stream] = {}

    def get_or_create_stream(self, name: str) -> Stream:
        """Return a stream, which is made on its first use."""
        found = self._streams.get(name)
        if found is None:
            found = self._streams[name] = Stream(self._retention)
        return found

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
