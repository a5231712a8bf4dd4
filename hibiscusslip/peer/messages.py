"""Define the messages between entry hosts.

Each call travels in an `Envelope` with a correlation id and the trace
context; a reply carries the same id. Times are durations in seconds, never
clock readings, as hosts share no clock.
"""

import typing

import msgspec


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Travel as an array without field names, which saves bytes.

    So a new field goes last and has a default.
    """


class ShardLoad(_Message, frozen=True):
    """Summarise one shard for others that may send work there."""

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


class Heartbeat(_Message, frozen=True, tag='heartbeat'):
    """Tell that the sender lives, what it holds and what it knows.

    `ended` is the last word of a process: it acts for nothing any more.
    """

    number: int
    draining: bool
    config_version: int
    loads: list[ShardLoad]
    known_hosts: list['KnownHost']
    zone: str = ''
    address: str = ''
    port: int = 0
    ended: bool = False


class KnownHost(_Message, frozen=True):
    """Name an entry host and how long ago the sender heard of it."""

    host: str
    incarnation: str
    zone: str
    address: str
    port: int
    age: float


class HeartbeatAck(_Message, frozen=True, tag='heartbeat_ack'):
    """Answer a heartbeat with what the receiver knows."""

    number: int
    draining: bool
    config_version: int
    loads: list[ShardLoad]
    known_hosts: list[KnownHost]


class HeldShard(_Message, frozen=True):
    """Name a shard with the epoch it is held at."""

    shard: int
    epoch: int


class PromiseRequest(_Message, frozen=True, tag='promise_request'):
    """Ask a host of the same zone not to claim shards for a while."""

    request_id: str
    shards: list[HeldShard]
    duration: float


class PromiseReply(_Message, frozen=True, tag='promise_reply'):
    """Name the shards that the sender promises not to claim.

    `open_for` lists holders it has open promises to, for newcomers.
    """

    request_id: str
    granted: list[int]


class IntroductionRequest(_Message, frozen=True, tag='introduce'):
    """Ask a host of the same zone to take this newcomer into account."""

    request_id: str


class OpenPromise(_Message, frozen=True):
    """Tell how long a promise to a holder stays open."""

    shard: int
    epoch: int
    host: str
    incarnation: str
    remaining: float


class IntroductionReply(_Message, frozen=True, tag='introduced'):
    """Confirm the introduction and tell the open promises."""

    request_id: str
    promises: list[OpenPromise]


class JobSubmit(_Message, frozen=True, tag='job_submit'):
    """Send a job to the owner of its home shard."""

    zone: str
    shard: int
    job: bytes
    wait: float = 0.0


class JobStatus(_Message, frozen=True, tag='job_status'):
    """Ask for a job's state; wait up to `wait` for a final one."""

    zone: str
    shard: int
    job_id: str
    wait: float


class JobCancel(_Message, frozen=True, tag='job_cancel'):
    """Ask the owner of the home shard to cancel a job."""

    zone: str
    shard: int
    job_id: str


class JobExplain(_Message, frozen=True, tag='job_explain'):
    """Ask for a job's whole history with reasons."""

    zone: str
    shard: int
    job_id: str


class JobState(_Message, frozen=True, tag='job_state'):
    """Tell how a job stands; `answer` is whole when final."""

    job_id: str
    outcome: str
    detail: str
    answer: bytes
    retry_after: float | None = None
    nearest: str = ''


class JobHistory(_Message, frozen=True, tag='job_story'):
    """Tell a job's history, one line an event, the oldest first."""

    job_id: str
    outcome: str
    lines: list[str]


class HoldRequest(_Message, frozen=True, tag='hold'):
    """Ask a shard's owner to hold room for tasks of a foreign job."""

    hold_id: str
    zone: str
    shard: int
    home_zone: str
    home_shard: int
    home_epoch: int
    job: bytes
    tasks: list[int]
    attempt: int
    duration: float


class HoldReply(_Message, frozen=True, tag='held'):
    """Name the tasks that room is held for, maybe none."""

    hold_id: str
    tasks: list[int]


class CommitRequest(_Message, frozen=True, tag='commit'):
    """Start the tasks that room is held for."""

    hold_id: str
    zone: str
    shard: int


class CommitReply(_Message, frozen=True, tag='committed'):
    """Tell whether the held tasks start: False when it had expired."""

    hold_id: str
    committed: bool


class ReleaseRequest(_Message, frozen=True, tag='release'):
    """Give held room back."""

    hold_id: str
    zone: str
    shard: int


class RemoteTaskQuery(_Message, frozen=True, tag='remote_query'):
    """Ask how tasks of a foreign job stand on a shard.

    The receiver refuses older epochs of the home shard from then on.
    """

    zone: str
    shard: int
    home_zone: str
    home_shard: int
    home_epoch: int
    tasks: list[str]


class RemoteTaskState(_Message, frozen=True, tag='remote_state'):
    """Tell how one task on a foreign shard stands."""

    task: str
    attempt: int
    state: str
    detail: str
    answer: bytes


