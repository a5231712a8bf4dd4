"""Define the messages between entry hosts.

Each call is wrapped in an `Envelope` with a correlation id and the trace
context; its reply has the same id. Times are durations in seconds and never
clock readings, because hosts share no clock.
"""

import typing

import msgspec


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class for messages that are encoded as arrays.

    Arrays without field names are smaller. For compatibility a new field
    goes last and has a default.
    """


class ShardLoad(_Message, frozen=True):
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


class Heartbeat(_Message, frozen=True, tag='heartbeat'):
    """Report the sender's liveness, the load of its shards and its peers.

    `ended` marks the last heartbeat of a process: it owns no shard any more.
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
    """Describe an entry host; `age` is the time since it was last heard."""

    host: str
    incarnation: str
    zone: str
    address: str
    port: int
    age: float


class HeartbeatAck(_Message, frozen=True, tag='heartbeat_ack'):
    """Reply to a heartbeat with the receiver's own state and peers."""

    number: int
    draining: bool
    config_version: int
    loads: list[ShardLoad]
    known_hosts: list[KnownHost]


class HeldShard(_Message, frozen=True):
    """Name a shard and the epoch of its ownership."""

    shard: int
    epoch: int


class PromiseRequest(_Message, frozen=True, tag='promise_request'):
    """Ask a host of the same zone not to claim shards for `duration`."""

    request_id: str
    shards: list[HeldShard]
    duration: float


class PromiseReply(_Message, frozen=True, tag='promise_reply'):
    """Name the shards that the sender promises not to claim."""

    request_id: str
    granted: list[int]


class IntroductionRequest(_Message, frozen=True, tag='introduce'):
    """Announce the sender, a new host, to a host of the same zone."""

    request_id: str


class OpenPromise(_Message, frozen=True):
    """Report a promise to a shard's owner and its remaining time."""

    shard: int
    epoch: int
    host: str
    incarnation: str
    remaining: float


class IntroductionReply(_Message, frozen=True, tag='introduced'):
    """Confirm an introduction and report the sender's open promises."""

    request_id: str
    promises: list[OpenPromise]


class JobSubmit(_Message, frozen=True, tag='job_submit'):
    """Submit a job to the owner of its home shard."""

    zone: str
    shard: int
    job: bytes
    wait: float = 0.0


class JobStatus(_Message, frozen=True, tag='job_status'):
    """Ask for a job's state; wait up to `wait` seconds for a final one."""

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
    """Ask for a job's event history with the reasons of decisions."""

    zone: str
    shard: int
    job_id: str


class JobState(_Message, frozen=True, tag='job_state'):
    """Report a job's state; `answer` is complete in a final state."""

    job_id: str
    outcome: str
    detail: str
    answer: bytes
    retry_after: float | None = None
    nearest: str = ''


class JobHistory(_Message, frozen=True, tag='job_story'):
    """Report a job's event history, one line per event, oldest first."""

    job_id: str
    outcome: str
    lines: list[str]


class HoldRequest(_Message, frozen=True, tag='hold'):
    """Ask a shard's owner to reserve capacity for another shard's tasks.

    The reservation expires after `duration` unless it is committed.
    """

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
    """Name the tasks that capacity is reserved for, possibly none."""

    hold_id: str
    tasks: list[int]


class CommitRequest(_Message, frozen=True, tag='commit'):
    """Start the tasks of a reservation."""

    hold_id: str
    zone: str
    shard: int


class CommitReply(_Message, frozen=True, tag='committed'):
    """Report whether the tasks start; False when the hold had expired."""

    hold_id: str
    committed: bool


class ReleaseRequest(_Message, frozen=True, tag='release'):
    """Release the reserved capacity of a hold."""

    hold_id: str
    zone: str
    shard: int


class RemoteTaskQuery(_Message, frozen=True, tag='remote_query'):
    """Ask for the states of offloaded tasks of a home shard.

    This fences the home shard: the receiver refuses its older epochs from
    then on.
    """

    zone: str
    shard: int
    home_zone: str
    home_shard: int
    home_epoch: int
    tasks: list[str]


class RemoteTaskState(_Message, frozen=True, tag='remote_state'):
    """Report the state of one offloaded task."""

    task: str
    attempt: int
    state: str
    detail: str
    answer: bytes


