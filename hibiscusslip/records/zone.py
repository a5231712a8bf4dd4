"""Define the records of an availability zone's stream.

All records of one availability zone share one stream, so that the order of
claims, start intents and outcomes is the same for every reader.
"""

import typing

import msgspec


class ClaimEntry(msgspec.Struct, frozen=True):
    """Identify a shard and the ownership record that a new one succeeds.

    `epoch` and `seq` are those of the preceding record, both 0 if there is
    none. The entry is invalid unless they are still the latest ones of the
    shard at the offset of the new record.
    """

    shard: int
    epoch: int
    seq: int


class Claim(msgspec.Struct, frozen=True, tag='claim'):
    """Claim shards: the epoch grows by one and seq starts at 1."""

    record_id: str
    host: str
    incarnation: str
    entries: list[ClaimEntry]


class Renewal(msgspec.Struct, frozen=True, tag='renewal'):
    """Renew the leases of shards: the epoch stays and seq grows by one."""

    record_id: str
    host: str
    incarnation: str
    entries: list[ClaimEntry]


class Transfer(msgspec.Struct, frozen=True, tag='transfer'):
    """Transfer shards to another host: the epoch grows by one."""

    record_id: str
    host: str
    incarnation: str
    to_host: str
    to_incarnation: str
    entries: list[ClaimEntry]


class Joined(msgspec.Struct, frozen=True, tag='joined'):
    """Announce that a new incarnation of an entry host has started."""

    record_id: str
    host: str
    incarnation: str
    address: str
    port: int


class JobAccepted(msgspec.Struct, frozen=True, tag='accepted'):
    """Record an accepted job that must survive its caller's connection.

    Invalid unless `epoch` is the shard's latest one at the record's offset.
    """

    record_id: str
    shard: int
    epoch: int
    job: bytes


class StartIntent(msgspec.Struct, frozen=True, tag='intent'):
    """Record that tasks may start from now on, and on which shards.

    Needed for work that isn't repeatable and for tasks on a foreign shard.
    `place` lists the shards, separated by spaces. Invalid unless `epoch` is
    the shard's latest one at the record's offset.
    """

    record_id: str
    shard: int
    epoch: int
    job_id: str
    tasks: list[int]
    attempt: int
    place: str


class JobEnded(msgspec.Struct, frozen=True, tag='ended'):
    """Record the final outcome of a job.

    `answer` is left empty if it exceeds a size limit, or if the job has
    several tasks.
    """

    record_id: str
    shard: int
    epoch: int
    job_id: str
    outcome: str
    detail: str
    answer: bytes


class EndpointDrain(msgspec.Struct, frozen=True, tag='drain'):
    """Drain an endpoint: no new work until the host list drops it."""

    record_id: str
    endpoint: str


class Snapshot(msgspec.Struct, frozen=True, tag='snapshot'):
    """Store part number `part` of `parts` of the live state of a shard.

    A reader that finds a gap in the log rebuilds its state from the newest
    complete snapshot. `as_of` is the offset up to which records are included.
    """

    record_id: str
    shard: int
    epoch: int
    seq: int
    host: str
    incarnation: str
    as_of: int
    part: int
    parts: int
    jobs: list[bytes]
    drained: list[str] = []


ZoneRecord = typing.Union[  # noqa: UP007 - decoders need a typing.Union
    Claim,
    Renewal,
    Transfer,
    Joined,
    JobAccepted,
    StartIntent,
    JobEnded,
    EndpointDrain,
    Snapshot,
]


def stream_of(zone: str) -> str:
    """Return the name of an availability zone's stream."""
    return f'zone.{zone}'


CONFIG_STREAM = 'config'
