"""Define the records of an availability zone's stream.

All records of one availability zone share one stream, so that the order of
claims, start intents and outcomes is the same for every reader.
"""

import typing

import msgspec


class ClaimEntry(msgspec.Struct, frozen=True):
    """Name one shard and the record that the claim follows.

    `epoch` and `seq` are those of the predecessor, both 0 for none. The
    entry is void unless they are still the latest at the claim's offset.
    """

    shard: int
    epoch: int
    seq: int


class Claim(msgspec.Struct, frozen=True, tag='claim'):
    """Take shards over: the epoch grows by one and seq starts at 1."""

    record_id: str
    host: str
    incarnation: str
    entries: list[ClaimEntry]


class Renewal(msgspec.Struct, frozen=True, tag='renewal'):
    """Go on holding shards: the epoch stays and seq grows by one."""

    record_id: str
    host: str
    incarnation: str
    entries: list[ClaimEntry]


class Transfer(msgspec.Struct, frozen=True, tag='transfer'):
    """Hand shards to another host: the epoch grows by one."""

    record_id: str
    host: str
    incarnation: str
    to_host: str
    to_incarnation: str
    entries: list[ClaimEntry]


class Joined(msgspec.Struct, frozen=True, tag='joined'):
    """Tell that a new incarnation of an entry host has started."""

    record_id: str
    host: str
    incarnation: str
    address: str
    port: int


class JobAccepted(msgspec.Struct, frozen=True, tag='accepted'):
    """Keep a job that outlives its caller's connection.

    Void unless (shard, epoch) is the latest claim at its offset.
    """

    record_id: str
    shard: int
    epoch: int
    job: bytes


class StartIntent(msgspec.Struct, frozen=True, tag='intent'):
    """Tell that tasks may start from now on, and on whose endpoints.

    Needed for work that isn't repeatable and for tasks on a foreign shard.
    Void unless (shard, epoch) is the latest claim at its offset.
    """

    record_id: str
    shard: int
    epoch: int
    job_id: str
    tasks: list[int]
    attempt: int
    place: str


class JobEnded(msgspec.Struct, frozen=True, tag='ended'):
    """Keep a final outcome; `answer` may be cut off at a limit."""

    record_id: str
    shard: int
    epoch: int
    job_id: str
    outcome: str
    detail: str
    answer: bytes


class EndpointDrain(msgspec.Struct, frozen=True, tag='drain'):
    """Give an endpoint no new work until the host list drops it."""

    record_id: str
    endpoint: str


class Snapshot(msgspec.Struct, frozen=True, tag='snapshot'):
    """Hold the live state of one shard, one part of `parts`.

    A reader that finds a gap rebuilds from the newest whole snapshot.
    `as_of` is the offset up to which records are included.
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


ZoneRecord = typing.Union[  # noqa: UP007 - decoders need the plain union
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
