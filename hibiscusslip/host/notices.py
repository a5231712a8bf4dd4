"""Describe the records by which hosts find each other and the owner."""

import typing

import msgspec

CLAIM = 'claim'
HEARTBEAT = 'beat'
RELEASE = 'release'


class HostRecord(msgspec.Struct, array_like=True):
    """Hold where a host listens for other hosts, and how strong it is."""

    name: str
    incarnation: str
    zone: str
    address: str
    port: int
    strength: float = 0.0


class QueueLoad(msgspec.Struct, array_like=True):
    """Hold how many jobs of a queue haven't begun."""

    pending: int


class OwnerNotice(msgspec.Struct, array_like=True):
    """Hold a claim, a heartbeat or a release of the ownership.

    A claim's epoch is its offset + 1, so no two have the same one.
    """

    kind: str
    epoch: int
    host: str
    incarnation: str
    address: str
    port: int
    loads: dict[str, QueueLoad] = {}


def encode(record: msgspec.Struct) -> bytes:
    """Return the bytes of a record."""
    return msgspec.msgpack.encode(record)


def decode_host(data: bytes) -> HostRecord | None:
    """Return a host's record, None if it can't be read."""
    return _decode(data, HostRecord)


def decode_owner(data: bytes) -> OwnerNotice | None:
    """Return a notice of an owner, None if it can't be read."""
    return _decode(data, OwnerNotice)


def _decode(data: bytes, kind: typing.Any) -> typing.Any:
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError:
        return None
