"""Rebuild the owner's state from the store after a failover or restart."""

import collections
import contextlib
import dataclasses

import curio

from hibiscusslip.dispatch import crashes
from hibiscusslip.dispatch import delay_records
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import retirement as retirement_records
from hibiscusslip.dispatch import run_records
from hibiscusslip.dispatch import state
from hibiscusslip.host import cancellations
from hibiscusslip.host import context
from hibiscusslip.host import inbox_positions
from hibiscusslip.host import inbox_snapshot
from hibiscusslip.host import inherited_leases
from hibiscusslip.host import lease_timing
from hibiscusslip.host import record_errors
from hibiscusslip.host import slices
from hibiscusslip.host import submissions
from hibiscusslip.host import topics
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

READ_TIMEOUT_S = 2.5
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


class PartitionReader:
    """Read the newest records of partitions, each of them once.

    Partitions that were read are retained when another one fails, so that
    the next attempt reads only what is missing. Records that are written
    after a partition was read are found by tailing it from its end.
    """

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._read: dict[tuple[str, int], store.NewestValues] = {}

    async def read(self, topic: str, parts: int) -> list[store.NewestValues]:
        """Return the newest records of each partition, read concurrently.

        Raises PlatformError if one of them can't be read.
        """
        missing = [p for p in range(parts) if (topic, p) not in self._read]
        async with curio.TaskGroup() as group:
            tasks = {
                part: await group.spawn(self._try_read, topic, part)
                for part in missing
            }
        errors = [task.result for task in tasks.values() if task.result]
        if errors:
            raise errors[0]
        return [self._read[topic, part] for part in range(parts)]

    async def _try_read(
        self, topic: str, part: int
    ) -> exceptions.PlatformError | None:
        """Read a partition; return the error if that fails.

        A raised error would cancel the other reads of the task group, and
        their cancellation would end the host.
        """
        try:
            newest = await self._ctx.store.newest(topic, READ_TIMEOUT_S, part)
        except exceptions.PlatformError as exc:
            return exc
        self._read[topic, part] = newest
        return None


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
    await _submit_all(
        ctx, submits, engine, snapshot.submissions, live_progress, now
    )
    await restore_all(ctx, engine, live_progress, now)
    _note_inherited(ctx, engine, now)
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


async def _submit_all(
    ctx: context.Context,
    submits: submissions.Submissions,
    engine: engines.Engine,
    rows: list[tuple[str, bytes]],
    progress: dict[str, bytes],
    now: float,
) -> None:
    """Submit all jobs, with organisations in the order of acceptance.

    The former owner read all partitions at the same time; one after the
    other, most jobs of all but the first would be beyond the entitlement.
    """
    wall_time = context.wall_time()
    contested = _contested_rows(rows, progress)
    config = engine.config
    if contested or (config is not None and config.organisations is not None):
        rows.sort(
            key=lambda row: (contested.get(row, False), _accepted(row[1]))
        )
    work = slices.Slices()
    for key, value in rows:
        await work.pause_if_due()
        with record_errors.leaving_out(ctx, topics.INBOX, None, None, key):
            submits.apply(engine, key, value, now, wall_time)


def _contested_rows(
    rows: list[tuple[str, bytes]], progress: dict[str, bytes]
) -> dict[tuple[str, bytes], bool]:
    """Return the submissions of IDs that several organisations submitted.

    The value is True if a former owner has ignored that submission. Keys don't
    tell: in former releases all organisations used the same one.
    """
    counts = collections.Counter(topics.submitted_job(key) for key, _ in rows)
    submitters: dict[str, dict[tuple[str, bytes], str]] = {}
    for key, value in rows:
        job_id = topics.submitted_job(key)
        if counts[job_id] > 1:
            with contextlib.suppress(records.Unreadable):
                organisation = records.decode_submission(value).organisation
                submitters.setdefault(job_id, {})[key, value] = organisation
    contested = {}
    for job_id, organisations in submitters.items():
        if len(set(organisations.values())) == 1:
            continue
        contested.update(dict.fromkeys(organisations, False))
        with contextlib.suppress(KeyError, records.Unreadable):
            job = records.decode_job(progress[job_id])
            if job.contested:
                for row, organisation in organisations.items():
                    contested[row] = organisation != job.organisation
    return contested


def _accepted(value: bytes) -> float:
    """Return when the job of an inbox record was accepted, 0 if unknown."""
    try:
        return records.decode_submission(value).accepted
    except records.Unreadable:
        return 0.0


async def restore_all(
    ctx: context.Context,
    engine: engines.Engine,
    progress: dict[str, bytes],
    now: float,
) -> None:
    """Apply the progress records of the jobs that the engine has."""
    other_runs: list[tuple[state.Job, list[run_records.RunRow]]] = []
    work = slices.Slices()
    for job_id, value in progress.items():
        await work.pause_if_due()
        job = engine.jobs.get(job_id)
        if job is None:
            continue
        try:
            row = records.decode_job(value)
            engine.restore_occurrences(job, row, now)
            records.restore(job, row)
            delay_records.restore(job, row.delays, now)
            _restore_allocations(ctx, engine, job, now)
        except Exception as exc:
            _set_aside(ctx, job, exc)
            continue
        other_runs.append((job, row.runs))
    for job, rows in other_runs:
        try:
            _restore_other_runs(ctx, engine, job, rows, now)
        except Exception as exc:
            _set_aside(ctx, job, exc)


