"""Define the messages about hosts and the shards that they own."""

from hibiscusslip.peer import _message


class ShardLoad(_message.Message, frozen=True):
    """Summarise a shard's load for owners that may offload tasks to it.

    `free_*` are the totals of the shard, `largest_*` the largest free amount
    of each resource on any endpoint.
    """

    zone: str
    number: int
    epoch: int
    free_cpu_milli: int
    free_memory_mb: int
    free_accelerators: int
    free_slots: int
    largest_cpu_milli: int
    largest_memory_mb: int
    largest_accelerators: int
    queued: int
    running: int


class KnownHost(_message.Message, frozen=True):
    """Describe an entry host; `age` is the time since it was last heard."""

    host: str
    incarnation: str
    zone: str
    address: str
    port: int
    age: float


class Heartbeat(_message.Message, frozen=True, tag='heartbeat'):
    """Report the sender's liveness, the load of its shards and its peers.

    `ended` marks the last heartbeat of a process: it owns no shard any more.
    """

    number: int
    draining: bool
    config_version: int
    loads: list[ShardLoad]
    known_hosts: list[KnownHost]
    zone: str = ''
    address: str = ''
    port: int = 0
    ended: bool = False


class HeartbeatAck(_message.Message, frozen=True, tag='heartbeat_ack'):
    """Reply to a heartbeat with the receiver's own state and peers."""

    number: int
    draining: bool
    config_version: int
    loads: list[ShardLoad]
    known_hosts: list[KnownHost]


class HeldShard(_message.Message, frozen=True):
    """Name a shard and the epoch of its ownership."""

    shard: int
    epoch: int


class PromiseRequest(_message.Message, frozen=True, tag='promise_request'):
    """Ask a host of the same zone not to claim shards for `duration`."""

    request_id: str
    shards: list[HeldShard]
    duration: float


class PromiseReply(_message.Message, frozen=True, tag='promise_reply'):
    """Name the shards that the sender promises not to claim."""

    request_id: str
    granted: list[int]


class IntroductionRequest(_message.Message, frozen=True, tag='introduce'):
    """Announce the sender, a new host, to a host of the same zone."""

    request_id: str


class OpenPromise(_message.Message, frozen=True):
    """Report a promise to a shard's owner and its remaining time."""

    shard: int
    epoch: int
    host: str
    incarnation: str
    remaining: float


class IntroductionReply(_message.Message, frozen=True, tag='introduced'):
    """Confirm an introduction and report the sender's open promises."""

    request_id: str
    promises: list[OpenPromise]


class ShardTransfer(_message.Message, frozen=True, tag='hand_over'):
    """Transfer a shard and its state to the receiver, in parts."""

    transfer_id: str
    shard: int
    epoch: int
    part: int
    parts: int
    state: bytes


class ConfigQuery(_message.Message, frozen=True, tag='config_query'):
    """Ask for the newest configuration above a version."""

    above: int


class ConfigState(_message.Message, frozen=True, tag='config_state'):
    """Return a configuration record as read from the log; empty if none."""

    version: int
    offset: int
    record: bytes
