"""Accept the requests of callers, or reject them."""

from hibiscusslip.jobs import _completion
from hibiscusslip.jobs import _opening
from hibiscusslip.jobs import _state
from hibiscusslip.jobs import exceptions
from hibiscusslip.jobs import model
from hibiscusslip.model import work
from hibiscusslip.scheduler import base as scheduler_base

NOT_READY_RETRY_AFTER_S = 1.0
FULL_RETRY_AFTER_S = 5.0
LOG_DOWN_RETRY_AFTER_S = 5.0


def submit(st: _state.ShardState, spec: work.JobSpec, now: float) -> model.Job:
    """Accept a job and return it; the same id returns the same job.

    Raise jobs.exceptions.JobError if the shard rejects the request; it has
    no effect then.
    """
    known = _find_known(st, spec.job_id)
    if known is not None and not known.partial:
        if not model.same_request(known, spec):
            raise exceptions.KeyReused(spec.job_id)
        return known
    if not st.open:
        raise exceptions.ShardNotReady(NOT_READY_RETRY_AFTER_S)
    if known is not None:
        return _complete_job(st, known, spec, now)
    if len(st.jobs) >= st.cfg.max_jobs:
        raise exceptions.TooManyJobs(FULL_RETRY_AFTER_S)
    needs_log = spec.durable or not spec.repeatable
    if needs_log and not st.log_up:
        raise exceptions.LogNeeded(LOG_DOWN_RETRY_AFTER_S)
    return _accept(st, spec, now)


def _find_known(st: _state.ShardState, job_id: str) -> model.Job | None:
    """Return a known job, None if there is none.

    Drop one that was not run, so that it can be requested again, unless it
    was cancelled or its outcome is not reported yet.
    """
    job = st.jobs.get(job_id)
    if job is None or job.outcome != work.Outcome.NOT_RUN:
        return job
    if job.cancelled or job_id in st.delayed_reports:
        return job
    del st.jobs[job_id]
    return None


def _accept(
    st: _state.ShardState, spec: work.JobSpec, now: float
) -> model.Job:
    """Queue a new job; a durable one once its record is confirmed."""
    job = model.new_job(spec, now)
    job.note('accepted', now)
    if spec.durable:
        st.jobs[spec.job_id] = job
        st.write(_opening.make_acceptance_record(st, job))
        return job
    admission = st.scheduler.submit(spec, now)
    if isinstance(admission, scheduler_base.Refused):
        raise exceptions.NotAdmitted(
            admission.reason.value,
            admission.detail,
            admission.retry_after,
            str(admission.nearest or ''),
        )
    st.retry_budget.deposit()
    st.jobs[spec.job_id] = job
    return job


def _complete_job(
    st: _state.ShardState, job: model.Job, spec: work.JobSpec, now: float
) -> model.Job:
    """Complete a partially known job with its specification.

    Queue the tasks that were not found; one with a start intent may have
    run, so that its outcome is unknown.
    """
    job.spec = spec
    job.partial = False
    missing = [i for i in range(spec.tasks) if i not in job.tasks]
    for index in missing:
        task = model.Task(index)
        job.tasks[index] = task
        if index in job.intents:
            _opening.mark_unknown(st, job, task, now)
        else:
            _completion.requeue(st, job, task, 0.0, now)
    return job
