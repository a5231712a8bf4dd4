"""JSON messages of the HTTP protocol of the log and the host list.

Bytes are encoded as base64. `POST /streams/NAME` appends to a stream, `GET
/streams/NAME?offset=&limit=&wait=` reads from it, and `GET /hosts` returns
the host list.
"""

import typing
import urllib.parse

import msgspec

from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions

STATUS_OK = 200
STATUS_TRIMMED = 410
STATUS_UNAVAILABLE = 503

HOSTS_PATH = '/hosts'
STREAMS_PATH = '/streams/'

StreamName = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,199}$')
]
NotNegative = typing.Annotated[int, msgspec.Meta(ge=0)]
Port = typing.Annotated[int, msgspec.Meta(ge=0, le=65535)]


class AppendRequest(msgspec.Struct, frozen=True):
    """Request to append records atomically."""

    records: typing.Annotated[
        list[bytes], msgspec.Meta(min_length=1, max_length=10_000)
    ]


class AppendReply(msgspec.Struct, frozen=True):
    """Reply to an append, with the offset of the first record."""

    offset: NotNegative


class WireRecord(msgspec.Struct, frozen=True):
    """One record of a stream."""

    offset: NotNegative
    data: bytes


class ReadReply(msgspec.Struct, frozen=True):
    """Reply to a read, with the bounds of the stream (see base.ReadBatch)."""

    records: list[WireRecord]
    next_offset: NotNegative
    first_offset: NotNegative
    end_offset: NotNegative


class TrimmedReply(msgspec.Struct, frozen=True):
    """Reply to a read before the oldest offset that is retained."""

    first_offset: NotNegative
    detail: str = ''


class EndpointEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One endpoint of the host list."""

    name: str
    zone: str
    rack: str
    address: str
    port: Port
    cpu_milli: NotNegative
    memory_mb: NotNegative
    accelerators: NotNegative = 0
    slots: NotNegative = 8
    connections: NotNegative = 64
    state: places.EndpointState = places.EndpointState.LIVE

    def info(self) -> places.EndpointInfo:
        """Return the entry as places.EndpointInfo."""
        capacity = resources.Resources(
            self.cpu_milli,
            self.memory_mb,
            self.accelerators,
            self.slots,
            self.connections,
        )
        return places.EndpointInfo(
            self.name,
            self.zone,
            self.rack,
            self.address,
            self.port,
            capacity,
            self.state,
        )


class EntryHostEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One entry host of the host list."""

    name: str
    zone: str
    address: str
    port: Port
    state: places.EndpointState = places.EndpointState.LIVE

    def info(self) -> base.EntryHostInfo:
        """Return the entry as base.EntryHostInfo."""
        return base.EntryHostInfo(
            self.name, self.zone, self.address, self.port, self.state
        )


class HostsReply(msgspec.Struct, frozen=True):
    """Reply with the host list."""

    endpoints: list[EndpointEntry]
    entry_hosts: list[EntryHostEntry]

    def listing(self) -> base.HostListing:
        """Return the list as base.HostListing."""
        return base.HostListing(
            [entry.info() for entry in self.endpoints],
            [entry.info() for entry in self.entry_hosts],
        )


def build_endpoint_entry(info: places.EndpointInfo) -> EndpointEntry:
    """Return the entry of the host list for one endpoint."""
    capacity = info.capacity
    return EndpointEntry(
        info.name,
        info.zone,
        info.rack,
        info.address,
        info.port,
        capacity.cpu_milli,
        capacity.memory_mb,
        capacity.accelerators,
        capacity.slots,
        capacity.connections,
        info.state,
    )


def build_entry_host_entry(info: base.EntryHostInfo) -> EntryHostEntry:
    """Return the entry of the host list for one entry host."""
    return EntryHostEntry(
        info.name, info.zone, info.address, info.port, info.state
    )


def stream_path(stream: str) -> str:
    """Return the path of a stream."""
    return STREAMS_PATH + urllib.parse.quote(stream, safe='')


def decode(body: typing.Any, expected: typing.Any) -> typing.Any:
    """Return the message of type `expected` in `body`.

    Raises PlatformError if `body` isn't a valid one.
    """
    try:
        return msgspec.json.decode(body, type=expected)
    except (msgspec.DecodeError, ValueError) as exc:
        raise exceptions.PlatformError(
            f'not a valid message: {exc}; check what listens there'
        ) from exc
