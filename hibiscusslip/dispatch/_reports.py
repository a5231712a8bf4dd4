"""Reconcile the reports of endpoints with the allocations on them."""

import typing

from hibiscusslip.dispatch import _attempts
from hibiscusslip.dispatch import _lost_runs
from hibiscusslip.dispatch import _occurrences
from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import crashes
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import progress
from hibiscusslip.dispatch import run_learning
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

FAILURES_TO_QUARANTINE = 3
QUARANTINE_S = 3.0
STOP_RETRY_S = 0.4
ENTRY_LAG_S = 3.0  # within which the list of endpoints has a new entry


def _check_entry(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    born: float,
    now: float,
) -> None:
    """Don't use an endpoint by the entry of another incarnation for a while.

    It may serve another service or have other labels now. A host that can't
    read the list of endpoints uses it again after the usual lag of the list.
    """
    if endpoint.entry is not None and endpoint.entry.born != born:
        endpoint.entry_outdated_until = now + ENTRY_LAG_S
        engine.note('entry_outdated', endpoint=endpoint.name)


def apply(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    report: model.EndpointReport,
    sent: float,
    now: float,
) -> None:
    """Apply the report of a poll that was sent at `sent`."""
    if endpoint.born and report.born != endpoint.born:
        _lost_runs.handle_restart(engine, endpoint, now)
        endpoint.inherited_leases_until = _longest_lease_end(engine, now)
    elif not endpoint.polled:
        endpoint.inherited_leases_until = min(
            endpoint.inherited_leases_until, _longest_lease_end(engine, now)
        )
    if report.born != endpoint.born:
        _check_entry(engine, endpoint, report.born, now)
    if not report.running and report.ends_complete:
        endpoint.inherited_leases_until = 0.0
    if endpoint.restarted_at and report.ends_complete:
        _lost_runs.abandon_ended_by_restart(
            engine, endpoint, report, sent, now
        )
    if not endpoint.restarted_at:
        crashes.take_lapsed(endpoint)
    if endpoint.may_have_restarted or endpoint.silent:
        _mark_unmeasurable(endpoint)
    endpoint.polled = True
    endpoint.born = report.born
    endpoint.silent = False
    endpoint.may_have_restarted = False
    if not endpoint.responsive:
        endpoint.responsive = True
        engine.note('endpoint_answers', endpoint=endpoint.name)
    endpoint.clock = report.clock
    endpoint.clock_read_at = now
    _handle_ended_runs(engine, endpoint, report, now)
    listed = _handle_running(engine, endpoint, report, now)
    _note_partial_ends(engine, endpoint, report, listed)
    if report.ends_complete:
        _lost_runs.abandon_missing(engine, endpoint, report, listed, sent, now)


def _note_partial_ends(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    report: model.EndpointReport,
    listed: set[tuple[str, int]],
) -> None:
    """Log once that runs without a place in a report may have ended."""
    if not report.ends_complete and not endpoint.ends_partial:
        engine.note(
            'ends_partial',
            endpoint=endpoint.name,
            listed=len(report.ended),
            unlisted=len(endpoint.allocations.keys() - listed),
        )
    endpoint.ends_partial = not report.ends_complete


def _mark_unmeasurable(endpoint: state.Endpoint) -> None:
    """Exclude runs from learning, as lost calls may have delayed reports."""
    for allocation in endpoint.allocations.values():
        allocation.measurable = False


def _longest_lease_end(engine: 'engines.Engine', now: float) -> float:
    """Return by when leases that are held now have expired.

    The endpoint may have got them from a former owner, or by starts that told
    their end on the clock of a former incarnation.
    """
    longest = engine.max_lease + state.LAPSE_SLACK_S
    return now + longest / state.MIN_CLOCK_RATE


def _handle_ended_runs(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    report: model.EndpointReport,
    now: float,
) -> None:
    for end in report.ended:
        if end.number <= endpoint.handled_cursor:
            continue
        endpoint.handled_cursor = end.number
        allocation = endpoint.release(end.task, end.run)
        task = allocation.task if allocation else find_task(engine, end.task)
        if task is not None:
            _handle_ended_run(engine, endpoint, task, end, allocation, now)


