"""Define the commands that a shard's engine issues to the node."""

import dataclasses
import enum

from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.records import zone
from hibiscusslip.scheduler import base as scheduler_base


@dataclasses.dataclass(frozen=True, slots=True)
class StartTasks:
    """Send start requests to an endpoint."""

    endpoint: str
    orders: list[endpoint_base.StartRequest]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write a record and notify the engine once it was read back."""

    record: zone.ZoneRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ListRuns:
    """List the runs of an endpoint."""

    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a task on an endpoint after a grace period in seconds."""

    endpoint: str
    task: str
    grace: float


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Throttle a task to a share of its demand (0 < share <= 1)."""

    endpoint: str
    task: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Checkpoint a task, then stop it; `grace` is in seconds."""

    endpoint: str
    task: str
    grace: float


@dataclasses.dataclass(frozen=True, slots=True)
class FetchAnswer:
    """Fetch an answer that is too large for the end event of its run."""

    endpoint: str
    task: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldRemote:
    """Hold capacity on other shards for `tasks` of a gang.

    `local` are the placements on this shard, held until `expires`.
    """

    job_id: str
    tasks: list[int]
    expires: float
    local: list[scheduler_base.Start]


@dataclasses.dataclass(frozen=True, slots=True)
class JobFinal:
    """Wake the waiting callers: the job has its final outcome."""

    job_id: str
    outcome: work.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class JobRecorded:
    """Wake the waiting callers: a record of the job is on the log.

    The record is that of its acceptance or of a remote start intent.
    """

    job_id: str


class RemoteState(enum.StrEnum):
    """Enumerate the states of a task on a shard that is not its home.

    A LOST task has started and has provably ended without a result, a
    NOT_STARTED one has provably not started. An ABSENT one is unknown to the
    shard and runs on none of its endpoints.
    """

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LOST = 'lost'
    NOT_STARTED = 'not_started'
    ABSENT = 'absent'


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteTask:
    """Report the state of an offloaded task."""

    task: str
    attempt: int
    state: RemoteState
    detail: str = ''
    answer: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class ReportTask:
    """Send the report of an offloaded task to its home shard."""

    home: places.Shard
    report: RemoteTask


@dataclasses.dataclass(frozen=True, slots=True)
class StopRemote:
    """Stop a task on another shard."""

    place: str
    task: str


Command = (
    StartTasks
    | WriteRecord
    | ListRuns
    | StopTask
    | ThrottleTask
    | CheckpointTask
    | FetchAnswer
    | HoldRemote
    | JobFinal
    | JobRecorded
    | ReportTask
    | StopRemote
)