def _set_aside(ctx: context.Context, job: state.Job, exc: Exception) -> None:
    """Have no task of a job started whose progress couldn't be restored."""
    job.progress_unknown = True
    job.has_started = True
    ctx.metrics.count('records_left_out', topic=topics.JOBS)
    ctx.log.note('progress_unreadable', job=job.job_id, error=repr(exc)[:200])


def _restore_allocations(
    ctx: context.Context, engine: engines.Engine, job: state.Job, now: float
) -> None:
    """Allocate for runs that may be active, until a poll shows whether."""
    if job.state.final:
        job.final_at = now
        engine.periodic_jobs.pop(job.job_id, None)
    for step in job.steps():
        if job.state.final or step.complete:
            engine.active_steps.pop(step.name, None)
        for task in step.tasks:
            if task.status.placed:
                endpoint = _find_or_add(
                    engine, task.endpoint, task.address, task.born
                )
                _allocate(ctx, endpoint, task, task.run, now)
            if task.second is not None:
                second = task.second
                endpoint = _find_or_add(
                    engine, second.endpoint, second.address, second.born
                )
                _allocate(ctx, endpoint, task, second.run, now)
            for loss in task.unexplained:
                endpoint = _find_or_add(
                    engine, loss.endpoint, loss.address, loss.born
                )
                crashes.restore_lapsed(endpoint, task, loss.run, now)


def _restore_other_runs(
    ctx: context.Context,
    engine: engines.Engine,
    job: state.Job,
    rows: list[run_records.RunRow],
    now: float,
) -> None:
    """Allocate for runs beside those that the tasks of a job name.

    Their starts may still be carried out, after a restart of the endpoint on
    its new clock, and extend the leases of all its runs. The leases that the
    former owner told of don't include that, so this is called once the
    endpoints have the leases of all other runs.
    """
    longest = lease_timing.longest_inherited(ctx.cfg.bounds.max_lease)
    for row in rows:
        task = engine.find_task(job, row.occurrence, row.step, row.index)
        endpoint = _find_or_add(engine, row.endpoint, row.address, row.born)
        endpoint.inherited_leases_until = now + longest
        endpoint.lease_evidence = inherited_leases.Evidence.LATE_START
        _add_allocation(endpoint, task, row.run, now)


def _find_or_add(
    engine: engines.Engine, name: str, address: str, born: float
) -> state.Endpoint:
    """Return an endpoint of a record, listed by the platform or not."""
    endpoint = engine.endpoints.get(name)
    if endpoint is None:
        endpoint = engine.add_endpoint(name)
    endpoint.address = endpoint.address or address
    endpoint.born = max(endpoint.born, born)
    return endpoint


def _allocate(
    ctx: context.Context,
    endpoint: state.Endpoint,
    task: state.Task,
    run: int,
    now: float,
) -> None:
    _inherit_leases(ctx, endpoint, now)
    _add_allocation(endpoint, task, run, now)


def _note_inherited(
    ctx: context.Context, engine: engines.Engine, now: float
) -> None:
    """Log until when runs of silent endpoints are held, and why."""
    ends: dict[str, list[float]] = {}
    for endpoint in engine.endpoints.values():
        if endpoint.allocations:
            end = endpoint.inherited_leases_until
            ends.setdefault(endpoint.lease_evidence, []).append(end)
    for evidence, found in ends.items():
        ctx.metrics.gauge(
            'inherited_leases_s', max(found) - now, evidence=evidence
        )
        ctx.log.note(
            'leases_inherited',
            endpoints=len(found),
            until_ms=int((max(found) - now) * 1000),
            evidence=evidence,
        )


def shorten_waits(ctx: context.Context, engine: engines.Engine) -> None:
    """Expect no lease of a former owner after what is known to be the end.

    Late starts may still extend the leases of an endpoint beyond that.
    """
    bound = ctx.ownership.inherited
    assert bound is not None
    for endpoint in engine.endpoints.values():
        if endpoint.lease_evidence == inherited_leases.Evidence.LATE_START:
            continue
        if bound.until < endpoint.inherited_leases_until:
            endpoint.inherited_leases_until = bound.until
            endpoint.lease_evidence = bound.evidence


def _inherit_leases(
    ctx: context.Context, endpoint: state.Endpoint, now: float
) -> None:
    """Set until when former owners may have extended leases."""
    own = ctx.ownership
    told_end = own.leases_end.get(endpoint.name)
    if told_end is not None:
        endpoint.inherited_leases_until = told_end + lease_timing.SLACK_S
        endpoint.lease_evidence = inherited_leases.Evidence.NAMED
        return
    longest = lease_timing.longest_inherited(own.max_lease)
    bound = own.inherited or inherited_leases.Bound(
        now + longest, inherited_leases.Evidence.NO_RECORD
    )
    bound = inherited_leases.with_starts(bound, now)
    endpoint.inherited_leases_until = bound.until
    endpoint.lease_evidence = bound.evidence


def _add_allocation(
    endpoint: state.Endpoint, task: state.Task, run: int, now: float
) -> None:
    demand = task.step.spec.allocated_demand
    allocation = state.Allocation(task, run, demand, now, recovered=True)
    endpoint.allocate(task.name, allocation)


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
