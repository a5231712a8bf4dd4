"""Encode jobs as records, and restore them from records.

Records are msgpack. A job's progress may be compressed with zlib, which former
releases don't read.
"""

import collections.abc
import math
import typing
import zlib

import msgspec

from hibiscusslip.dispatch import _occurrences
from hibiscusslip.dispatch import copy_records
from hibiscusslip.dispatch import delay_records
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import queue_records
from hibiscusslip.dispatch import run_records
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import usage

MAX_OCCURRENCES = 10_000  # of a job, which hosts accept
MAX_EXPANDED_BYTES = 16_000_000  # of a compressed record
COMPRESSION_LEVEL = 1
ZLIB_HEADER = 0x78  # no msgpack array begins with it


class Submission(msgspec.Struct, array_like=True):
    """The record of an accepted job, which is written once.

    `accepted` is a Unix time by the clock of the host that accepted it.
    `organisation` is the one that submitted the job, '' for none.
    `queue_row` has the settings of the queue under which it was accepted, None
    in records of former releases.
    """

    queue: str
    service: str
    accepted: float
    body: bytes
    organisation: str = ''
    queue_row: queue_records.QueueRow | None = None


class TaskRow(msgspec.Struct, array_like=True):
    """The progress of a task that was started at least once."""

    occurrence: int
    step: int
    index: int
    status: int
    run: int
    failures: int
    endpoint: str
    checkpoint: str


class StepRow(msgspec.Struct, array_like=True):
    """The progress that the members of a gang share."""

    occurrence: int
    step: int
    failures: int
    failed_run: int
    checkpoint: str


class EndpointRow(msgspec.Struct, array_like=True):
    """Where an endpoint with runs of the job is, and which incarnation."""

    name: str
    address: str
    born: float


class CrashRow(msgspec.Struct, array_like=True):
    """What is known of a task on which endpoints may have crashed."""

    occurrence: int
    step: int
    index: int
    total: int
    sole: int
    confirmed: int
    proven_run: int


class LossRow(msgspec.Struct, array_like=True):
    """A run on a silent endpoint, which may have crashed under it."""

    occurrence: int
    step: int
    index: int
    run: int
    endpoint: str
    address: str
    born: float


class InboxRow(msgspec.Struct, array_like=True):
    """Which records of the inbox are those of former jobs with this ID.

    `since` has an offset for each partition; records before it are void. If
    the ID is `retired`, the record's job is a former one, too.
    """

    since: list[int]
    retired: bool = False


class JobRow(msgspec.Struct, array_like=True):
    """The record of a job's progress.

    Of several records of a job the newest is the one with the highest
    `epoch`, then `number`. An owner numbers the records that it writes.
    `completed` are the first and last numbers of occurrences whose tasks are
    all done, and which have no other rows; former releases list some of these
    in `occurrences` and all their tasks. `runs` are only those of jobs that
    have an organisation. A `contested` job is that of `organisation`.
    """

    state: str
    tasks: list[TaskRow]
    steps: list[StepRow]
    occurrences: list[int] = []
    epoch: int = 0
    number: int = 0
    endpoints: list[EndpointRow] = []
    crashes: list[CrashRow] = []
    losses: list[LossRow] = []
    completed: list[tuple[int, int]] = []
    runs: list[run_records.RunRow] = []
    copies: list[copy_records.CopyRow] = []
    delays: list[delay_records.DelayRow] = []
    contested: bool = False
    organisation: str = ''
    inbox: InboxRow | None = None


class Unreadable(ValueError):
    """A record has another layout; callers log it and skip the record."""


def encode_submission(submission: Submission) -> bytes:
    """Return the record of an accepted job."""
    return msgspec.msgpack.encode(submission)


def decode_submission(data: bytes) -> Submission:
    """Decode the record of an accepted job; raises Unreadable."""
    submission: Submission = _decode(data, Submission)
    if not math.isfinite(submission.accepted):
        raise Unreadable('the time of acceptance is no number')
    row = submission.queue_row
    if row is not None and not queue_records.are_plausible(
        queue_records.numbers_of(row)
    ):
        raise Unreadable("the queue's settings are out of range")
    return submission


def encode_job(
    job: state.Job,
    epoch: int = 0,
    number: int = 0,
    *,
    compact: bool = False,
    compressed: bool = False,
    counted: collections.abc.Iterable[usage.CountedRun] = (),
    now: float,
) -> bytes:
    """Return the record of a job's progress.

    `now` is the owner's monotonic time, from which the rest of each delay is
    counted. For a final job it contains no steps, and only those tasks whose
    runs are `counted` for the limit of its organisation; none if it is
    `compact`. That of another job lacks the tasks' checkpoints then.
    """
    runs = [] if compact and job.state.final else list(counted)
    row = JobRow(
        job.state.value,
        [],
        [],
        [],
        epoch,
        number,
        contested=job.contested,
        organisation=job.organisation if job.contested else '',
        inbox=InboxRow(list(job.inbox_since)) if job.inbox_since else None,
    )
    if job.state.final:
        current = [run.task for run in runs if run.is_current]
        row.occurrences = sorted({task.step.occurrence for task in current})
        row.tasks = [_task_row(task) for task in current]
        row.endpoints = list(_endpoint_rows(current).values())
    else:
        row.occurrences = list(job.occurrences)
        row.completed = _occurrences.completed_ranges(job)
        _add_steps(row, [s for s in job.steps() if s.has_progress()], now)
        if compact:
            for task_row in row.tasks:
                task_row.checkpoint = ''
    row.runs = run_records.encode(runs, row.copies)
    data = msgspec.msgpack.encode(row)
    return zlib.compress(data, COMPRESSION_LEVEL) if compressed else data


