"""Reconcile tasks with listed runs; handle lost contact to endpoints."""

from hibiscusslip import codec
from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import _completion
from hibiscusslip.jobs import _crashes
from hibiscusslip.jobs import _starting
from hibiscusslip.jobs import _state
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import model
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.records import job as job_records

Phase = model.Phase
Contact = _state.Contact

# Of the settle time: an endpoint that takes longer to list its runs may have
# been stalled meanwhile.
MAX_LISTING_FRACTION = 0.5


def set_endpoint(
    st: _state.ShardState, info: places.EndpointInfo, now: float
) -> None:
    """Add or update an endpoint of this shard from the host list."""
    view = st.endpoints.get(info.name)
    if view is None:
        if info.state != places.EndpointState.GONE:
            st.endpoints[info.name] = _state.EndpointView(
                info, next_list_at=now
            )
        return
    if view.info == info:
        return
    moved = (view.info.address, view.info.port) != (info.address, info.port)
    view.info = info
    if view.contact == Contact.LISTED:
        st.scheduler.set_endpoint(info, now)
    if moved:
        lose_contact(st, view, now)


def handle_run_listing(
    st: _state.ShardState,
    name: str,
    listing: endpoint_base.RunListing,
    requested_at: float,
    now: float,
) -> None:
    """Reconcile tasks with an endpoint's runs as of `requested_at`."""
    view = st.endpoints.get(name)
    if view is None:
        return
    view.list_in_flight = False
    view.last_contact_at = now
    restarted = view.boot != listing.boot
    view.boot = listing.boot
    if view.contact != Contact.LISTED:
        if view.contact == Contact.LOST:
            view.contact_regained_at = now
        view.contact = Contact.LISTED
        st.scheduler.set_endpoint(view.info, now)
    if restarted:
        _crashes.handle_restart(st, view, listing)
    for run in listing.runs:
        _handle_run(st, view, run, now)
    _resolve_missing(st, view, listing, requested_at, restarted, now)


def handle_renewal(
    st: _state.ShardState, name: str, missing: list[str], now: float
) -> None:
    """Handle renewed leases; those of `missing` could not be renewed."""
    view = st.endpoints.get(name)
    if view is None:
        return
    view.last_contact_at = now
    for task_id in view.tasks.difference(missing):
        match = st.find(task_id)
        if match is not None and match[1].phase == Phase.RUNNING:
            match[1].seen_at = now
    if missing and not view.missing_check_at:
        # Most of them have just ended and their event is under way.
        view.missing = frozenset(missing)
        view.missing_check_at = now + st.cfg.event_wait


def _handle_run(
    st: _state.ShardState,
    view: _state.EndpointView,
    run: endpoint_base.Run,
    now: float,
) -> None:
    """Confirm, adopt or stop a listed run."""
    running = run.state == endpoint_base.RunState.RUNNING
    match = st.find(run.task)
    if match is None:
        _adopt_unknown(st, view, run, now)
        return
    job, task = match
    if task.endpoint == view.info.name and task.attempt == run.attempt:
        if not running:
            _completion.handle_run_ended(st, view.info.name, run, now)
        elif task.phase in (Phase.UNCONFIRMED, Phase.STARTING):
            _reallocate(st, view, job, task, run, now)
            _starting.mark_running(st, job, task, now)
        task.seen_at = now
        return
    if task.phase == Phase.QUEUED and not st.open:
        _adopt(st, view, job, task, run, now)
        return
    if running:
        _stop_orphan(st, view, run, now)


def _reallocate(
    st: _state.ShardState,
    view: _state.EndpointView,
    job: model.Job,
    task: model.Task,
    run: endpoint_base.Run,
    now: float,
) -> None:
    """Allocate a run's resources again after contact was regained."""
    if task.allocated:
        return
    task.allocated = True
    st.scheduler.adopt(job.spec, run.task, view.info.name, now)


def _adopt_unknown(
    st: _state.ShardState,
    view: _state.EndpointView,
    run: endpoint_base.Run,
    now: float,
) -> None:
    """Adopt a run of an unknown task, of this or of another home shard.

    A run whose tag can't be decoded or names another job is ignored.
    """
    try:
        tag = job_records.decode_tag(run.tag)
    except codec.CodecError:
        return
    if tag.job.job_id != work.job_of(run.task):
        return
    home = places.Shard(tag.zone, tag.shard)
    spec = job_records.from_record(tag.job)
    job = st.jobs.get(spec.job_id)
    if job is None:
        guest_of = None if home == st.shard else home
        job = model.Job(spec, now, {}, partial=True, guest_of=guest_of)
        st.jobs[spec.job_id] = job
    index = work.index_of(run.task)
    task = model.Task(index)
    job.tasks[index] = task
    _adopt(st, view, job, task, run, now)


