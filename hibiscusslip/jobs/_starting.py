"""Carry out the scheduler's decisions and handle the results of starts."""

from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import _completion
from hibiscusslip.jobs import _state
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import model
from hibiscusslip.model import work
from hibiscusslip.records import job as job_records
from hibiscusslip.records import zone as zone_records
from hibiscusslip.scheduler import base as scheduler_base

Phase = model.Phase


def apply_decisions(
    st: _state.ShardState,
    decisions: list[scheduler_base.Decision],
    now: float,
) -> None:
    """Carry out the decisions of the scheduler."""
    ready: list[scheduler_base.Start] = []
    for decision in decisions:
        if isinstance(decision, scheduler_base.Start):
            ready.append(decision)
        elif isinstance(decision, scheduler_base.GangStart):
            ready.extend(decision.placements)
        elif isinstance(decision, scheduler_base.RemoteHoldRequest):
            st.pending.append(
                commands.HoldRemote(
                    decision.job_id,
                    decision.missing,
                    decision.expires,
                    decision.local,
                )
            )
        elif isinstance(decision, scheduler_base.Preempt):
            _preempt(st, decision, now)
        else:
            _drop_job(st, decision, now)
    prepare_starts(st, ready, now)


def prepare_starts(
    st: _state.ShardState,
    ready: list[scheduler_base.Start],
    now: float,
) -> None:
    """Start tasks; first write intents for those that must not run twice.

    A task that is no longer queued is not started; its resources are
    released.
    """
    starts: list[scheduler_base.Start] = []
    intents: dict[str, list[scheduler_base.Start]] = {}
    for start in ready:
        match = st.find(start.task)
        if match is None or match[1].phase != Phase.QUEUED:
            st.scheduler.ended(
                start.task, scheduler_base.RunOutcome.NOT_STARTED, now
            )
            continue
        job, task = match
        task.endpoint = start.endpoint
        if job.spec.repeatable or task.index in job.intents:
            starts.append(start)
        else:
            task.phase = Phase.INTENT
            intents.setdefault(job.spec.job_id, []).append(start)
    for job_id, unrecorded in intents.items():
        _write_intent(st, job_id, unrecorded)
    send_starts(st, starts, now)


def _write_intent(
    st: _state.ShardState, job_id: str, unrecorded: list[scheduler_base.Start]
) -> None:
    """Write the intent to start tasks of a job that isn't repeatable."""
    indexes = [work.index_of(start.task) for start in unrecorded]
    record = zone_records.StartIntent(
        record_id=next(st.ids),
        shard=st.shard.number,
        epoch=st.epoch,
        job_id=job_id,
        tasks=indexes,
        attempt=1,
        place=str(st.shard),
    )
    st.write(record)


def handle_intent_confirmed(
    st: _state.ShardState, record: zone_records.StartIntent, now: float
) -> None:
    """Start the tasks whose intent is on the log.

    Those of a remote intent are started by the node, which is notified.
    """
    job = st.jobs.get(record.job_id)
    if job is None:
        return
    job.intents |= frozenset(record.tasks)
    job.places |= frozenset(record.place.split())
    if record.place != str(st.shard):
        st.pending.append(commands.JobRecorded(record.job_id))
        return
    starts = []
    for index in record.tasks:
        task = job.tasks[index]
        if task.phase != Phase.INTENT:
            continue
        name = work.task_id(record.job_id, index)
        task.phase = Phase.QUEUED
        if job.cancelled:
            _completion.handle_not_started(st, job, task, 'cancelled', now)
        else:
            starts.append(scheduler_base.Start(name, task.endpoint))
    send_starts(st, starts, now)


def handle_intent_failed(
    st: _state.ShardState, record: zone_records.StartIntent, now: float
) -> None:
    """Undo starts whose intent provably has no valid record on the log."""
    job = st.jobs.get(record.job_id)
    if job is None:
        return
    for index in record.tasks:
        task = job.tasks[index]
        if task.phase == Phase.INTENT:
            reason = 'its start could not be recorded'
            _completion.handle_not_started(st, job, task, reason, now)


def send_starts(
    st: _state.ShardState, starts: list[scheduler_base.Start], now: float
) -> None:
    """Queue start requests, one command for each endpoint."""
    requests: dict[str, list[endpoint_base.StartRequest]] = {}
    for start in starts:
        view = st.endpoints.get(start.endpoint)
        match = st.find(start.task)
        if match is None:
            continue
        job, task = match
        if view is None or view.contact != _state.Contact.LISTED:
            _completion.handle_not_started(st, job, task, 'no contact', now)
            continue
        task.phase = Phase.STARTING
        task.attempt += 1
        task.boot = view.boot
        task.running_since = task.seen_at = now
        view.tasks.add(start.task)
        request = _make_start_request(st, job, task)
        requests.setdefault(start.endpoint, []).append(request)
        st.counters.starts += 1
    for endpoint, batch in requests.items():
        st.pending.append(commands.StartTasks(endpoint, batch))


