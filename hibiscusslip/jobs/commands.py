"""Define what a shard's engine asks the node to do."""

import dataclasses
import enum

from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.records import zone
from hibiscusslip.scheduler import base as scheduler_base


@dataclasses.dataclass(frozen=True, slots=True)
class StartTasks:
    """Send start orders to an endpoint."""

    endpoint: str
    orders: list[endpoint_base.StartOrder]


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write a record and tell the engine once it was read back."""

    record: zone.ZoneRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ListRuns:
    """Ask an endpoint what it runs."""

    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a task on an endpoint; `grace` is in seconds."""

    endpoint: str
    task: str
    grace: float


@dataclasses.dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Slow a task down to a share of its demand."""

    endpoint: str
    task: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class CheckpointTask:
    """Have a task save its state, then stop it."""

    endpoint: str
    task: str
    grace: float


@dataclasses.dataclass(frozen=True, slots=True)
class FetchAnswer:
    """Fetch an answer that is too large to come with the event."""

    endpoint: str
    task: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class HoldRemote:
    """Gather room on other shards for tasks of a job."""

    job_id: str
    tasks: list[int]
    expires: float
    local: list[scheduler_base.Start]


@dataclasses.dataclass(frozen=True, slots=True)
class JobFinal:
    """Tell those who wait that a job has its final outcome."""

    job_id: str
    outcome: work.Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class JobRecorded:
    """Tell those who wait that a job's acceptance is on the log."""

    job_id: str


class RemoteState(enum.StrEnum):
    """Tell how a task stands on a shard that is not its home.

    LOST has started and has provably ended without a result, NOT_STARTED
    never started, ABSENT is not known there and runs on no endpoint there.
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
    """Tell how one task of a foreign job stands."""

    task: str
    attempt: int
    state: RemoteState
    detail: str = ''
    answer: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class ReportTask:
    """Tell a guest's home how its task stands."""

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
