"""Define the messages between entry hosts.

Each call is wrapped in an `Envelope` with a correlation id and the trace
context; its reply has the same id. Times are durations in seconds and never
clock readings, because hosts share no clock.
"""

import typing

from hibiscusslip.peer import _cell_messages
from hibiscusslip.peer import _host_messages
from hibiscusslip.peer import _job_messages
from hibiscusslip.peer import _message
from hibiscusslip.peer import _offload_messages
from hibiscusslip.peer import _operator_messages

AdviceQuery = _cell_messages.AdviceQuery
AdviceReply = _cell_messages.AdviceReply
CellConfigQuery = _cell_messages.CellConfigQuery
CellConfigReply = _cell_messages.CellConfigReply
CellJobQuery = _cell_messages.CellJobQuery
CellJobReply = _cell_messages.CellJobReply
CommitReply = _offload_messages.CommitReply
CommitRequest = _offload_messages.CommitRequest
ConfigQuery = _host_messages.ConfigQuery
ConfigState = _host_messages.ConfigState
DrainEndpoint = _operator_messages.DrainEndpoint
EndpointDraining = _operator_messages.EndpointDraining
EpochQuery = _cell_messages.EpochQuery
EventsQuery = _operator_messages.EventsQuery
Heartbeat = _host_messages.Heartbeat
HeartbeatAck = _host_messages.HeartbeatAck
HeldShard = _host_messages.HeldShard
HoldReply = _offload_messages.HoldReply
HoldRequest = _offload_messages.HoldRequest
HostStatus = _operator_messages.HostStatus
InboxWrite = _cell_messages.InboxWrite
IntroductionReply = _host_messages.IntroductionReply
IntroductionRequest = _host_messages.IntroductionRequest
JobCancel = _job_messages.JobCancel
JobExplain = _job_messages.JobExplain
JobHistory = _job_messages.JobHistory
JobState = _job_messages.JobState
JobStatus = _job_messages.JobStatus
JobSubmit = _job_messages.JobSubmit
KnownHost = _host_messages.KnownHost
OpenPromise = _host_messages.OpenPromise
OwnerRelease = _cell_messages.OwnerRelease
PromiseReply = _host_messages.PromiseReply
PromiseRequest = _host_messages.PromiseRequest
ReleaseRequest = _offload_messages.ReleaseRequest
RemoteTaskQuery = _offload_messages.RemoteTaskQuery
RemoteTaskReport = _offload_messages.RemoteTaskReport
RemoteTaskState = _offload_messages.RemoteTaskState
SelectJobs = _operator_messages.SelectJobs
ShardLoad = _host_messages.ShardLoad
ShardTransfer = _host_messages.ShardTransfer
StatusQuery = _operator_messages.StatusQuery
StopHost = _operator_messages.StopHost
StopTasks = _offload_messages.StopTasks
StoreQuery = _cell_messages.StoreQuery
VouchQuery = _cell_messages.VouchQuery


class Done(_message.Message, frozen=True, tag='done'):
    """Confirm a call that returns no data."""


class Refusal(_message.Message, frozen=True, tag='refusal'):
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
    VouchQuery,
    EpochQuery,
    InboxWrite,
    OwnerRelease,
    Done,
    Refusal,
]


class Envelope(_message.Message, frozen=True):
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
