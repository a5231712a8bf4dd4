"""Define the documents that callers send and get."""

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
Whole = typing.Annotated[int, msgspec.Meta(ge=0, le=10**6)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=10**6)]
Duration = typing.Annotated[float, msgspec.Meta(gt=0, le=1e9)]
UnixTime = typing.Annotated[float, msgspec.Meta(gt=0, le=1e11)]
UrgencyName = typing.Literal['urgent', 'high', 'normal', 'low']


class JobDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a job; amounts are per task, times are in seconds.

    `durable` None keeps a record exactly when the caller doesn't wait.
    """

    team: Name
    kind: Name
    form: work.Form = work.Form.BATCH
    urgency: UrgencyName | None = None
    tasks: Count = 1
    cores: Amount = 1.0
    memory_gb: Amount = 1.0
    accelerators: Whole = 0
    run_time: Duration = 1.0
    repeatable: bool = True
    durable: bool | None = None
    spread: bool = False
    workload: Label = ''
    deadline: UnixTime | None = None
    payload: str = ''
    payload_base64: bytes = b''


class StateDocument(
    msgspec.Struct, frozen=True, omit_defaults=True, kw_only=True
):
    """Tell how a job stands.

    An answer comes as text or as base64; a large one is fetched apart.
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
    """Tell a job's history, the oldest event first."""

    job_id: str
    outcome: str
    lines: list[str]


class StatesDocument(msgspec.Struct, frozen=True):
    """Tell how many jobs stand, in the order they were submitted."""

    jobs: list[StateDocument]


class ReadinessDocument(msgspec.Struct, frozen=True):
    """Tell whether work is taken."""

    ready: bool
    detail: str


def to_spec(
    document: JobDocument,
    job_id: str,
    key: str,
    waiting: bool,
    default: work.Urgency,
    trace: str,
) -> work.JobSpec:
    """Return the job that a document describes."""
    named = document.urgency
    durable = document.durable
    return work.JobSpec(
        job_id=job_id,
        team=document.team,
        kind=document.kind,
        form=document.form,
        urgency=work.Urgency[named.upper()] if named else default,
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


def from_state(state: service.JobState) -> StateDocument:
    """Return the document that tells a state."""
    answered = state.outcome is work.Outcome.SUCCEEDED
    size = len(state.answer)
    text = encoded = href = None
    if answered and size > MAX_INLINE_BYTES:
        href = f'/v1/jobs/{state.job_id}/answer'
    elif answered:
        text = _as_text(state.answer)
        if text is None:
            encoded = base64.b64encode(state.answer).decode()
    return StateDocument(
        job_id=state.job_id,
        outcome=state.outcome,
        detail=state.detail,
        answer=text,
        answer_base64=encoded,
        answer_size=size if answered else None,
        answer_href=href,
        retry_after=state.retry_after,
        nearest=state.nearest,
    )


def _as_text(data: bytes) -> str | None:
    try:
        return data.decode()
    except UnicodeDecodeError:
        return None
