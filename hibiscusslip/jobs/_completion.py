"""Apply the end of runs to tasks, and the end of tasks to jobs."""

from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import _crashes
from hibiscusslip.jobs import _state
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import model
from hibiscusslip.model import work
from hibiscusslip.records import zone as zone_records
from hibiscusslip.scheduler import base as scheduler_base

RunOutcome = scheduler_base.RunOutcome
RunState = endpoint_base.RunState
RemoteState = commands.RemoteState

# The end of an offloaded task: as reported to its home, to the scheduler and
# as the outcome of the task.
_REMOTE_STATES = {
    RunState.SUCCEEDED: RemoteState.SUCCEEDED,
    RunState.FAILED: RemoteState.FAILED,
    RunState.STOPPED: RemoteState.STOPPED,
    RunState.LAPSED: RemoteState.LOST,
}
_RUN_OUTCOMES = {
    RemoteState.SUCCEEDED: RunOutcome.SUCCEEDED,
    RemoteState.FAILED: RunOutcome.FAILED,
    RemoteState.STOPPED: RunOutcome.STOPPED,
    RemoteState.LOST: RunOutcome.ENDPOINT_LOST,
    RemoteState.NOT_STARTED: RunOutcome.NOT_STARTED,
}
_TASK_OUTCOMES = {
    RemoteState.SUCCEEDED: work.Outcome.SUCCEEDED,
    RemoteState.NOT_STARTED: work.Outcome.NOT_RUN,
}


def handle_run_ended(
    st: _state.ShardState,
    endpoint: str,
    run: endpoint_base.Run,
    now: float,
) -> None:
    """Handle an ended run that an endpoint reports; ignore a stale one.

    If the answer is too large for the report, fetch it first.
    """
    match = st.find(run.task)
    if match is None:
        st.counters.late_answers += 1
        return
    job, task = match
    stale = task.attempt != run.attempt or task.endpoint != endpoint
    if stale or task.phase in (model.Phase.ENDED, model.Phase.QUEUED):
        st.counters.late_answers += 1
        return
    task.started = True
    large = run.state == RunState.SUCCEEDED and run.answer is None
    if large and run.answer_size:
        task.phase = model.Phase.FETCHING
        st.pending.append(
            commands.FetchAnswer(endpoint, run.task, run.attempt)
        )
        return
    finish_run(st, job, task, run, now)


def finish_run(
    st: _state.ShardState,
    job: model.Job,
    task: model.Task,
    run: endpoint_base.Run,
    now: float,
) -> None:
    """Apply the end of a run: finish, retry or restart its task."""
    job.note(f'task {task.index} {run.state} on {task.endpoint}', now)
    if run.state == RunState.SUCCEEDED:
        task.answer = run.answer or b''
    if job.guest_of is not None:
        finish_offloaded_task(
            st, job, task, _REMOTE_STATES[run.state], run.detail, now
        )
        return
    if job.spec.form == work.Form.SERVICE and not job.cancelled:
        _restart_service(st, job, task, run.state, now)
        return
    if run.state == RunState.SUCCEEDED:
        _release_resources(st, job, task, RunOutcome.SUCCEEDED, now)
        close_task(st, job, task, work.Outcome.SUCCEEDED, '', now)
        return
    if run.state == RunState.FAILED:
        _release_resources(st, job, task, RunOutcome.FAILED, now)
        _retry_or_fail(st, job, task, run.detail or 'the task failed', now)
        return
    _release_resources(st, job, task, RunOutcome.STOPPED, now)
    if run.state == RunState.LAPSED:
        _retry_or_fail(st, job, task, 'its lease on the endpoint lapsed', now)
        return
    if job.cancelled or not job.spec.repeatable:
        reason = 'cancelled while running' if job.cancelled else 'stopped'
        close_task(st, job, task, work.Outcome.FAILED, reason, now)
        return
    requeue(st, job, task, st.cfg.retry_delay, now)