class RemoteTaskReport(_Message, frozen=True, tag='remote_report'):
    """Tell the home of tasks how they stand on a shard, `place`."""

    tasks: list[RemoteTaskState]
    home_zone: str
    home_shard: int
    place: str


class StopTasks(_Message, frozen=True, tag='stop_tasks'):
    """Ask a shard's owner to stop tasks of a foreign job."""

    zone: str
    shard: int
    home_zone: str
    home_shard: int
    home_epoch: int
    tasks: list[str]


class ShardTransfer(_Message, frozen=True, tag='hand_over'):
    """Hand shards and all that is held for them to the receiver."""

    transfer_id: str
    shard: int
    epoch: int
    part: int
    parts: int
    state: bytes


class ConfigQuery(_Message, frozen=True, tag='config_query'):
    """Ask for the newest configuration above a version."""

    above: int


class ConfigState(_Message, frozen=True, tag='config_state'):
    """Carry a configuration record as read from the log; empty if none."""

    version: int
    offset: int
    record: bytes


class StatusQuery(_Message, frozen=True, tag='status_query'):
    """Ask a host for its part of the operators' view."""


class HostStatus(_Message, frozen=True, tag='host_status'):
    """Carry a host's part of the operators' view as JSON."""

    document: bytes


class EventsQuery(_Message, frozen=True, tag='events_query'):
    """Ask for the latest events of a host, as JSON in a HostStatus."""

    limit: int


class StopHost(_Message, frozen=True, tag='stop_host'):
    """Ask a host for its planned stop."""


class DrainEndpoint(_Message, frozen=True, tag='drain_endpoint'):
    """Ask an owner to give an endpoint no new work."""

    endpoint: str


class EndpointDraining(_Message, frozen=True, tag='endpoint_draining'):
    """Tell how many tasks a draining endpoint still runs."""

    known: bool
    running: int


class SelectJobs(_Message, frozen=True, tag='select_jobs'):
    """Ask for the jobs that match, as JSON in a HostStatus.

    With `cancel` the matching jobs are cancelled as well.
    """

    team: str
    kind: str
    workload: str
    outcome: str
    cancel: bool


class CellJobQuery(_Message, frozen=True, tag='cell_job_query'):
    """Ask the owner of the cell how far a job is."""

    job: str


class CellJobReply(_Message, frozen=True, tag='cell_job_reply'):
    """Tell a job's state; `known` is false when no such job exists."""

    known: bool
    state: str


class AdviceQuery(_Message, frozen=True, tag='advice_query'):
    """Ask a host to call the advice service for the owner."""

    step: str
    endpoints: list[str]


class AdviceReply(_Message, frozen=True, tag='advice_reply'):
    """Tell a ticket for each eligible endpoint and how long they hold.

    `age` is for how long the tickets have been valid, in seconds.
    """

    tickets: dict[str, str]
    valid: float
    age: float


class StoreQuery(_Message, frozen=True, tag='store_query'):
    """Ask a host whether the store serves it; `Done` says yes."""


class InboxWrite(_Message, frozen=True, tag='inbox_write'):
    """Ask a host to write records to the inbox, for one that can't."""

    items: list[tuple[str, bytes]]


class OwnerRelease(_Message, frozen=True, tag='owner_release'):
    """Ask a host to write down that the sender's ownership ends.

    `notice` is the record for the store, which doesn't serve the sender.
    """

    notice: bytes


class Done(_Message, frozen=True, tag='done'):
    """Confirm a call that has nothing to tell."""


class Refusal(_Message, frozen=True, tag='refusal'):
    """Decline a call: nothing of it was done."""

    kind: str
    detail: str
    retry_after: float | None = None
    nearest: str = ''


PeerMessage = typing.Union[  # noqa: UP007 - decoders need the plain union
    Heartbeat,
    HeartbeatAck,
    PromiseRequest,
    PromiseReply,
    IntroductionRequest,
    IntroductionReply,
    JobSubmit,
    JobStatus,
    JobCancel,
    JobExplain,
    JobState,
    JobHistory,
    HoldRequest,
    HoldReply,
    CommitRequest,
    CommitReply,
    ReleaseRequest,
    RemoteTaskQuery,
    RemoteTaskReport,
    StopTasks,
    ShardTransfer,
    ConfigQuery,
    ConfigState,
    StatusQuery,
    HostStatus,
    EventsQuery,
    StopHost,
    DrainEndpoint,
    EndpointDraining,
    SelectJobs,
    CellJobQuery,
    CellJobReply,
    AdviceQuery,
    AdviceReply,
    StoreQuery,
    InboxWrite,
    OwnerRelease,
    Done,
    Refusal,
]


class Envelope(_Message, frozen=True):
    """Carry one message; `reply` tells a reply from a call.

    `trace` is a W3C traceparent or empty, `expires` the seconds that the
    sender goes on waiting for the reply, 0 when it waits for none.
    """

    call_id: int
    reply: bool
    trace: str
    expires: float
    body: PeerMessage
