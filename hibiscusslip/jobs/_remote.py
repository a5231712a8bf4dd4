"""Track the tasks of this shard's jobs that are on other shards."""

from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import _completion
from hibiscusslip.jobs import _opening
from hibiscusslip.jobs import _state
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import model
from hibiscusslip.model import work
from hibiscusslip.records import zone as zone_records

RemoteState = commands.RemoteState
RunState = endpoint_base.RunState

_RUN_STATES = {
    RemoteState.SUCCEEDED: RunState.SUCCEEDED,
    RemoteState.FAILED: RunState.FAILED,
    RemoteState.STOPPED: RunState.STOPPED,
}


def write_intent(
    st: _state.ShardState,
    job_id: str,
    tasks: list[int],
    shard_names: list[str],
) -> str:
    """Write the intent to start tasks on other shards.

    Return the id of the record.
    """
    record = zone_records.StartIntent(
        record_id=next(st.ids),
        shard=st.shard.number,
        epoch=st.epoch,
        job_id=job_id,
        tasks=tasks,
        attempt=1,
        place=' '.join(shard_names),
    )
    st.write(record)
    return record.record_id


def mark_remote(
    st: _state.ShardState,
    job_id: str,
    index: int,
    place: str,
    settled_at: float,
    now: float,
) -> int:
    """Mark a task as starting on another shard; return its attempt number.

    Until `settled_at` the start may still be under way.
    """
    job = st.jobs[job_id]
    task = job.tasks[index]
    task.phase = model.Phase.REMOTE
    task.place = place
    task.lapse_at = settled_at
    task.attempt += 1
    task.outcome = work.Outcome.RUNNING
    job.outcome = work.Outcome.RUNNING
    job.note(f'task {index} goes to shard {place}', now)
    return task.attempt


def handle_task_report(
    st: _state.ShardState, report: commands.RemoteTask, now: float
) -> None:
    """Handle the state of a remote task; ignore that of a stale attempt."""
    match = st.find(report.task)
    if match is None:
        return
    job, task = match
    if task.phase != model.Phase.REMOTE:
        st.counters.late_answers += 1
        return
    if report.state == RemoteState.RUNNING:
        task.started = True
        return
    absent = report.state == RemoteState.ABSENT
    if not absent and report.attempt != task.attempt:
        st.counters.late_answers += 1
        return
    _handle_end(st, job, task, report, now)


def _handle_end(
    st: _state.ShardState,
    job: model.Job,
    task: model.Task,
    report: commands.RemoteTask,
    now: float,
) -> None:
    """Apply the end of a remote task."""
    run_state = _RUN_STATES.get(report.state)
    if run_state is not None:
        task.started = True
        run = endpoint_base.Run(
            report.task,
            report.attempt,
            run_state,
            job.spec.demand,
            b'',
            report.answer,
            detail=report.detail,
        )
        _completion.finish_run(st, job, task, run, now)
    elif report.state == RemoteState.NOT_STARTED:
        _completion.handle_not_started(st, job, task, report.detail, now)
    else:
        reason = report.detail or f'shard {task.place} has it no longer'
        _completion.handle_run_lost(st, job, task, reason, now)


def handle_hold_expired(
    st: _state.ShardState, job_id: str, index: int, reason: str, now: float
) -> None:
    """Handle a remote task whose hold was provably never committed."""
    job = st.jobs.get(job_id)
    if job is None:
        return
    task = job.tasks[index]
    if task.phase == model.Phase.REMOTE and not task.started:
        _completion.handle_not_started(st, job, task, reason, now)


def get_remote_queries(
    st: _state.ShardState, now: float
) -> dict[str, list[str]]:
    """Return the ids of the tasks to query, by shard.

    A remote task is queried once its start can't be under way any more.
    """
    queries: dict[str, list[str]] = {}
    for job in st.jobs.values():
        for task in job.tasks.values():
            name = work.task_id(job.spec.job_id, task.index)
            if task.phase == model.Phase.REMOTE and now >= task.lapse_at:
                queries.setdefault(task.place, []).append(name)
            elif task.phase == model.Phase.QUERYING:
                for place in job.places - {str(st.shard)}:
                    queries.setdefault(place, []).append(name)
    return queries


def handle_remote_report(
    st: _state.ShardState,
    place: str,
    report: commands.RemoteTask,
    now: float,
) -> None:
    """Handle a shard's report on a task of one of this shard's jobs."""
    match = st.find(report.task)
    if match is None:
        return
    job, task = match
    if task.phase != model.Phase.QUERYING:
        if task.place == place:
            handle_task_report(st, report, now)
        return
    if report.state == RemoteState.ABSENT:
        _handle_absent(st, job, task, place, now)
        return
    # An earlier owner of this shard had started it there.
    task.phase = model.Phase.REMOTE
    task.place = place
    task.attempt = report.attempt
    task.outcome = work.Outcome.RUNNING
    handle_task_report(st, report, now)


def _handle_absent(
    st: _state.ShardState,
    job: model.Job,
    task: model.Task,
    place: str,
    now: float,
) -> None:
    """Note that a shard doesn't have a task; resolve it if none has it."""
    task.absent_at |= {place}
    if not task.absent_at >= job.places - {str(st.shard)}:
        return
    if job.spec.repeatable:
        _completion.requeue(st, job, task, 0.0, now)
    else:
        _opening.mark_unknown(st, job, task, now)
