"""Rebuild the owner's state from the store after a failover or restart."""

import dataclasses

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import retirement as retirement_records
from hibiscusslip.dispatch import state
from hibiscusslip.host import _partition_reader
from hibiscusslip.host import _run_restoration
from hibiscusslip.host import _submission_replay
from hibiscusslip.host import cancellations
from hibiscusslip.host import context
from hibiscusslip.host import inbox_positions
from hibiscusslip.host import inbox_snapshot
from hibiscusslip.host import record_errors
from hibiscusslip.host import slices
from hibiscusslip.host import submissions
from hibiscusslip.host import topics
from hibiscusslip.platform import store

READ_TIMEOUT_S = _partition_reader.READ_TIMEOUT_S
PartitionReader = _partition_reader.PartitionReader
restore_all = _run_restoration.restore_all
shorten_waits = _run_restoration.shorten_waits
UNREADABLE = b''  # in place of a record that can't be read


@dataclasses.dataclass(frozen=True, slots=True)
class Recovered:
    """Hold what the owner needs to continue from the recovered records.

    `inbox_offsets`, one for each partition of the inbox, and
    `endpoints_offset` are where reading continues; the endpoints were read at
    `endpoints_read_at`. `positions` are those of all records of the inbox,
    `retired_since` the offsets before which those of a known job are void.
    `orphans` are jobs with progress but no submission, `used_parts` the
    partitions that hold progress.
    """

    inbox_offsets: list[int]
    endpoints_offset: int
    endpoints_read_at: float
    positions: inbox_positions.InboxPositions
    retired_since: dict[str, tuple[int, ...]]
    orphans: dict[str, retirement_records.Retirement]
    used_parts: list[int]


async def recover(
    ctx: context.Context,
    engine: engines.Engine,
    reader: PartitionReader,
    submits: submissions.Submissions,
    cancels: cancellations.Cancellations,
) -> Recovered:
    """Read all records into a new engine; raises PlatformError."""
    parts = await reader.read(topics.JOBS, topics.JOBS_PARTS)
    progress = await _merge_progress(parts)
    inboxes = await reader.read(topics.INBOX, ctx.cfg.partitions)
    endpoints_read_at = context.monotonic()
    listed = await ctx.store.newest(store.ENDPOINTS_TOPIC, READ_TIMEOUT_S)
    now = context.monotonic()
    _register_endpoints(ctx, engine, listed, now)
    inbox_rows = await inbox_snapshot.read_inbox_rows(progress)
    snapshot = inbox_snapshot.make_snapshot(
        inboxes, {i: tuple(row.since) for i, row in inbox_rows.items()}
    )
    retired = {i for i, row in inbox_rows.items() if row.retired}
    live_progress = {i: progress[i] for i in progress if i not in retired}
    await _submission_replay.submit_all(
        ctx, submits, engine, snapshot.submissions, live_progress, now
    )
    await restore_all(ctx, engine, live_progress, now)
    _run_restoration.note_inherited(ctx, engine, now)
    _replace_retirements(engine, retired, snapshot.retired_since)
    for key, value in snapshot.cancellations:
        job_id = topics.cancelled_job(key)
        if job_id in engine.jobs or job_id not in live_progress:
            with record_errors.leaving_out(ctx, topics.INBOX, None, None, key):
                cancels.apply(engine, key, value, now)
    ctx.log.note(
        'state_recovered',
        jobs=len(engine.jobs),
        endpoints=len(engine.endpoints),
        placed=sum(len(e.allocations) for e in engine.endpoints.values()),
    )
    inbox_offsets = [inbox.end for inbox in inboxes]
    since = snapshot.retired_since
    return Recovered(
        inbox_offsets=inbox_offsets,
        endpoints_offset=listed.end,
        endpoints_read_at=endpoints_read_at,
        positions=snapshot.positions,
        retired_since={i: since[i] for i in since if i in engine.jobs},
        orphans=_find_orphans(
            snapshot.submissions, progress, since, tuple(inbox_offsets)
        ),
        used_parts=[p for p, newest in enumerate(parts) if newest.values],
    )


def _register_endpoints(
    ctx: context.Context,
    engine: engines.Engine,
    listed: store.NewestValues,
    now: float,
) -> None:
    topic = store.ENDPOINTS_TOPIC
    for name, value in listed.values.items():
        offset = listed.offsets.get(name)
        with record_errors.leaving_out(ctx, topic, 0, offset, name):
            entry = record_errors.read_entry(ctx, name, value)
            if entry is not None:
                engine.register_endpoint(entry, now)


def _find_orphans(
    submitted: list[tuple[str, bytes]],
    progress: dict[str, bytes],
    retired_since: dict[str, tuple[int, ...]],
    inbox_ends: tuple[int, ...],
) -> dict[str, retirement_records.Retirement]:
    """Return the retirements of jobs with progress but no submission.

    One that a former owner has written keeps its offsets. A submission that
    can't be read is one, too.
    """
    known = {topics.submitted_job(key) for key, _ in submitted}
    return {
        job_id: retirement_records.Retirement(
            retirement_records.find_state(value),
            retired_since.get(job_id, inbox_ends),
        )
        for job_id, value in progress.items()
        if job_id not in known
    }


async def _merge_progress(
    parts: list[store.NewestValues],
) -> dict[str, bytes]:
    """Return the newest record of each job over all partitions."""
    values_by_job: dict[str, list[bytes]] = {}
    for part in parts:
        for job_id, value in part.values.items():
            if value:
                values_by_job.setdefault(job_id, []).append(value)
    merged = {}
    work = slices.Slices()
    for job_id, values in values_by_job.items():
        await work.pause_if_due()
        try:
            merged[job_id] = records.newest_of(values)
        except records.Unreadable:
            merged[job_id] = UNREADABLE  # it may be the newest
    return merged


def _replace_retirements(
    engine: engines.Engine,
    retired: set[str],
    retired_since: dict[str, tuple[int, ...]],
) -> None:
    """Have records written of jobs that were submitted after a retirement."""
    for job_id in retired & engine.jobs.keys():
        engine.jobs[job_id].inbox_since = retired_since[job_id]
        engine.dirty.add(job_id)


def visible_state(job: state.Job) -> model.JobState:
    """Return the state of a job that callers see."""
    if job.durable_state.final:
        return job.durable_state
    if job.has_started:
        return model.JobState.RUNNING
    return model.JobState.QUEUED