def find_task(engine: 'engines.Engine', name: str) -> state.Task | None:
    """Return the task with a name, None if there is none.

    There is none of a complete occurrence of a periodic job, either.
    """
    try:
        job_id, occurrence, step, index = name.rsplit('.', 3)
        job = engine.jobs[job_id]
        return job.occurrences[int(occurrence)][int(step)].tasks[int(index)]
    except (ValueError, KeyError, IndexError):
        return None


def _find_demand(engine: 'engines.Engine', name: str) -> model.Demand:
    """Return what a task is allocated, nothing if its job isn't known."""
    try:
        job_id, _, step, _ = name.rsplit('.', 3)
        return engine.jobs[job_id].spec.steps[int(step)].allocated_demand
    except (ValueError, KeyError, IndexError):
        return model.Demand()


def _handle_ended_run(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    task: state.Task,
    end: model.EndedRun,
    allocation: state.Allocation | None,
    now: float,
) -> None:
    task_runs.make_current(task, end.run)
    engine.note(
        'run_ended',
        task=task.name,
        run=end.run,
        endpoint=endpoint.name,
        how=end.how.value,
        ms=int((now - task.started_at) * 1000) if task.started_at else None,
    )
    engine.dirty.add(task.step.job.job_id)
    if end.checkpoint:
        _save_checkpoint(task, end.checkpoint)
    if end.how is model.RunOutcome.DONE and not task.step.spec.long_running:
        _complete_task(engine, endpoint, task, end.run, allocation, now)
        return
    if end.how is model.RunOutcome.FAILED:
        _record_endpoint_failure(engine, endpoint, task, now)
    if task.run != end.run or not task.status.placed:
        return
    if end.how is model.RunOutcome.STOPPED:
        run_learning.learn_stopped(
            engine.estimates, endpoint, task, allocation, now
        )
    counts = (
        end.how is model.RunOutcome.FAILED and not task.step.job.state.final
    )
    if counts and not task.step.spec.long_running:
        _count_failure(task, end.run)
        if _attempts.has_attempt_left(engine, task) is False:
            _lost_runs.note_copy_end(engine, task)
            task.status = state.Status.FAILED
            engine.finish(task.step.job, model.JobState.FAILED, now)
            return
    _lost_runs.requeue(engine, task, now)


def _save_checkpoint(task: state.Task, checkpoint: str) -> None:
    task.checkpoint = checkpoint
    if task.step.spec.gang:
        task.step.checkpoint = checkpoint


def _complete_task(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    task: state.Task,
    run: int,
    allocation: state.Allocation | None,
    now: float,
) -> None:
    """Mark a task as done; for a gang, one done member completes them all."""
    step = task.step
    endpoint.consecutive_failures = 0
    if task.status is state.Status.DONE:
        return
    if task.started_at and task.run == run:
        if run_learning.is_measured(engine.estimates, task, allocation):
            actual = now - task.started_at
            expected = engine.estimates.run_time_on(step, endpoint)
            progress.update_slowness(endpoint, expected, actual, now)
            run_learning.learn_done(
                engine.estimates, endpoint, task, allocation, now
            )
    _note_copy_done(engine, task, run)
    members = step.tasks if step.spec.gang else [task]
    for member in members:
        if member.status is state.Status.DONE:
            continue
        if member is not task and member.status is state.Status.WAITING:
            member.endpoint = ''
        elif member is task and task.run != run and task.status.placed:
            engine.stop(task, 'another run is done', now)
        member.status = state.Status.DONE
        step.note_done()
    if task.second is not None:
        engine.stop(task, 'another run is done', now, task.second.run)
    if step.complete:
        engine.active_steps.pop(step.name, None)
        _occurrences.drop_if_complete(step.job, step.occurrence)
        _finish_if_complete(engine, step.job, now)


def _note_copy_done(
    engine: 'engines.Engine', task: state.Task, run: int
) -> None:
    """Log whether a copy was done first, or the run that it copies."""
    if task.copy_run and run == task.copy_run:
        engine.note('copy_won', task=task.name, run=run)
    elif task_runs.find_second(task, task.copy_run) is not None:
        engine.note(
            'copy_lost', task=task.name, run=task.copy_run, reason='later'
        )


