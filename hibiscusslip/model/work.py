"""Define job specifications, task ids and outcomes."""

import dataclasses
import enum

from hibiscusslip.model import resources


class Form(enum.StrEnum):
    """Enumerate how the tasks of a job relate to each other.

    The tasks of a service run until they are stopped, those of a batch
    independently of each other, those of a gang all at the same time.
    """

    SERVICE = 'service'
    BATCH = 'batch'
    GANG = 'gang'


class Urgency(enum.IntEnum):
    """Enumerate job priorities; the smallest value is served first."""

    URGENT = 0
    HIGH = 1
    NORMAL = 2
    LOW = 3


class Outcome(enum.StrEnum):
    """Enumerate the states and final outcomes of a job or a task.

    NOT_RUN is reported only if provably nothing started, UNKNOWN only if
    neither that nor the result can be proved.
    """

    QUEUED = 'queued'
    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'

    @property
    def final(self) -> bool:
        """Return whether the outcome can't change any more."""
        return self not in (Outcome.QUEUED, Outcome.RUNNING)


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Represent a job as its caller requested it.

    `kind` names a kind of work with a share of the fleet, `demand` is per
    task, `run_time` is in seconds, `deadline` is Unix time in seconds,
    `trace` is the W3C traceparent of the previous hop. The tasks of a job
    that isn't `repeatable` must not run twice; a `durable` job is recorded
    on the log before it starts. Requests of a team with the same `key` are
    the same job.
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
    """Return a copy of a specification with another job id."""
    return dataclasses.replace(spec, job_id=job_id)


def with_trace(spec: JobSpec, trace: str) -> JobSpec:
    """Return a specification with `trace` as its traceparent."""
    if spec.trace == trace:
        return spec
    return dataclasses.replace(spec, trace=trace)


def task_id(job_id: str, index: int) -> str:
    """Return the id of task number `index` of a job."""
    return f'{job_id}/{index}'


def job_of(task: str) -> str:
    """Return the job id within a task id."""
    return task.rpartition('/')[0]


def index_of(task: str) -> int:
    """Return the index of a task within its job, from its task id."""
    return int(task.rpartition('/')[2])
