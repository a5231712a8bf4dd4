"""Pass a shard's jobs from its owner to its successor."""

import msgspec

from hibiscusslip import codec
from hibiscusslip.jobs import model
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.records import job as job_records


class HandedTask(msgspec.Struct, frozen=True, omit_defaults=True):
    """Carry one task; `unstarted` tells that it surely never started."""

    index: int
    attempt: int
    outcome: str
    detail: str = ''
    answer: bytes = b''
    checkpoint: bytes = b''
    unstarted: bool = False
    place: str = ''


class HandedJob(msgspec.Struct, frozen=True, omit_defaults=True):
    """Carry one job with all that its caller may still ask for."""

    job: bytes
    tasks: list[HandedTask]
    outcome: str
    detail: str = ''
    recorded: bool = False
    cancelled: bool = False
    partial: bool = False
    intents: list[int] = []
    places: list[str] = []
    guest_of: str = ''


def pack(job: model.Job) -> bytes:
    """Return the travelling form of a job."""
    return codec.encode(
        HandedJob(
            job=job_records.encode_job(job.spec),
            tasks=[_pack_task(task) for task in job.tasks.values()],
            outcome=job.outcome.value,
            detail=job.detail,
            recorded=job.recorded,
            cancelled=job.cancelled,
            partial=job.partial,
            intents=sorted(job.intents),
            places=sorted(job.places),
            guest_of='' if job.guest_of is None else str(job.guest_of),
        )
    )


def _pack_task(task: model.Task) -> HandedTask:
    waiting = (model.Phase.QUEUED, model.Phase.INTENT)
    return HandedTask(
        task.index,
        task.attempt,
        task.outcome.value,
        task.detail,
        task.answer,
        task.checkpoint,
        task.phase in waiting,
        task.place if task.phase == model.Phase.REMOTE else '',
    )


def unpack(data: bytes, now: float) -> model.Job:
    """Return the job in `data` as its new owner starts with it.

    Tasks that may run are queued here; the listings of the endpoints tell
    which of them to adopt before anything starts. Raises codec.CodecError.
    """
    handed = codec.decode(data, HandedJob)
    spec = job_records.decode_job(handed.job)
    tasks = {task.index: _unpack_task(task) for task in handed.tasks}
    job = model.Job(
        spec,
        now,
        tasks,
        work.Outcome(handed.outcome),
        handed.detail,
        recorded=handed.recorded,
        cancelled=handed.cancelled,
        partial=handed.partial,
        guest_of=_shard(handed.guest_of),
        intents=frozenset(handed.intents),
        places=frozenset(handed.places),
    )
    if job.outcome.final:
        job.ended_at = now
    job.note('handed over by its owner', now)
    return job


def _shard(text: str) -> places.Shard | None:
    return places.parse_shard(text) if text else None


def _unpack_task(handed: HandedTask) -> model.Task:
    outcome = work.Outcome(handed.outcome)
    task = model.Task(handed.index, attempt=handed.attempt)
    task.checkpoint = handed.checkpoint
    task.unstarted = handed.unstarted
    if handed.place:
        task.place = handed.place
        task.phase = model.Phase.REMOTE
        task.outcome = work.Outcome.RUNNING
    if outcome.final:
        task.phase = model.Phase.ENDED
        task.outcome = outcome
        task.detail = handed.detail
        task.answer = handed.answer
    return task
