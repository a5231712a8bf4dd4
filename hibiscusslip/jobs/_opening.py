"""Open a shard at a new owner once it is known what runs there."""

from hibiscusslip.jobs import _completion
from hibiscusslip.jobs import _state
from hibiscusslip.jobs import model
from hibiscusslip.model import work
from hibiscusslip.records import job as job_records
from hibiscusslip.records import zone as zone_records
from hibiscusslip.scheduler import base as scheduler_base


def try_open(st: _state.ShardState, now: float) -> None:
    """Open the shard once all endpoints are listed or old leases expired."""
    if st.open:
        return
    listed = all(
        view.contact == _state.Contact.LISTED for view in st.endpoints.values()
    )
    if not (listed and st.endpoints) and now < st.opens_at:
        return
    st.open = True
    for job in list(st.jobs.values()):
        _queue_remaining(st, job, now)


def _queue_remaining(
    st: _state.ShardState, job: model.Job, now: float
) -> None:
    """Queue the tasks of an accepted job that don't run anywhere.

    A task with a start intent may have run, so it is queued only if an
    earlier owner knew that it had no run. Otherwise query the other shards
    that the intent names; without any, its outcome is unknown.
    """
    if job.outcome.final:
        return
    if job.guest_of is not None:
        _drop_missing_tasks(st, job)
        return
    if job.spec.durable and not job.recorded:
        # The shard was transferred before the acceptance was on the log.
        st.write(make_acceptance_record(st, job))
        return
    waiting = [t for t in job.tasks.values() if t.phase == model.Phase.QUEUED]
    startable = []
    foreign_shards = job.places - {str(st.shard)}
    for task in waiting:
        if task.index not in job.intents or task.unstarted:
            startable.append(task)
        elif foreign_shards:
            task.phase = model.Phase.QUERYING
        else:
            mark_unknown(st, job, task, now)
    if not startable:
        return
    if len(startable) == job.spec.tasks:
        queue_job(st, job, now)
        return
    for task in startable:
        _completion.requeue(st, job, task, 0.0, now)


def _drop_missing_tasks(st: _state.ShardState, job: model.Job) -> None:
    """Drop offloaded tasks that run on no endpoint of this shard."""
    for task in list(job.tasks.values()):
        if task.phase == model.Phase.QUEUED:
            del job.tasks[task.index]
    if not job.tasks:
        del st.jobs[job.spec.job_id]


def make_acceptance_record(
    st: _state.ShardState, job: model.Job
) -> zone_records.JobAccepted:
    """Return the record of a job's acceptance."""
    return zone_records.JobAccepted(
        record_id=next(st.ids),
        shard=st.shard.number,
        epoch=st.epoch,
        job=job_records.encode_job(job.spec),
    )


def mark_unknown(
    st: _state.ShardState, job: model.Job, task: model.Task, now: float
) -> None:
    """Close a task that may have run under an earlier owner as unknown."""
    st.counters.unknown += 1
    detail = (
        'may have run: its start was recorded by a host that is gone;'
        ' check its effects before asking again'
    )
    _completion.close_task(st, job, task, work.Outcome.UNKNOWN, detail, now)


def queue_job(
    st: _state.ShardState, job: model.Job, now: float
) -> scheduler_base.Admission:
    """Submit a job to the scheduler; close it as not run if refused."""
    admission = st.scheduler.submit(job.spec, now)
    if isinstance(admission, scheduler_base.Refused):
        job.retry_after = admission.retry_after
        for task in job.open_tasks:
            _completion.close_task(
                st, job, task, work.Outcome.NOT_RUN, admission.detail, now
            )
    return admission
