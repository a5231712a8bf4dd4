"""Encode a shard's jobs for the transfer to its next owner."""

import msgspec

from hibiscusslip import codec
from hibiscusslip.jobs import model
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.records import job as job_records


class PackedTask(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent a task; `unstarted` is set if it provably has no run."""

    index: int
    attempt: int
    outcome: str
    detail: str = ''
    answer: bytes = b''
    checkpoint: bytes = b''
    unstarted: bool = False
    place: str = ''
    crashes: int = 0


class PackedJob(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent a job with all that its caller may still ask for."""

    job: bytes
    tasks: list[PackedTask]
    outcome: str
    detail: str = ''
    recorded: bool = False
    cancelled: bool = False
    partial: bool = False
    intents: list[int] = []
    places: list[str] = []
    guest_of: str = ''


def pack(job: model.Job) -> bytes:
    """Return an encoded job."""
    return codec.encode(
        PackedJob(
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


def _pack_task(task: model.Task) -> PackedTask:
    waiting = (model.Phase.QUEUED, model.Phase.INTENT)
    return PackedTask(
        task.index,
        task.attempt,
        task.outcome.value,
        task.detail,
        task.answer,
        task.checkpoint,
        task.phase in waiting,
        task.place if task.phase == model.Phase.REMOTE else '',
        task.crashes,
    )


def unpack(data: bytes, now: float) -> model.Job:
    """Return the job in `data` in the initial state at its new owner.

    Tasks that may run are queued: before anything starts, the runs listed by
    the endpoints show which tasks to adopt. Raise codec.CodecError.
    """
    packed = codec.decode(data, PackedJob)
    spec = job_records.decode_job(packed.job)
    tasks = {task.index: _unpack_task(task) for task in packed.tasks}
    job = model.Job(
        spec,
        now,
        tasks,
        work.Outcome(packed.outcome),
        packed.detail,
        recorded=packed.recorded,
        cancelled=packed.cancelled,
        partial=packed.partial,
        guest_of=_parse_home(packed.guest_of),
        intents=frozenset(packed.intents),
        places=frozenset(packed.places),
    )
    if job.outcome.final:
        job.ended_at = now
    job.note('handed over by its owner', now)
    return job


def _parse_home(text: str) -> places.Shard | None:
    return places.parse_shard(text) if text else None


def _unpack_task(packed: PackedTask) -> model.Task:
    outcome = work.Outcome(packed.outcome)
    task = model.Task(packed.index, attempt=packed.attempt)
    task.checkpoint = packed.checkpoint
    task.unstarted = packed.unstarted
    task.crashes = packed.crashes
    if packed.place:
        task.place = packed.place
        task.phase = model.Phase.REMOTE
        task.outcome = work.Outcome.RUNNING
    if outcome.final:
        task.phase = model.Phase.ENDED
        task.outcome = outcome
        task.detail = packed.detail
        task.answer = packed.answer
    return task
