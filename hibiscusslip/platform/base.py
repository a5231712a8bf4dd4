"""Define the interfaces to the platform's log and host list."""

import abc
import dataclasses

from hibiscusslip.model import places


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """Represent one record of a stream with its offset."""

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBatch:
    """Represent the result of a read, with the records in offset order.

    `next_offset` is the offset to continue reading from. `first_offset` is
    the oldest offset that the stream retains, and `end_offset` is one past
    the newest.
    """

    records: list[LogRecord]
    next_offset: int
    first_offset: int
    end_offset: int


class Log(abc.ABC):
    """Interface to the platform's append-only log."""

    @abc.abstractmethod
    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append records atomically and return the offset of the first.

        Raises LogUnavailable if provably nothing was written, and
        AppendOutcomeUnknown if the records may have been written.
        """

    @abc.abstractmethod
    async def read(
        self, stream: str, offset: int, limit: int, wait: float
    ) -> ReadBatch:
        """Read up to `limit` records, starting at `offset`.

        If there is none yet, wait up to `wait` seconds for one. Raises
        LogUnavailable, and RecordsTrimmed if `offset` lies before the oldest
        record that the log retains.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostListing:
    """Represent the host list, which lags behind the actual hosts."""

    endpoints: list[places.EndpointInfo]
    entry_hosts: list['EntryHostInfo']


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHostInfo:
    """Represent an entry host and its address for other entry hosts."""

    name: str
    zone: str
    address: str
    port: int
    state: places.EndpointState = places.EndpointState.LIVE


class HostList(abc.ABC):
    """Interface to the platform's list of live and leaving hosts.

    The list lags behind the actual hosts.
    """

    @abc.abstractmethod
    async def fetch(self) -> HostListing:
        """Return the platform's current list.

        Raises PlatformError if the list can't be read.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""
