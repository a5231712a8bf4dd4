"""Define what the system needs of the platform."""

import abc
import dataclasses

from hibiscusslip.model import places


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """Hold one record of a stream with its offset."""

    offset: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBatch:
    """Hold records in offset order and the bounds of the stream.

    `next_offset` is where to read on, `first_offset` the oldest kept,
    `end_offset` one past the newest.
    """

    records: list[LogRecord]
    next_offset: int
    first_offset: int
    end_offset: int


class Log(abc.ABC):
    """Append to and read from the platform's append-only log."""

    @abc.abstractmethod
    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append records in one step and return the first one's offset.

        Raises LogUnavailable when surely nothing was written and
        AppendUnsettled when that can't be told.
        """

    @abc.abstractmethod
    async def read(
        self, stream: str, offset: int, limit: int, wait: float
    ) -> ReadBatch:
        """Read up to `limit` records from `offset`, wait up to `wait` s.

        Raises LogUnavailable, and RecordsTrimmed when `offset` lies before
        the oldest record that is kept.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class HostListing:
    """Hold the lagging list: endpoints and entry hosts by name."""

    endpoints: list[places.EndpointInfo]
    entry_hosts: list['EntryHostInfo']


@dataclasses.dataclass(frozen=True, slots=True)
class EntryHostInfo:
    """Hold where an entry host listens for other entry hosts."""

    name: str
    zone: str
    address: str
    port: int
    state: places.EndpointState = places.EndpointState.LIVE


class HostList(abc.ABC):
    """Read the platform's lagging list of live and leaving hosts."""

    @abc.abstractmethod
    async def fetch(self) -> HostListing:
        """Return the list as the platform shows it now.

        Raises PlatformError when it can't be had.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""