def _add_steps(row: JobRow, steps: list[state.StepState], now: float) -> None:
    """Add the rows of steps to a record."""
    endpoints: dict[str, EndpointRow] = {}
    for step in steps:
        row.tasks.extend(_task_rows(step))
        row.steps.extend(_step_rows(step))
        row.crashes.extend(_crash_rows(step))
        row.losses.extend(_loss_rows(step))
        row.copies.extend(copy_records.encode(step))
        row.delays.extend(delay_records.encode(step, now))
        endpoints.update(_endpoint_rows(step.tasks))
    row.endpoints = list(endpoints.values())


def _task_rows(step: state.StepState) -> list[TaskRow]:
    return [_task_row(task) for task in step.tasks if task.run]


def _task_row(task: state.Task) -> TaskRow:
    return TaskRow(
        task.step.occurrence,
        task.step.number,
        task.index,
        int(task.status),
        task.run,
        task.failures,
        task.endpoint,
        task.checkpoint,
    )


def _endpoint_rows(
    tasks: collections.abc.Iterable[state.Task],
) -> dict[str, EndpointRow]:
    return {
        task.endpoint: EndpointRow(task.endpoint, task.address, task.born)
        for task in tasks
        if task.status.placed
    }


def _step_rows(step: state.StepState) -> list[StepRow]:
    if not step.failures and not step.checkpoint:
        return []
    row = StepRow(
        step.occurrence,
        step.number,
        step.failures,
        step.failed_run,
        step.checkpoint,
    )
    return [row]


def _crash_rows(step: state.StepState) -> list[CrashRow]:
    return [
        CrashRow(
            step.occurrence,
            step.number,
            task.index,
            task.crashes.total,
            task.crashes.sole,
            task.crashes.confirmed,
            task.proven_run,
        )
        for task in step.tasks
        if task.on_trial
    ]


def _loss_rows(step: state.StepState) -> list[LossRow]:
    return [
        LossRow(
            step.occurrence,
            step.number,
            task.index,
            loss.run,
            loss.endpoint,
            loss.address,
            loss.born,
        )
        for task in step.tasks
        for loss in task.unexplained
    ]


def decode_job(data: bytes) -> JobRow:
    """Decode the record of a job's progress; raises Unreadable."""
    if data[:1] == bytes([ZLIB_HEADER]):
        data = _expand(data)
    row: JobRow = _decode(data, JobRow)
    if any(last - first >= MAX_OCCURRENCES for first, last in row.completed):
        raise Unreadable('a range of occurrences is too long')
    starts = [place.born for place in row.endpoints]
    starts += [place.born for place in row.losses]
    starts += [place.born for place in row.runs]
    if not all(math.isfinite(start) for start in starts):
        raise Unreadable('the start of an endpoint is no number')
    return row


def _expand(data: bytes) -> bytes:
    """Return what was compressed; raises Unreadable."""
    decompressor = zlib.decompressobj()
    try:
        expanded = decompressor.decompress(data, MAX_EXPANDED_BYTES)
    except zlib.error as exc:
        raise Unreadable(f"the record can't be expanded: {exc}") from exc
    if not decompressor.eof:
        raise Unreadable('the record is cut off, or too large when expanded')
    return expanded


def newest_of(values: list[bytes]) -> bytes:
    """Return the newest of a job's progress records; raises Unreadable."""
    if len(values) == 1:
        return values[0]
    return max(values, key=_version)


def _version(value: bytes) -> tuple[int, int]:
    row = decode_job(value)
    return row.epoch, row.number


def restore(job: state.Job, row: JobRow) -> None:
    """Apply a progress record to a job.

    The job has the open occurrences of the record already.
    """
    job.state = model.JobState(row.state)
    job.durable_state = job.state
    job.contested = job.contested or row.contested
    if row.inbox is not None:
        job.inbox_since = tuple(row.inbox.since)
    job.has_started = job.has_started or bool(row.completed)
    for step_row in row.steps:
        step = job.occurrences[step_row.occurrence][step_row.step]
        step.failures = step_row.failures
        step.failed_run = step_row.failed_run
        step.checkpoint = step_row.checkpoint
    endpoints = {endpoint.name: endpoint for endpoint in row.endpoints}
    for task_row in row.tasks:
        step = job.occurrences[task_row.occurrence][task_row.step]
        _restore_task(step, task_row, endpoints.get(task_row.endpoint))
        job.has_started = True
    for crash_row in row.crashes:
        step = job.occurrences[crash_row.occurrence][crash_row.step]
        task = step.tasks[crash_row.index]
        task.crashes = state.Crashes(
            crash_row.total, crash_row.sole, crash_row.confirmed
        )
        task.proven_run = crash_row.proven_run
    for copy_row in row.copies:
        copy_records.restore(job, copy_row)
    for loss_row in row.losses:
        step = job.occurrences[loss_row.occurrence][loss_row.step]
        loss = state.UnexplainedLoss(
            loss_row.run, loss_row.endpoint, loss_row.address, loss_row.born
        )
        step.tasks[loss_row.index].unexplained += (loss,)


def _restore_task(
    step: state.StepState, row: TaskRow, endpoint: EndpointRow | None
) -> None:
    task = step.tasks[row.index]
    task.status = state.Status(row.status)
    task.run = row.run
    task.failures = row.failures
    task.endpoint = row.endpoint
    task.checkpoint = row.checkpoint
    if endpoint is not None:
        task.address = endpoint.address
        task.born = endpoint.born
    if task.status is state.Status.DONE:
        step.note_done()


def _decode(data: bytes, kind: typing.Any) -> typing.Any:
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise Unreadable(
            f'the record has another layout: {exc}; run the same release on'
            ' all hosts'
        ) from exc