def handle_run_lost(
    st: _state.ShardState,
    job: model.Job,
    task: model.Task,
    reason: str,
    now: float,
) -> None:
    """Handle a run that has provably ended without a known result."""
    job.note(f'task {task.index} lost: {reason}', now)
    if job.guest_of is not None:
        finish_offloaded_task(st, job, task, RemoteState.LOST, reason, now)
        return
    _release_resources(st, job, task, RunOutcome.ENDPOINT_LOST, now)
    if _crashes.is_convicted(task):
        detail = 'crashed each endpoint that started it'
        close_task(st, job, task, work.Outcome.FAILED, detail, now)
        return
    if job.spec.repeatable and not job.cancelled:
        delay = _crashes.restart_delay(st, job, task)
        requeue(st, job, task, delay, now)
        return
    if job.spec.repeatable:
        close_task(st, job, task, work.Outcome.FAILED, 'cancelled', now)
        return
    st.counters.unknown += 1
    detail = f'may have run: {reason}; check its effects before asking again'
    close_task(st, job, task, work.Outcome.UNKNOWN, detail, now)


def handle_not_started(
    st: _state.ShardState,
    job: model.Job,
    task: model.Task,
    reason: str,
    now: float,
) -> None:
    """Handle a start that provably did not happen; retry with backoff."""
    job.note(
        f'task {task.index} not started on {task.endpoint}: {reason}', now
    )
    if job.guest_of is not None:
        finish_offloaded_task(
            st, job, task, RemoteState.NOT_STARTED, reason, now
        )
        return
    _release_resources(st, job, task, RunOutcome.NOT_STARTED, now)
    if job.cancelled:
        close_task(st, job, task, work.Outcome.NOT_RUN, 'cancelled', now)
        return
    task.tried += 1
    delay = st.cfg.retry_delay * 2 ** min(task.tried, 8)
    requeue(st, job, task, delay, now)


def finish_offloaded_task(
    st: _state.ShardState,
    job: model.Job,
    task: model.Task,
    state: RemoteState,
    detail: str,
    now: float,
) -> None:
    """End an offloaded task and report it to its home, which decides."""
    assert job.guest_of is not None
    _release_resources(st, job, task, _RUN_OUTCOMES[state], now)
    task.phase = model.Phase.ENDED
    task.outcome = _TASK_OUTCOMES.get(state, work.Outcome.FAILED)
    task.detail = state.value
    report = commands.RemoteTask(
        work.task_id(job.spec.job_id, task.index),
        task.attempt,
        state,
        detail,
        task.answer,
    )
    st.pending.append(commands.ReportTask(job.guest_of, report))
    if not job.open_tasks:
        job.outcome = model.job_outcome(job)
        job.ended_at = now
        st.finished.append(job.spec.job_id)
        st.finished_bytes += sum(len(t.answer) for t in job.tasks.values())


def requeue(
    st: _state.ShardState,
    job: model.Job,
    task: model.Task,
    delay: float,
    now: float,
) -> None:
    """Queue a task again after `delay` s; its run has provably ended."""
    task.phase = model.Phase.QUEUED
    task.outcome = work.Outcome.QUEUED
    task.endpoint = ''
    task.allocated = True
    st.scheduler.requeue(work.task_id(job.spec.job_id, task.index), now, delay)


def close_task(
    st: _state.ShardState,
    job: model.Job,
    task: model.Task,
    outcome: work.Outcome,
    detail: str,
    now: float,
) -> None:
    """Set the final outcome of a task, and of its job if it is the last."""
    task.phase = model.Phase.ENDED
    task.outcome = outcome
    task.detail = detail
    task.checkpoint = b''
    if detail:
        job.detail = detail
    broken = outcome in (work.Outcome.FAILED, work.Outcome.UNKNOWN)
    if broken and job.spec.form == work.Form.GANG and not job.cancelled:
        # The tasks of a gang are of no use without each other.
        cancel_remaining(st, job, now)
    if job.open_tasks or job.outcome.final:
        return
    outcome = model.job_outcome(job)
    if not outcome.final:
        return
    job.outcome = outcome
    job.ended_at = now
    job.note(f'ended: {outcome}', now)
    _record_end(st, job, now)


