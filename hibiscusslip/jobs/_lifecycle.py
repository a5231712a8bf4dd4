"""Queue recorded jobs, report delayed outcomes, evict finished jobs."""

from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import _completion
from hibiscusslip.jobs import _opening
from hibiscusslip.jobs import _state
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import model
from hibiscusslip.model import work
from hibiscusslip.records import job as job_records
from hibiscusslip.records import zone as zone_records

Phase = model.Phase


def handle_acceptance_confirmed(
    st: _state.ShardState, record: zone_records.JobAccepted, now: float
) -> None:
    """Queue a job whose acceptance is on the log."""
    job = st.jobs.get(job_records.decode_job(record.job).job_id)
    if job is None or job.recorded:
        return
    job.recorded = True
    job.note('recorded', now)
    st.pending.append(commands.JobRecorded(job.spec.job_id))
    if job.cancelled:
        for task in job.open_tasks:
            _completion.close_task(
                st, job, task, work.Outcome.NOT_RUN, 'cancelled', now
            )
        return
    st.retry_budget.deposit()
    _opening.queue_job(st, job, now)


def handle_acceptance_failed(
    st: _state.ShardState, record: zone_records.JobAccepted, now: float
) -> None:
    """Close a job that could not be recorded as not run."""
    job = st.jobs.get(job_records.decode_job(record.job).job_id)
    if job is None or job.recorded:
        return
    job.retry_after = 1.0
    detail = 'the request could not be recorded; ask again'
    for task in job.open_tasks:
        _completion.close_task(
            st, job, task, work.Outcome.NOT_RUN, detail, now
        )


def handle_fetched_answer(
    st: _state.ShardState,
    name: str,
    attempt: int,
    answer: bytes | None,
    now: float,
) -> None:
    """Finish a run whose large answer was fetched.

    None means that the answer is lost; then the run counts as lost.
    """
    match = st.find(name)
    if match is None:
        return
    job, task = match
    if task.phase != Phase.FETCHING or task.attempt != attempt:
        st.counters.late_answers += 1
        return
    if answer is None:
        _completion.handle_run_lost(st, job, task, 'its answer is gone', now)
        return
    run = endpoint_base.Run(
        name,
        attempt,
        endpoint_base.RunState.SUCCEEDED,
        job.spec.demand,
        b'',
        answer,
    )
    _completion.finish_run(st, job, task, run, now)


def report_overdue_outcomes(st: _state.ShardState, now: float) -> None:
    """Report outcomes whose record is not on the log in time."""
    for job_id, due in list(st.delayed_reports.items()):
        if now >= due:
            _completion.report_delayed_outcome(st, job_id)


def retry_unwritten(st: _state.ShardState) -> None:
    """Write final outcomes again that were refused by the log."""
    if not st.log_up:
        return
    for record in st.unwritten:
        st.write(record)
    st.unwritten.clear()


def evict_finished(st: _state.ShardState, now: float) -> None:
    """Evict finished jobs that are old, too many or too large.

    Pinned ones stay, as do recently finished ones and those whose outcome
    is not reported yet.
    """
    st.pinned_skipped = 0
    while st.finished:
        job = st.jobs.get(st.finished[0])
        if job is None or job.ended_at is None:
            st.finished.popleft()
            continue
        old = now - job.ended_at > st.cfg.max_retention
        many = len(st.finished) > st.cfg.max_finished
        large = st.finished_bytes > st.cfg.max_finished_bytes
        fresh = now - job.ended_at < st.cfg.min_retention
        waiting = job.spec.job_id in st.delayed_reports
        if fresh or waiting or not (old or many or large):
            return
        if job.spec.job_id in st.pinned:
            st.finished.rotate(-1)
            st.pinned_skipped += 1
            if st.pinned_skipped > len(st.pinned):
                return
            continue
        st.finished.popleft()
        st.finished_bytes -= sum(len(t.answer) for t in job.tasks.values())
        del st.jobs[job.spec.job_id]