class RemoteTaskReport(_Message, frozen=True, tag='remote_report'):
    """Report the states of offloaded tasks to their home shard.

    `place` is the shard that they run on.
    """

    tasks: list[RemoteTaskState]
    home_zone: str
    home_shard: int
    place: str


class StopTasks(_Message, frozen=True, tag='stop_tasks'):
    """Ask a shard's owner to stop offloaded tasks of a home shard."""

    zone: str
    shard: int
    home_zone: str
    home_shard: int
    home_epoch: int
    tasks: list[str]


class ShardTransfer(_Message, frozen=True, tag='hand_over'):
    """Transfer a shard and its state to the receiver, in parts."""

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
    """Return a configuration record as read from the log; empty if none."""

    version: int
    offset: int
    record: bytes


class StatusQuery(_Message, frozen=True, tag='status_query'):
    """Ask a host for its part of the operators' status view."""


class HostStatus(_Message, frozen=True, tag='host_status'):
    """Return a host's part of the operators' view as JSON."""

    document: bytes


class EventsQuery(_Message, frozen=True, tag='events_query'):
    """Ask for the latest events of a host, as JSON in a HostStatus."""

    limit: int


class StopHost(_Message, frozen=True, tag='stop_host'):
    """Ask a host to shut down gracefully."""


class DrainEndpoint(_Message, frozen=True, tag='drain_endpoint'):
    """Ask an owner to drain an endpoint: it gets no new tasks."""

    endpoint: str


class EndpointDraining(_Message, frozen=True, tag='endpoint_draining'):
    """Report how many tasks a draining endpoint still runs."""

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
    """Ask the owner of the cell for the state of a job.

    `organisation` is the caller's, '' for none. With `from_memory` the owner
    replies only whether it has read the job so far.
    """

    job: str
    organisation: str = ''
    from_memory: bool = False


class CellJobReply(_Message, frozen=True, tag='cell_job_reply'):
    """Report a job's state; `known` is false when no such job exists."""

    known: bool
    state: str


class CellConfigQuery(_Message, frozen=True, tag='cell_config_query'):
    """Ask a host whether a version of the configuration is the newest.

    `version` is 0 for none. With `fetch` the reply carries a newer one.
    """

    version: int
    fetch: bool


class CellConfigReply(_Message, frozen=True, tag='cell_config_reply'):
    """Return the version of the configuration that a host has.

    `age` is how many seconds ago it was known to be the newest. `document`
    is the configuration if the query asked for it and it is newer.
    """

    version: int
    age: float
    document: bytes = b''


class AdviceQuery(_Message, frozen=True, tag='advice_query'):
    """Ask a host to call the advice service for the owner."""

    step: str
    endpoints: list[str]


class AdviceReply(_Message, frozen=True, tag='advice_reply'):
    """Return an admission ticket for each eligible endpoint.

    The tickets are valid for `valid` seconds in all and `age` seconds of
    that have passed.
    """

    tickets: dict[str, str]
    valid: float
    age: float


class StoreQuery(_Message, frozen=True, tag='store_query'):
    """Ask a host whether it can reach the store; `Done` confirms it."""


class InboxWrite(_Message, frozen=True, tag='inbox_write'):
    """Ask a host to write inbox records for a sender that can't."""

    items: list[tuple[str, bytes]]


class OwnerRelease(_Message, frozen=True, tag='owner_release'):
    """Ask a host to record that the sender releases its ownership.

    `notice` is the record for the store, which the sender can't reach.
    """

    notice: bytes


class Done(_Message, frozen=True, tag='done'):
    """Confirm a call that returns no data."""


class Refusal(_Message, frozen=True, tag='refusal'):
    """Decline a call.

    The call had no effect, except that its outcome is unknown after some
    kinds: NotKeptYet and OwnerChanged as replies to a request to a job's
    home, and `in_doubt` as the reply to an InboxWrite.
    """

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
    CellConfigQuery,
    CellConfigReply,
    AdviceQuery,
    AdviceReply,
    StoreQuery,
    InboxWrite,
    OwnerRelease,
    Done,
    Refusal,
]


class Envelope(_Message, frozen=True):
    """Wrap one message; `reply` distinguishes a reply from a call.

    `call_id` matches a reply with its call, `trace` is a W3C traceparent or
    empty. `expires` is how many seconds the sender waits for the reply, 0
    when it waits for none.
    """

    call_id: int
    reply: bool
    trace: str
    expires: float
    body: PeerMessage
