"""The records by which hosts discover each other and the owner."""

import typing

import msgspec

CLAIM = 'claim'
HEARTBEAT = 'beat'
RELEASE = 'release'


class HostRecord(msgspec.Struct, array_like=True):
    """The address where a host listens for peers, and its strength."""

    name: str
    incarnation: str
    zone: str
    address: str
    port: int
    strength: float = 0.0


class QueueLoad(msgspec.Struct, array_like=True):
    """The number of jobs of a queue that haven't begun."""

    pending: int


class OwnerNotice(msgspec.Struct, array_like=True):
    """A claim, a heartbeat or a release of the ownership.

    A claim's epoch is its offset + 1, so epochs are unique. `number` orders
    the notices of an epoch, which may be written out of order. `lapses` maps
    silent endpoints to the rest of their leases in milliseconds.
    """

    kind: str
    epoch: int
    host: str
    incarnation: str
    address: str
    port: int
    loads: dict[str, QueueLoad] = {}
    number: int = 0
    lapses: dict[str, int] = {}


def encode(record: msgspec.Struct) -> bytes:
    """Return a record encoded as MessagePack."""
    return msgspec.msgpack.encode(record)


def decode_host(data: bytes) -> HostRecord | None:
    """Return a host's record, or None if it can't be decoded."""
    return _decode(data, HostRecord)


def decode_owner(data: bytes) -> OwnerNotice | None:
    """Return an owner's notice, or None if it can't be decoded."""
    return _decode(data, OwnerNotice)


def _decode(data: bytes, kind: typing.Any) -> typing.Any:
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError:
        return None