def _make_start_request(
    st: _state.ShardState, job: model.Job, task: model.Task
) -> endpoint_base.StartRequest:
    """Return the start request of a task, tagged with its home shard."""
    home = job.guest_of or st.shard
    return endpoint_base.StartRequest(
        task=work.task_id(job.spec.job_id, task.index),
        attempt=task.attempt,
        demand=job.spec.demand,
        lease=st.cfg.worker_lease,
        tag=job_records.encode_tag(home.zone, home.number, job.spec),
        payload=job.spec.payload,
        checkpoint=task.checkpoint,
        trace=job.spec.trace,
    )


def handle_start_results(
    st: _state.ShardState,
    endpoint: str,
    results: list[endpoint_base.StartResult],
    now: float,
) -> None:
    """Handle an endpoint's reply to start requests."""
    view = st.endpoints.get(endpoint)
    if view is not None:
        view.last_contact_at = now
    for result in results:
        match = st.find(result.task)
        if match is None:
            continue
        job, task = match
        if task.phase != Phase.STARTING or task.endpoint != endpoint:
            continue
        if result.started:
            mark_running(st, job, task, now)
        else:
            _completion.handle_not_started(st, job, task, result.detail, now)


def mark_running(
    st: _state.ShardState, job: model.Job, task: model.Task, now: float
) -> None:
    """Mark a task as running; stop it if its job was cancelled meanwhile."""
    if task.phase == Phase.STARTING:
        task.running_since = now
    task.phase = Phase.RUNNING
    task.seen_at = now
    task.started = True
    task.outcome = work.Outcome.RUNNING
    job.outcome = work.Outcome.RUNNING
    job.note(f'task {task.index} started on {task.endpoint}', now)
    if job.cancelled:
        name = work.task_id(job.spec.job_id, task.index)
        st.pending.append(
            commands.StopTask(task.endpoint, name, st.cfg.stop_grace)
        )


def handle_start_failure(
    st: _state.ShardState,
    endpoint: str,
    tasks: list[str],
    sent: bool,
    now: float,
) -> None:
    """Handle start requests that got no reply.

    If they were `sent`, the outcome is unknown until a listing of the
    endpoint's runs shows it; else the tasks provably did not start.
    """
    for name in tasks:
        match = st.find(name)
        if match is None:
            continue
        job, task = match
        if task.phase != Phase.STARTING or task.endpoint != endpoint:
            continue
        if not sent:
            _completion.handle_not_started(
                st, job, task, 'the order was not sent', now
            )
            continue
        st.counters.doubts += 1
        task.phase = Phase.UNCONFIRMED
        task.lapse_at = now + st.cfg.lease_wait
        job.note(f'task {task.index} may have started on {endpoint}', now)
    view = st.endpoints.get(endpoint)
    if sent and view is not None:
        view.next_list_at = max(view.next_list_at, now + st.cfg.settle)


def _preempt(
    st: _state.ShardState, decision: scheduler_base.Preempt, now: float
) -> None:
    """Reclaim the resources of a running task by the given method.

    A task that isn't repeatable is only ever throttled.
    """
    match = st.find(decision.task)
    if match is None or match[1].phase != Phase.RUNNING:
        return
    job, task = match
    job.note(f'task {task.index} {decision.method}: {decision.reason}', now)
    if decision.method == scheduler_base.ReclaimMethod.THROTTLE:
        command: commands.Command = commands.ThrottleTask(
            task.endpoint, decision.task, 0.5
        )
    elif not job.spec.repeatable:
        return
    elif decision.method == scheduler_base.ReclaimMethod.CHECKPOINT:
        command = commands.CheckpointTask(
            task.endpoint, decision.task, st.cfg.stop_grace
        )
    else:
        command = commands.StopTask(
            task.endpoint, decision.task, st.cfg.stop_grace
        )
    st.pending.append(command)


def _drop_job(
    st: _state.ShardState, decision: scheduler_base.Drop, now: float
) -> None:
    """Close the queued tasks of a job that the scheduler has dropped."""
    job = st.jobs.get(decision.job_id)
    if job is None:
        return
    job.retry_after = decision.refusal.retry_after
    for task in job.open_tasks:
        if task.phase == Phase.QUEUED:
            _completion.close_task(
                st,
                job,
                task,
                work.Outcome.NOT_RUN,
                decision.refusal.detail,
                now,
            )