def cancel_task(
    st: _state.ShardState, job: model.Job, task: model.Task, now: float
) -> None:
    """Cancel a task as its phase allows.

    Stop a running one and close a queued one. A pending acceptance, intent
    or start is cancelled once it is confirmed.
    """
    name = work.task_id(job.spec.job_id, task.index)
    if task.phase == model.Phase.RUNNING:
        st.pending.append(
            commands.StopTask(task.endpoint, name, st.cfg.stop_grace)
        )
        return
    if task.phase == model.Phase.REMOTE:
        st.pending.append(commands.StopRemote(task.place, name))
        return
    if task.phase != model.Phase.QUEUED:
        return
    if job.spec.durable and not job.recorded:
        return
    outcome = work.Outcome.FAILED if task.started else work.Outcome.NOT_RUN
    close_task(st, job, task, outcome, 'cancelled', now)


def cancel_remaining(
    st: _state.ShardState, job: model.Job, now: float
) -> None:
    """Cancel all tasks of a job that have not ended."""
    job.cancelled = True
    st.scheduler.cancel(job.spec.job_id, now)
    for task in job.open_tasks:
        cancel_task(st, job, task, now)


def _record_end(st: _state.ShardState, job: model.Job, now: float) -> None:
    """Report a job's end; record it first if the log names the job."""
    job_id = job.spec.job_id
    st.finished.append(job_id)
    st.finished_bytes += sum(len(t.answer) for t in job.tasks.values())
    if not job.recorded and not job.intents:
        st.pending.append(commands.JobFinal(job_id, job.outcome))
        return
    answer = b''
    if len(job.tasks) == 1:
        answer = next(iter(job.tasks.values())).answer
    if len(answer) > st.cfg.max_recorded_answer_bytes:
        answer = b''
    record = zone_records.JobEnded(
        record_id=next(st.ids),
        shard=st.shard.number,
        epoch=st.epoch,
        job_id=job_id,
        outcome=job.outcome.value,
        detail=job.detail,
        answer=answer,
    )
    # The caller gets the outcome once it is on the log, so that no later
    # owner runs the job again, but doesn't wait long for an unavailable log.
    st.delayed_reports[job_id] = now + st.cfg.record_timeout
    st.write(record)


def report_delayed_outcome(st: _state.ShardState, job_id: str) -> None:
    """Report a job's outcome to waiting callers if that was delayed."""
    if st.delayed_reports.pop(job_id, None) is None:
        return
    job = st.jobs[job_id]
    st.pending.append(commands.JobFinal(job_id, job.outcome))


def _release_resources(
    st: _state.ShardState,
    job: model.Job,
    task: model.Task,
    run_outcome: RunOutcome,
    now: float,
) -> None:
    """Release the resources that a task's run has allocated."""
    name = work.task_id(job.spec.job_id, task.index)
    view = st.endpoints.get(task.endpoint)
    if view is not None:
        view.tasks.discard(name)
    st.scheduler.ended(name, run_outcome, now)


def _restart_service(
    st: _state.ShardState,
    job: model.Job,
    task: model.Task,
    state: RunState,
    now: float,
) -> None:
    """Queue a task of a service again, with backoff after failures.

    A service has no end of its own: success counts as a failure.
    """
    failed = state in (RunState.FAILED, RunState.SUCCEEDED)
    run_outcome = RunOutcome.FAILED if failed else RunOutcome.STOPPED
    _release_resources(st, job, task, run_outcome, now)
    st.counters.restarts += 1
    task.tried = task.tried + 1 if failed else 0
    delay = min(
        st.cfg.service_backoff * 2 ** min(task.tried, 10),
        st.cfg.service_backoff_max,
    )
    requeue(st, job, task, delay, now)


def _retry_or_fail(
    st: _state.ShardState,
    job: model.Job,
    task: model.Task,
    detail: str,
    now: float,
) -> None:
    """Run a repeatable task again while attempts and budget allow it."""
    retriable = job.spec.repeatable and not job.cancelled
    if (
        retriable
        and task.attempt < st.cfg.max_attempts
        and st.retry_budget.try_withdraw()
    ):
        st.counters.retries += 1
        requeue(st, job, task, st.cfg.retry_delay, now)
        return
    close_task(st, job, task, work.Outcome.FAILED, detail, now)
