"""Define the JSON documents of the callers' API."""

import base64
import typing

import msgspec

from hibiscusslip.caller import service
from hibiscusslip.model import resources
from hibiscusslip.model import work

MILLI_PER_CORE = 1000
MB_PER_GB = 1024
MAX_INLINE_BYTES = 64 * 1024

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r'^\w[\w.-]*$', max_length=64)
]
Label = typing.Annotated[str, msgspec.Meta(max_length=64)]
Amount = typing.Annotated[float, msgspec.Meta(gt=0, le=1e6)]
WholeNumber = typing.Annotated[int, msgspec.Meta(ge=0, le=10**6)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=10**6)]
Duration = typing.Annotated[float, msgspec.Meta(gt=0, le=1e9)]
UnixTime = typing.Annotated[float, msgspec.Meta(gt=0, le=1e11)]
UrgencyName = typing.Literal['urgent', 'high', 'normal', 'low']


class JobDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a job to submit; amounts are per task, times in seconds.

    A durable job has a stored record. If `durable` is None, the job is
    durable unless the caller waits for it.
    """

    team: Name
    kind: Name
    form: work.Form = work.Form.BATCH
    urgency: UrgencyName | None = None
    tasks: Count = 1
    cores: Amount = 1.0
    memory_gb: Amount = 1.0
    accelerators: WholeNumber = 0
    run_time: Duration = 1.0
    repeatable: bool = True
    durable: bool | None = None
    spread: bool = False
    workload: Label = ''
    deadline: UnixTime | None = None
    payload: str = ''
    payload_base64: bytes = b''


class JobStateDocument(
    msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True
):
    """Represent the state of a job.

    A result is inlined in `answer` if it is UTF-8, else in `answer_base64`.
    Above MAX_INLINE_BYTES it is available only at the path `answer_href`.
    """

    job_id: str
    outcome: str
    detail: str = ''
    answer: str | None = None
    answer_base64: str | None = None
    answer_size: int | None = None
    answer_href: str | None = None
    retry_after: float | None = None
    nearest: str = ''


class JobHistoryDocument(msgspec.Struct, frozen=True):
    """Represent a job's event history, oldest event first."""

    job_id: str
    outcome: str
    lines: list[str]


class JobStatesDocument(msgspec.Struct, frozen=True):
    """List the states of jobs in the order of their submission."""

    jobs: list[JobStateDocument]


class ReadinessDocument(msgspec.Struct, frozen=True):
    """Report whether the host accepts jobs."""

    ready: bool
    detail: str


def to_spec(
    document: JobDocument,
    job_id: str,
    key: str,
    waiting: bool,
    default_urgency: work.Urgency,
    trace: str,
) -> work.JobSpec:
    """Return the specification of a job document.

    `waiting` is whether the caller waits for the job; `default_urgency`
    applies if the document has none.
    """
    urgency = document.urgency
    durable = document.durable
    return work.JobSpec(
        job_id=job_id,
        team=document.team,
        kind=document.kind,
        form=document.form,
        urgency=work.Urgency[urgency.upper()] if urgency else default_urgency,
        tasks=document.tasks,
        demand=resources.Resources(
            max(1, round(document.cores * MILLI_PER_CORE)),
            max(1, round(document.memory_gb * MB_PER_GB)),
            document.accelerators,
        ),
        run_time=document.run_time,
        repeatable=document.repeatable,
        durable=not waiting if durable is None else durable,
        spread=document.spread,
        workload=document.workload,
        key=key,
        deadline=document.deadline,
        payload=document.payload_base64 or document.payload.encode(),
        trace=trace,
    )


def from_state(state: service.JobState) -> JobStateDocument:
    """Return the document of a job's state."""
    succeeded = state.outcome is work.Outcome.SUCCEEDED
    size = len(state.answer)
    text = encoded = href = None
    if succeeded and size > MAX_INLINE_BYTES:
        href = f'/v1/jobs/{state.job_id}/answer'
    elif succeeded:
        text = _decode_text(state.answer)
        if text is None:
            encoded = base64.b64encode(state.answer).decode()
    return JobStateDocument(
        job_id=state.job_id,
        outcome=state.outcome,
        detail=state.detail,
        answer=text,
        answer_base64=encoded,
        answer_size=size if succeeded else None,
        answer_href=href,
        retry_after=state.retry_after,
        nearest=state.nearest,
    )


def _decode_text(data: bytes) -> str | None:
    try:
        return data.decode()
    except UnicodeDecodeError:
        return None