def _finish_if_complete(
    engine: 'engines.Engine', job: state.Job, now: float
) -> None:
    """Finish a job if all steps of all its occurrences are complete."""
    expected = max(job.spec.times, 1)
    if job.state.final or job.created < expected or job.open_tasks:
        return
    engine.finish(job, model.JobState.COMPLETED, now)


def _count_failure(task: state.Task, run: int) -> None:
    """Count a failed run; those of several members of a gang count once."""
    step = task.step
    if not step.spec.gang:
        task.failures += 1
    elif step.failed_run != run:
        step.failed_run = run
        step.failures += 1


def _record_endpoint_failure(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    task: state.Task,
    now: float,
) -> None:
    """Count a failed run, and quarantine an endpoint that fails repeatedly.

    After a quarantine a single further failure starts the next one.
    """
    endpoint.consecutive_failures += 1
    if endpoint.consecutive_failures >= FAILURES_TO_QUARANTINE:
        endpoint.quarantined_until = now + QUARANTINE_S
        endpoint.consecutive_failures = FAILURES_TO_QUARANTINE - 1
        engine.note('endpoint_distrusted', endpoint=endpoint.name)


def _handle_running(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    report: model.EndpointReport,
    now: float,
) -> set[tuple[str, int]]:
    listed = set()
    for row in report.running:
        key = (row.task, row.run)
        listed.add(key)
        allocation = endpoint.allocations.get(key)
        if allocation is None:
            allocation = _adopt(engine, endpoint, row, now)
        allocation.listed_at = now
        allocation.usage = row.usage
        crashes.acquit_if_proven(engine, endpoint, allocation)
        progress.watch_progress(engine, endpoint, allocation, row, now)
        task = allocation.task
        if task is not None and row.checkpoint:
            if row.checkpoint != task.checkpoint:
                _save_checkpoint(task, row.checkpoint)
        if (
            allocation.stop_requested_at
            or task is None
            or not _is_expected(task, endpoint, row.run)
        ):
            _stop_unexpected(engine, endpoint, row, allocation, now)
        else:
            task_runs.confirm(task, row.run, now)
    return listed


def _is_expected(task: state.Task, endpoint: state.Endpoint, run: int) -> bool:
    """Return True if this run of a task should be active on the endpoint."""
    if task.status is state.Status.DONE and task.step.spec.gang:
        return True  # the members of a gang complete together
    return task_runs.is_expected(task, endpoint.name, run)


def _adopt(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    row: model.RunningRun,
    now: float,
) -> state.Allocation:
    """Allocate resources for a run that is reported but wasn't known.

    If its task is waiting, the run becomes the task's current run: it was
    started by a start request that took effect late.
    """
    task = find_task(engine, row.task)
    demand = _find_demand(engine, row.task)
    allocation = state.Allocation(
        task, row.run, demand, now, confirmed_at=now, measurable=False
    )
    endpoint.allocate(row.task, allocation)
    if task is not None and task.step.job.organisation:
        engine.dirty.add(
            task.step.job.job_id
        )  # its record lists every run that counts
    if task is None or task.step.job.state.final or row.run < task.run:
        return allocation
    if task.status is state.Status.WAITING:
        task.status = state.Status.RUNNING
        task.run = row.run
        task.endpoint = endpoint.name
        task.address = endpoint.address
        task.born = endpoint.born
        task.started_at = now
        task.step.job.has_started = True
        engine.dirty.add(task.step.job.job_id)
        engine.note(
            'run_adopted', task=row.task, run=row.run, endpoint=endpoint.name
        )
    return allocation


def _stop_unexpected(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    row: model.RunningRun,
    allocation: state.Allocation,
    now: float,
) -> None:
    if (
        allocation.stop_requested_at
        and now < allocation.stop_requested_at + STOP_RETRY_S
    ):
        return
    allocation.stop_requested_at = now
    engine.stops.append(
        commands.Stop(endpoint.name, row.task, row.run, 'not expected here')
    )
