"""Allocate for recorded runs, and decide until when they are held."""

from hibiscusslip.dispatch import crashes
from hibiscusslip.dispatch import delay_records
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import run_records
from hibiscusslip.dispatch import state
from hibiscusslip.host import context
from hibiscusslip.host import inherited_leases
from hibiscusslip.host import lease_timing
from hibiscusslip.host import slices
from hibiscusslip.host import topics


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


def note_inherited(
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
