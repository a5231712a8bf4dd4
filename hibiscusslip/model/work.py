"""Describe jobs, their tasks and what became of them."""

import dataclasses
import enum

from hibiscusslip.model import resources


class Form(enum.StrEnum):
    """Name how the tasks of a job relate to each other."""

    SERVICE = 'service'
    BATCH = 'batch'
    GANG = 'gang'


class Urgency(enum.IntEnum):
    """Order jobs; a smaller value goes first."""

    URGENT = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class Outcome(enum.StrEnum):
    """Tell what became of a job or of one of its tasks.

    `not_run` is said only when it is proved that nothing started;
    `unknown` only when neither that nor the result can be proved.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'

    @property
    def final(self) -> bool:
        """Tell whether the outcome can't change any more."""
        return self not in (Outcome.QUEUED, Outcome.RUNNING)


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Hold what a caller asked for.

    `kind` names a kind of work with a share of the fleet, `demand` is per
    task, times are in seconds, `deadline` is unix time in seconds, `trace`
    is the W3C traceparent of the hop before.
    """

    job_id: str
    team: str
    kind: str
    form: Form = Form.BATCH
    urgency: Urgency = Urgency.NORMAL
    tasks: int = 1
    demand: resources.Resources = resources.Resources()
    run_time: float = 1.0
    repeatable: bool = True
    durable: bool = False
    spread: bool = False
    workload: str = ''
    key: str = ''
    deadline: float | None = None
    payload: bytes = b''
    trace: str = ''


def with_id(spec: JobSpec, job_id: str) -> JobSpec:
    """Return a specification under another job id."""
    return dataclasses.replace(spec, job_id=job_id)


def with_trace(spec: JobSpec, trace: str) -> JobSpec:
    """Return a specification as a later hop of its trace."""
    if spec.trace == trace:
        return spec
    return dataclasses.replace(spec, trace=trace)


def task_id(job_id: str, index: int) -> str:
    """Return the id of the task number `index` of a job."""
    return f'{job_id}/{index}'


def job_of(task: str) -> str:
    """Return the job id that a task id belongs to."""
    return task.rpartition('/')[0]


def index_of(task: str) -> int:
    """Return the number of a task within its job."""
    return int(task.rpartition('/')[2])
