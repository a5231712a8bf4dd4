"""Hold capacity for, start and report tasks whose home is another shard.

The owner of the home may change at any time. So a hold that was requested
in an older epoch of the home than the latest known one is released, and a
hold can only be committed before it expires on this host's clock.
"""

from hibiscusslip.jobs import _starting
from hibiscusslip.jobs import _state
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import exceptions
from hibiscusslip.jobs import model
from hibiscusslip.model import places
from hibiscusslip.model import work

MAX_HOLD_S = 10.0
MAX_OFFLOAD_HOLDS = 1024
COMMITTED_RETENTION_S = 60.0
NOT_READY_RETRY_AFTER_S = 1.0

RemoteState = commands.RemoteState


def check_home_epoch(
    st: _state.ShardState, home: places.Shard, epoch: int, now: float
) -> None:
    """Reject older epochs of a home from now on.

    Raise StaleHome if a newer epoch is known.
    """
    newest = st.fencing_epochs.get(home, 0)
    if epoch < newest:
        raise exceptions.StaleHome(home, epoch)
    if epoch > newest:
        st.fencing_epochs[home] = epoch
        _release_older_holds(st, home, epoch, now)


def _release_older_holds(
    st: _state.ShardState, home: places.Shard, epoch: int, now: float
) -> None:
    for hold_id, offload_hold in list(st.offload_holds.items()):
        if offload_hold.home == home and offload_hold.home_epoch < epoch:
            release(st, hold_id, now)


def hold(
    st: _state.ShardState,
    hold_id: str,
    offload_hold: _state.OffloadHold,
    tasks: list[int],
    now: float,
) -> list[int]:
    """Hold capacity for tasks of a foreign job; return those that fit.

    Raise StaleHome.
    """
    check_home_epoch(st, offload_hold.home, offload_hold.home_epoch, now)
    expire(st, now)
    if not st.open or len(st.offload_holds) >= MAX_OFFLOAD_HOLDS:
        return []
    until = min(offload_hold.until, now + MAX_HOLD_S)
    starts = st.scheduler.hold(hold_id, offload_hold.spec, tasks, until)
    if not starts:
        return []
    st.offload_holds[hold_id] = _state.OffloadHold(
        offload_hold.home,
        offload_hold.home_epoch,
        offload_hold.spec,
        offload_hold.attempt,
        starts,
        until,
    )
    return [work.index_of(start.task) for start in starts]


def commit(st: _state.ShardState, hold_id: str, now: float) -> bool:
    """Start the tasks of a hold; return False if it has expired.

    Committing a hold again has no effect and returns True.
    """
    if hold_id in st.committed:
        return True
    offload_hold = st.offload_holds.pop(hold_id, None)
    if offload_hold is None:
        return False
    if now >= offload_hold.until or not st.scheduler.commit_hold(hold_id, now):
        st.scheduler.release_hold(hold_id, now)
        return False
    st.committed[hold_id] = now
    job = _get_offloaded_job(st, offload_hold, now)
    for start in offload_hold.starts:
        index = work.index_of(start.task)
        task = model.Task(index, attempt=offload_hold.attempt - 1)
        task.endpoint = start.endpoint
        job.tasks[index] = task
    _starting.send_starts(st, offload_hold.starts, now)
    return True


def _get_offloaded_job(
    st: _state.ShardState, offload_hold: _state.OffloadHold, now: float
) -> model.Job:
    job_id = offload_hold.spec.job_id
    job = st.jobs.get(job_id)
    if job is None or job.guest_of is None:
        job = model.Job(offload_hold.spec, now, {}, guest_of=offload_hold.home)
        st.jobs[job_id] = job
    job.outcome = work.Outcome.RUNNING
    job.note(f'taken in for shard {offload_hold.home}', now)
    return job


def release(st: _state.ShardState, hold_id: str, now: float) -> None:
    """Release a hold unless it is committed."""
    if st.offload_holds.pop(hold_id, None) is not None:
        st.scheduler.release_hold(hold_id, now)


def expire(st: _state.ShardState, now: float) -> None:
    """Release expired holds and drop old commits."""
    for hold_id, offload_hold in list(st.offload_holds.items()):
        if now >= offload_hold.until:
            release(st, hold_id, now)
    for hold_id, at in list(st.committed.items()):
        if now - at > COMMITTED_RETENTION_S:
            del st.committed[hold_id]


def query(
    st: _state.ShardState,
    home: places.Shard,
    epoch: int,
    tasks: list[str],
    now: float,
) -> list[commands.RemoteTask]:
    """Report the states of a home's tasks.

    Raise StaleHome or ShardNotReady.
    """
    check_home_epoch(st, home, epoch, now)
    if not st.open:
        raise exceptions.ShardNotReady(NOT_READY_RETRY_AFTER_S)
    return [_report_task(st, home, name) for name in tasks]


def _report_task(
    st: _state.ShardState, home: places.Shard, name: str
) -> commands.RemoteTask:
    match = st.find(name)
    if match is None or match[0].guest_of != home:
        return commands.RemoteTask(name, 0, RemoteState.ABSENT)
    task = match[1]
    if task.phase != model.Phase.ENDED:
        return commands.RemoteTask(name, task.attempt, RemoteState.RUNNING)
    state = RemoteState(task.detail)
    return commands.RemoteTask(name, task.attempt, state, '', task.answer)


def stop(
    st: _state.ShardState,
    home: places.Shard,
    epoch: int,
    tasks: list[str],
    now: float,
) -> None:
    """Stop tasks of a home; raise StaleHome."""
    check_home_epoch(st, home, epoch, now)
    for name in tasks:
        match = st.find(name)
        if match is None or match[0].guest_of != home:
            continue
        task = match[1]
        if task.phase in (model.Phase.RUNNING, model.Phase.UNCONFIRMED):
            st.pending.append(
                commands.StopTask(task.endpoint, name, st.cfg.stop_grace)
            )
