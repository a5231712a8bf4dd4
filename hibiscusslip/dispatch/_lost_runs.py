"""Give up runs that can't be active any more, and queue their tasks again.

A run is abandoned, and its task started again, only when it is certain that
the run isn't active and won't start: no task may run twice.
"""

import typing

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import crashes
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

LATE_START_S = 12.5  # an unanswered start request may take effect 12 s later
QUARANTINE_S = 3.0
FULL_BACKOFF_S = 0.5


def requeue(engine: 'engines.Engine', task: state.Task, now: float) -> None:
    """Reset a task to waiting and activate its step if its job isn't final.

    If the task has a second run, that becomes the current one instead.
    """
    note_copy_end(engine, task)
    if task_runs.replace_current(task):
        return
    task.status = state.Status.WAITING
    task.endpoint = ''
    task.started_at = 0.0
    step = task.step
    if step.job.state.final:
        return
    step.waiting_since = now
    engine.active_steps[step.name] = step


def note_copy_end(engine: 'engines.Engine', task: state.Task) -> None:
    """Log that a copy has ended in vain, or takes the original's place.

    The current run has just ended without being done.
    """
    if task.copy_run and task.run == task.copy_run:
        engine.note('copy_lost', task=task.name, run=task.run, reason='ended')
    elif task.second is not None:
        engine.note('copy_promoted', task=task.name, run=task.second.run)


def still_fits(endpoint: state.Endpoint, start: commands.Start) -> bool:
    """Return False if an endpoint has shrunk since a start was decided."""
    if endpoint.entry is None:
        return True
    used = start.task.step.spec.allocated_demand
    free = endpoint.free_capacity()
    return not (
        (used.cpu and free.cpu < 0)
        or (used.memory and free.memory < 0)
        or (used.accelerators and free.accelerators < 0)
    )


def abandon_run(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    name: str,
    run: int,
    reason: str,
    now: float,
) -> None:
    """Release a run that is known not to be active, and requeue its task."""
    allocation = endpoint.release(name, run)
    task = allocation.task if allocation else None
    engine.note(
        'run_lost',
        task=name,
        run=run,
        endpoint=endpoint.name,
        reason=reason,
        confirmed=bool(allocation and allocation.confirmed_at),
        seen_ms=int(allocation.proven_age * 1000) if allocation else 0,
    )
    if task is not None:
        was_second = task_runs.make_current(task, run)
        if was_second or task.step.job.organisation:
            engine.dirty.add(
                task.step.job.job_id
            )  # its record lists every run that counts
    if task is not None and task.run == run and task.status.placed:
        engine.dirty.add(task.step.job.job_id)
        requeue(engine, task, now)
        if task.step.spec.gang:
            _stop_gang(engine, task.step, run, now)


def _stop_gang(
    engine: 'engines.Engine', step: state.StepState, run: int, now: float
) -> None:
    """Stop the other members of a gang, which can't run without this one.

    All are stopped when the first one is missed; reports repeat their stops.
    """
    if step.stopped_run == run:
        return
    step.stopped_run = run
    for member in step.tasks:
        if member.status.placed and member.run == run:
            engine.stop(member, 'a member of its gang is missing', now)


def handle_restart(
    engine: 'engines.Engine', endpoint: state.Endpoint, now: float
) -> None:
    """Forget the numbers and leases of an endpoint's former incarnation."""
    engine.note('endpoint_restarted', **_loss_fields(endpoint, now))
    endpoint.restarted_at = now
    endpoint.handled_cursor = 0
    endpoint.acknowledged_cursor = 0
    endpoint.leased_until = 0.0


def abandon_ended_by_restart(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    report: model.EndpointReport,
    sent: float,
    now: float,
) -> None:
    """Abandon the runs that an endpoint lost by a restart.

    Those that the new incarnation lists were started there, and it may have
    those that were confirmed after the poll was sent or decided later.
    """
    listed = report.listed_runs()
    lost = {
        key: allocation
        for key, allocation in endpoint.allocations.items()
        if key not in listed
        and allocation.confirmed_at <= sent
        and allocation.decided_at <= endpoint.restarted_at
    }
    endpoint.restarted_at = 0.0
    convicted = _blame_runs(engine, endpoint, list(lost.values()), now)
    for key, allocation in lost.items():
        abandon_run(engine, endpoint, *key, 'restarted', now)
        _count_late_start(engine, endpoint, key[0], allocation, now)
        if _may_start_late(allocation) and allocation.task is not None:
            # The start request may still reach the new incarnation.
            allocation.task.not_before = allocation.decided_at + LATE_START_S
    crashes.give_up(engine, convicted, now)


def _may_start_late(allocation: state.Allocation) -> bool:
    """Return True if a later incarnation may carry out the start.

    Starts of a former owner are refused by their epoch. That a repeat was
    confirmed says nothing about an earlier one without an answer.
    """
    if allocation.recovered:
        return False
    return allocation.partly_unanswered or not allocation.confirmed_at


def _count_late_start(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    name: str,
    allocation: state.Allocation,
    now: float,
) -> None:
    """Count an abandoned run for its limit while it may still start.

    A start that has expired may still take effect if the endpoint restarts
    and its clock begins anew.
    """
    until = allocation.decided_at + LATE_START_S
    if now < until and _may_start_late(allocation):
        engine.ledger.hold(endpoint, name, allocation, until)


