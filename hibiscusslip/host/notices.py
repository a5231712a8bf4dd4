"""The records by which hosts discover each other and the owner."""

import typing

import msgspec

from hibiscusslip.http import addresses

CLAIM = 'claim'
HEARTBEAT = 'beat'
RELEASE = 'release'
KINDS = (CLAIM, HEARTBEAT, RELEASE)
MAX_STRENGTH = 1e6  # in cores
MAX_DESCRIPTORS = 2**31
MAX_ENDPOINTS = 10**6
MAX_LEASE_MS = 3_600_000
MAX_NUMBER = 2**53


class HostRecord(msgspec.Struct, array_like=True):
    """The address where a host listens for peers, and its strength.

    `descriptors` is how many files and sockets it may have open, 0 if that
    isn't known.
    """

    name: str
    incarnation: str
    zone: str
    address: str
    port: int
    strength: float = 0.0
    descriptors: int = 0


class QueueLoad(msgspec.Struct, array_like=True):
    """The number of jobs of a queue that haven't begun, and predicted waits.

    A new job would wait for `within_wait` if it is within the entitlement of
    its organisation, else for `beyond_wait`, both in tenths of a second. They
    are 0 without organisations. Its tasks take `ratio` hundredths of their
    declared run time; 0 means that this isn't known, or close to 100.
    """

    pending: int
    within_wait: int = 0
    beyond_wait: int = 0
    ratio: int = 0


class ServiceWait(msgspec.Struct, array_like=True):
    """The predicted waits for queues of a service that no load names.

    They are those of queues with this priority number, or a higher one up to
    the service's next such entry, in tenths of a second.
    """

    priority: int
    within_wait: int
    beyond_wait: int


class OwnerNotice(msgspec.Struct, array_like=True):
    """A claim, a heartbeat or a release of the ownership.

    A claim's epoch is its offset + 1, so epochs are unique. `number` orders
    the notices of an epoch, which may be written out of order. `lapses` maps
    silent endpoints to the rest of their leases in milliseconds, `beyond`
    organisations to the part of their jobs that is beyond their entitlement,
    in percent. `waits` maps services to waits, most urgent priority first.
    `endpoints` is about how many endpoints the cell has, 0 if there are few or
    their number isn't known. `loads_known` is False if the owner can't tell
    `loads`: it hasn't read the jobs yet, and knows no former owner's.
    `hosts_read` is up to which offset it has read the list of hosts. Leases
    that the owners before it extended last for `inherited` milliseconds at
    most; without `grants` it extends none itself before a later notice.
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
    beyond: dict[str, int] = {}
    waits: dict[str, list[ServiceWait]] = {}
    endpoints: int = 0
    loads_known: bool = True
    hosts_read: int = 0
    inherited: int = 0
    grants: bool = True


# The last fields have these values in most notices and are left out then.
_USUAL_END = (True, 0, 0, True)  # from `loads_known` on


def encode(record: msgspec.Struct) -> bytes:
    """Return a record encoded as MessagePack.

    Fields of an owner's notice that are rarely needed are left out otherwise,
    as it is written 2.5 times a second: ratios, and the last ones.
    """
    if not isinstance(record, OwnerNotice):
        return msgspec.msgpack.encode(record)
    loads = {
        name: load
        if load.ratio
        else (load.pending, load.within_wait, load.beyond_wait)
        for name, load in record.loads.items()
    }
    row = msgspec.structs.astuple(msgspec.structs.replace(record, loads=loads))
    return msgspec.msgpack.encode(_without_usual_end(row))


def _without_usual_end(row: tuple[object, ...]) -> tuple[object, ...]:
    count = len(row)
    for value in reversed(_USUAL_END):
        if row[count - 1] != value:
            break
        count -= 1
    return row[:count]


def decode_host(data: bytes) -> HostRecord | None:
    """Return a host's record, None if it can't be used."""
    record = _decode(data, HostRecord)
    if record is None:
        return None
    usable = (
        _is_peer_address(record.address, record.port)
        and 0 <= record.strength <= MAX_STRENGTH
        and 0 <= record.descriptors <= MAX_DESCRIPTORS
    )
    return record if usable else None


def decode_owner(data: bytes) -> OwnerNotice | None:
    """Return an owner's notice, None if it can't be used."""
    notice = _decode(data, OwnerNotice)
    if notice is None or notice.kind not in KINDS:
        return None
    usable = (
        notice.epoch > 0
        and 0 <= notice.number <= MAX_NUMBER
        and 0 <= notice.endpoints <= MAX_ENDPOINTS
        and 0 <= notice.hosts_read <= MAX_NUMBER
        and 0 <= notice.inherited <= MAX_LEASE_MS
        and _is_peer_address(notice.address, notice.port)
        and all(0 <= left <= MAX_LEASE_MS for left in notice.lapses.values())
    )
    return notice if usable else None


def _is_peer_address(address: str, port: int) -> bool:
    return addresses.is_ip(address) and addresses.is_port(port)


def _decode(data: bytes, kind: typing.Any) -> typing.Any:
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError):
        return None