def _adopt(
    st: _state.ShardState,
    view: _state.EndpointView,
    job: model.Job,
    task: model.Task,
    run: endpoint_base.Run,
    now: float,
) -> None:
    """Adopt a run of an earlier owner as the current run of its task."""
    st.counters.adopted += 1
    task.endpoint = view.info.name
    task.boot = view.boot
    task.attempt = run.attempt
    task.phase = Phase.RUNNING
    task.running_since = task.seen_at = now
    task.started = True
    task.outcome = work.Outcome.RUNNING
    job.outcome = work.Outcome.RUNNING
    job.note(f'task {task.index} adopted on {view.info.name}', now)
    view.tasks.add(run.task)
    st.scheduler.adopt(job.spec, run.task, view.info.name, now)
    if run.state != endpoint_base.RunState.RUNNING:
        _completion.handle_run_ended(st, view.info.name, run, now)


def _stop_orphan(
    st: _state.ShardState,
    view: _state.EndpointView,
    run: endpoint_base.Run,
    now: float,
) -> None:
    """Stop a run that belongs to no task's current attempt."""
    st.pending.append(
        commands.StopTask(view.info.name, run.task, st.cfg.stop_grace)
    )


def _resolve_missing(
    st: _state.ShardState,
    view: _state.EndpointView,
    listing: endpoint_base.RunListing,
    requested_at: float,
    restarted: bool,
    now: float,
) -> None:
    """Resolve tasks that are expected on an endpoint but not listed."""
    seen = {(run.task, run.attempt) for run in listing.runs}
    for name in list(view.tasks):
        match = st.find(name)
        if match is None:
            view.tasks.discard(name)
            continue
        job, task = match
        if (name, task.attempt) in seen:
            continue
        if task.phase == Phase.UNCONFIRMED and not task.started:
            _resolve_unconfirmed(
                st, view, job, task, requested_at, restarted, now
            )
        elif task.phase in (
            Phase.UNCONFIRMED,
            Phase.RUNNING,
            Phase.FETCHING,
        ):
            _completion.handle_run_lost(
                st, job, task, 'its endpoint forgot it', now
            )


def _resolve_unconfirmed(
    st: _state.ShardState,
    view: _state.EndpointView,
    job: model.Job,
    task: model.Task,
    requested_at: float,
    restarted: bool,
    now: float,
) -> None:
    """Resolve a start that was not answered and whose run is not listed.

    If the listing is not conclusive, schedule another one.
    """
    # The start request may still be under way. An endpoint that was stalled
    # handles the requests that arrived meanwhile in any order, so that it may
    # list its runs before it handles the start.
    sent_at = task.lapse_at - st.cfg.lease_wait
    conclusive_at = max(sent_at, view.contact_regained_at) + st.cfg.settle
    if requested_at < conclusive_at:
        view.next_list_at = max(view.next_list_at, conclusive_at)
        return
    if now > requested_at + st.cfg.settle * MAX_LISTING_FRACTION:
        view.next_list_at = max(view.next_list_at, now)
        return
    if restarted or task.boot != view.boot:
        _completion.handle_run_lost(
            st, job, task, 'its endpoint restarted', now
        )
        return
    if not job.spec.repeatable and now < task.lapse_at:
        # An endpoint that was stalled may still handle the start request.
        view.next_list_at = max(view.next_list_at, now + st.cfg.settle)
        return
    if not job.spec.repeatable:
        reason = 'its start was neither confirmed nor denied'
        _completion.handle_run_lost(st, job, task, reason, now)
        return
    _completion.handle_not_started(
        st, job, task, 'the order never arrived', now
    )


def lose_contact(
    st: _state.ShardState, view: _state.EndpointView, now: float
) -> None:
    """Stop using an endpoint; its runs end when their leases expire."""
    if view.contact == Contact.LOST:
        return
    view.contact = Contact.LOST
    view.list_in_flight = False
    view.next_list_at = now
    st.scheduler.endpoint_lost(view.info.name, now)
    lapse_at = max(now, view.renewal_sent_at) + st.cfg.lease_wait
    for name in list(view.tasks):
        match = st.find(name)
        if match is None:
            continue
        job, task = match
        task.phase = Phase.UNCONFIRMED
        task.allocated = False
        task.lapse_at = max(task.lapse_at, lapse_at)
        job.note(f'task {task.index}: no contact to {view.info.name}', now)


def expire_runs(
    st: _state.ShardState, view: _state.EndpointView, now: float
) -> None:
    """Resolve the runs of a lost endpoint whose leases have expired."""
    for name in list(view.tasks):
        match = st.find(name)
        if match is None:
            view.tasks.discard(name)
            continue
        job, task = match
        if task.phase != Phase.UNCONFIRMED or now < task.lapse_at:
            continue
        reason = f'{view.info.name} fell silent'
        if task.started or not job.spec.repeatable:
            _completion.handle_run_lost(st, job, task, reason, now)
        else:
            _completion.handle_not_started(st, job, task, reason, now)