def _blame_runs(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    lost: list[state.Allocation],
    now: float,
) -> list[state.Task]:
    """Hold a crash against runs; return the tasks to be given up."""
    runs = lost + crashes.take_lapsed(endpoint)
    return crashes.handle_crash(engine, endpoint, runs, now) if runs else []


def handle_replacement(
    engine: 'engines.Engine', endpoint: state.Endpoint, now: float
) -> None:
    """Abandon the runs of an endpoint whose address another one has."""
    if endpoint.entry is not None or endpoint.allocations:
        engine.note('endpoint_replaced', **_loss_fields(endpoint, now))
    convicted = _blame_runs(
        engine, endpoint, list(endpoint.allocations.values()), now
    )
    endpoint.entry = None
    endpoint.responsive = False
    for name, run in list(endpoint.allocations):
        abandon_run(engine, endpoint, name, run, 'replaced', now)
    crashes.give_up(engine, convicted, now)


def _loss_fields(endpoint: state.Endpoint, now: float) -> dict[str, object]:
    """Return what is logged of an incarnation of an endpoint that ended."""
    jobs = {name.partition('.')[0] for name, _ in endpoint.allocations}
    return {
        'endpoint': endpoint.name,
        'draining': bool(endpoint.draining_since),
        'answered_ms_ago': int((now - endpoint.last_response_at) * 1000),
        'runs': len(endpoint.allocations),
        'jobs': len(jobs),
    }


def abandon_missing(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    report: model.EndpointReport,
    listed: set[tuple[str, int]],
    sent: float,
    now: float,
) -> None:
    """Abandon runs that would be in the report if they were active.

    These are runs restored from records, runs whose start was confirmed
    before the poll was sent, and runs whose start request has expired.
    """
    for key, allocation in list(endpoint.allocations.items()):
        if key in listed:
            continue
        confirmed = (
            bool(allocation.confirmed_at) and allocation.confirmed_at < sent
        )
        expired = (
            bool(allocation.deadline) and report.clock > allocation.deadline
        )
        if allocation.recovered or confirmed or expired:
            abandon_run(engine, endpoint, key[0], key[1], 'not listed', now)
            _count_late_start(engine, endpoint, key[0], allocation, now)


def abandon_expired(engine: 'engines.Engine', now: float) -> None:
    """Abandon the runs of unresponsive endpoints whose leases have expired.

    An unresponsive endpoint without an entry and runs is removed, once it
    doesn't matter any more whether it has crashed.
    """
    engine.dirty.update(engine.ledger.end_holds(now))
    for endpoint in list(engine.endpoints.values()):
        if endpoint.responsive:
            continue
        if endpoint.allocations and endpoint.leases_expired(now):
            _abandon_lapsed(engine, endpoint, now)
        if now >= endpoint.lapsed_at + crashes.LAPSED_MEMORY_S:
            crashes.take_lapsed(endpoint)
        if endpoint.entry is None and not endpoint.allocations:
            if not endpoint.lapsed:
                del engine.endpoints[endpoint.name]


def _abandon_lapsed(
    engine: 'engines.Engine', endpoint: state.Endpoint, now: float
) -> None:
    """Abandon the runs of an endpoint; some on trial are held for longer."""
    held = crashes.held_trials(endpoint, now)
    lapsed = [
        (key, allocation)
        for key, allocation in endpoint.allocations.items()
        if key not in held
    ]
    if not lapsed:
        return
    engine.note(
        'leases_lapsed',
        endpoint=endpoint.name,
        runs=len(lapsed),
        trials=len(held),
        evidence='' if endpoint.polled else endpoint.lease_evidence,
        answered_ms_ago=_answered_ms_ago(endpoint, now),
    )
    for key, allocation in lapsed:
        crashes.note_lapse(endpoint, allocation, now)
        abandon_run(engine, endpoint, *key, 'lease lapsed', now)
        _count_late_start(engine, endpoint, key[0], allocation, now)


def _answered_ms_ago(endpoint: state.Endpoint, now: float) -> int | None:
    if not endpoint.last_response_at:
        return None
    return int((now - endpoint.last_response_at) * 1000)


def revert_start(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    start: commands.Start,
    reason: str,
    now: float,
) -> None:
    """Revert a start that is known to have had no effect.

    If an endpoint refused it because of its 'ticket', the step's tickets are
    renewed. If it lacks capacity ('room'), is 'unhealthy' or is another
    'instance' than was addressed, it gets no work for a while.
    """
    task = start.task
    step = task.step
    engine.note(
        'start_refused',
        task=task.name,
        run=start.run,
        endpoint=endpoint.name,
        reason=reason,
    )
    if reason == 'ticket':
        step.tickets = {}
    elif reason == 'room':
        endpoint.full_until = now + FULL_BACKOFF_S
    elif reason == 'unhealthy':
        endpoint.consecutive_failures += 1
        endpoint.quarantined_until = now + QUARANTINE_S
    elif reason == 'instance':
        endpoint.quarantined_until = now + QUARANTINE_S
    allocation = endpoint.release(task.name, start.run)
    was_second = allocation is not None and task_runs.make_current(
        task, start.run
    )
    if was_second or step.job.organisation:
        engine.dirty.add(
            step.job.job_id
        )  # its record lists every run that counts
    if allocation is None or task.run != start.run or not task.status.placed:
        return
    engine.dirty.add(step.job.job_id)
    requeue(engine, task, now)
    if step.spec.gang:
        _stop_gang(engine, step, start.run, now)
