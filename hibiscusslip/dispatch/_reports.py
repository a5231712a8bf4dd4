"""Compare what an endpoint lists with what is booked on it."""

import typing

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import progress
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

LATE_ORDER_S = 12.5  # an unanswered order may be carried out 12 s later
STRIKES_TO_DISTRUST = 3
DISTRUST_S = 3.0
NO_ROOM_S = 0.5
REPEAT_STOP_S = 0.4


def take(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    look: model.EndpointReport,
    sent: float,
    now: float,
) -> None:
    """Take note of a list that was asked for at `sent`."""
    if endpoint.polled and look.born != endpoint.born:
        _restarted(engine, endpoint, now)
    first = not endpoint.polled
    endpoint.polled = True
    endpoint.born = look.born
    if not endpoint.responsive:
        endpoint.responsive = True
        engine.note('endpoint_answers', endpoint=endpoint.name)
    endpoint.clock = look.clock
    endpoint.clock_at = now
    _take_ended(engine, endpoint, look, now)
    listed = _take_running(engine, endpoint, look, now)
    _take_missing(engine, endpoint, look, listed, sent, now)
    if first:
        endpoint.inherited_leases_until = 0.0


def _restarted(
    engine: 'engines.Engine', endpoint: state.Endpoint, now: float
) -> None:
    """Give up all runs of an endpoint that lost them by a restart."""
    engine.note('endpoint_restarted', endpoint=endpoint.name)
    endpoint.handled = 0
    endpoint.acknowledged = 0
    endpoint.granted = 0.0
    for name, run in list(endpoint.allocations):
        booking = endpoint.allocations[(name, run)]
        doubtful = not booking.answered and not booking.recovered
        lost(engine, endpoint, name, run, 'restarted', now)
        if doubtful and booking.task is not None:
            # The order may still be on its way to the new incarnation.
            booking.task.not_before = booking.ordered + LATE_ORDER_S


def _take_ended(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    look: model.EndpointReport,
    now: float,
) -> None:
    for end in look.ended:
        if end.number <= endpoint.handled:
            continue
        endpoint.handled = end.number
        booking = endpoint.release(end.task, end.run)
        task = booking.task if booking else find_task(engine, end.task)
        if task is not None:
            _end_run(engine, endpoint, task, end, booking, now)


def find_task(engine: 'engines.Engine', name: str) -> state.Task | None:
    """Return a task by the name that endpoints know it by."""
    try:
        job_id, occurrence, step, index = name.rsplit('.', 3)
        job = engine.jobs[job_id]
        return job.occurrences[int(occurrence)][int(step)].tasks[int(index)]
    except (ValueError, KeyError, IndexError):
        return None


def _end_run(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    task: state.Task,
    end: model.EndedRun,
    booking: state.Allocation | None,
    now: float,
) -> None:
    engine.note(
        'run_ended',
        task=task.name,
        run=end.run,
        endpoint=endpoint.name,
        how=end.how.value,
        ms=int((now - task.started) * 1000) if task.started else None,
    )
    engine.dirty.add(task.step.job.job_id)
    if end.checkpoint:
        _save(task, end.checkpoint)
    if end.how is model.RunOutcome.DONE and not task.step.spec.long_running:
        _done(engine, endpoint, task, end.run, now)
        return
    if end.how is model.RunOutcome.FAILED:
        _strike(engine, endpoint, task, now)
    if task.run != end.run or not task.status.placed:
        return
    if end.how is model.RunOutcome.FAILED and not task.step.spec.long_running:
        if _count_failure(engine, task, end.run):
            task.status = state.Status.FAILED
            engine.finish(task.step.job, model.JobState.FAILED, now)
            return
    _back_to_waiting(engine, task, now)


def _save(task: state.Task, checkpoint: str) -> None:
    task.checkpoint = checkpoint
    if task.step.spec.gang:
        task.step.checkpoint = checkpoint


def _done(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    task: state.Task,
    run: int,
    now: float,
) -> None:
    step = task.step
    endpoint.strikes = 0
    if task.status is state.Status.DONE:
        return
    if task.started and not task.checkpoint and task.run == run:
        real = now - task.started
        expected = engine.estimates.run_time(step)
        progress.note_time(endpoint, expected, real, now)
        engine.estimates.learn(step.job.queue, step.spec.estimate, real)
    members = step.tasks if step.spec.gang else [task]
    for member in members:
        if member.status is state.Status.DONE:
            continue
        if member is not task and member.status is state.Status.WAITING:
            member.endpoint = ''
        elif member is task and task.run != run and task.status.placed:
            engine.stop(task, 'another run is done', now)
        member.status = state.Status.DONE
        step.done += 1
    if step.complete:
        engine.active.pop(step.name, None)
        _complete(engine, step.job, now)


def _complete(engine: 'engines.Engine', job: state.Job, now: float) -> None:
    expected = max(job.spec.times, 1)
    if job.state.final or len(job.occurrences) < expected:
        return
    if all(step.complete for step in job.steps()):
        engine.finish(job, model.JobState.COMPLETED, now)


def _count_failure(
    engine: 'engines.Engine', task: state.Task, run: int
) -> bool:
    """Count a failed run; True when no attempt is left."""
    step = task.step
    most = engine.queue_of(step.job).max_attempts
    if not step.spec.gang:
        task.failures += 1
        return task.failures >= most
    if step.failed_run != run:
        step.failed_run = run
        step.failures += 1
    return step.failures >= most


def _strike(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    task: state.Task,
    now: float,
) -> None:
    """Distrust an endpoint for a while that fails one run after another."""
    endpoint.strikes += 1
    if endpoint.strikes >= STRIKES_TO_DISTRUST:
        endpoint.trust_after = now + DISTRUST_S
        endpoint.strikes = STRIKES_TO_DISTRUST - 1
        engine.note('endpoint_distrusted', endpoint=endpoint.name)


def _back_to_waiting(
    engine: 'engines.Engine', task: state.Task, now: float
) -> None:
    task.status = state.Status.WAITING
    task.endpoint = ''
    task.started = 0.0
    step = task.step
    if step.job.state.final:
        return
    step.waiting_since = now
    engine.active[step.name] = step


def lost(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    name: str,
    run: int,
    reason: str,
    now: float,
) -> None:
    """Give up a run that surely isn't at work any more."""
    booking = endpoint.release(name, run)
    task = booking.task if booking else None
    engine.note(
        'run_lost', task=name, run=run, endpoint=endpoint.name, reason=reason
    )
    if task is not None and task.run == run and task.status.placed:
        engine.dirty.add(task.step.job.job_id)
        _back_to_waiting(engine, task, now)
        if task.step.spec.gang:
            _break_gang(engine, task.step, run, now)


def _take_running(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    look: model.EndpointReport,
    now: float,
) -> set[tuple[str, int]]:
    listed = set()
    for row in look.running:
        key = (row.task, row.run)
        listed.add(key)
        booking = endpoint.allocations.get(key)
        if booking is None:
            booking = _adopt(engine, endpoint, row, now)
        booking.listed = True
        booking.usage = row.usage
        progress.watch(engine, endpoint, booking, row, now)
        task = booking.task
        if task is not None and row.checkpoint:
            if row.checkpoint != task.checkpoint:
                _save(task, row.checkpoint)
        if (
            booking.stopping
            or task is None
            or not _expected(task, endpoint, row.run)
        ):
            _stop_stray(engine, endpoint, row, booking, now)
        elif task.status is state.Status.ORDERED:
            task.status = state.Status.RUNNING
            task.started = task.started or now
    return listed


def _expected(task: state.Task, endpoint: state.Endpoint, run: int) -> bool:
    if task.status is state.Status.DONE and task.step.spec.gang:
        return True  # the members of a gang end together
    return (
        task.status.placed
        and task.run == run
        and task.endpoint == endpoint.name
        and not task.step.job.state.final
    )


def _adopt(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    row: model.RunningRun,
    now: float,
) -> state.Allocation:
    """Book a run that is listed and wasn't known to be there.

    If its task waits, the run is taken as the task's own: it was started by
    an order that was carried out late.
    """
    task = find_task(engine, row.task)
    demand = task.step.spec.booked if task else model.Demand()
    booking = state.Allocation(task, row.run, demand, now, answered=now)
    endpoint.allocate(row.task, booking)
    if task is None or task.step.job.state.final or row.run < task.run:
        return booking
    if task.status is state.Status.WAITING:
        task.status = state.Status.RUNNING
        task.run = row.run
        task.endpoint = endpoint.name
        task.started = now
        task.step.job.has_started = True
        engine.dirty.add(task.step.job.job_id)
        engine.note(
            'run_adopted', task=row.task, run=row.run, endpoint=endpoint.name
        )
    return booking


def _stop_stray(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    row: model.RunningRun,
    booking: state.Allocation,
    now: float,
) -> None:
    if booking.stopping and now < booking.stopping + REPEAT_STOP_S:
        return
    booking.stopping = now
    engine.stops.append(
        commands.Stop(endpoint.name, row.task, row.run, 'not expected here')
    )


def _take_missing(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    look: model.EndpointReport,
    listed: set[tuple[str, int]],
    sent: float,
    now: float,
) -> None:
    """Give up booked runs that the endpoint would list if it had them."""
    for key, booking in list(endpoint.allocations.items()):
        if key in listed:
            continue
        answered = bool(booking.answered) and booking.answered < sent
        void = bool(booking.deadline) and look.clock > booking.deadline
        if booking.recovered or answered or void:
            lost(engine, endpoint, key[0], key[1], 'not listed', now)


def check_lapsed(engine: 'engines.Engine', now: float) -> None:
    """Give up all runs of endpoints whose leases are surely over."""
    for endpoint in list(engine.endpoints.values()):
        if endpoint.responsive:
            continue
        if endpoint.allocations and endpoint.lapsed(now):
            for name, run in list(endpoint.allocations):
                lost(engine, endpoint, name, run, 'lease lapsed', now)
        if endpoint.entry is None and not endpoint.allocations:
            del engine.endpoints[endpoint.name]


def start_failed(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    start: commands.Start,
    reason: str,
    now: float,
) -> None:
    """Take back a start that surely has no effect."""
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
        step.tickets_until = 0.0
    elif reason == 'room':
        endpoint.no_room_until = now + NO_ROOM_S
    elif reason == 'unhealthy':
        endpoint.strikes += 1
        endpoint.trust_after = now + DISTRUST_S
    elif reason == 'instance':
        endpoint.trust_after = now + DISTRUST_S
    booking = endpoint.release(task.name, start.run)
    if booking is None or task.run != start.run or not task.status.placed:
        return
    engine.dirty.add(step.job.job_id)
    _back_to_waiting(engine, task, now)
    if step.spec.gang:
        _break_gang(engine, step, start.run, now)


def _break_gang(
    engine: 'engines.Engine', step: state.StepState, run: int, now: float
) -> None:
    """Stop the rest of a gang, which would wait in vain for a member."""
    for member in step.tasks:
        if member.status.placed and member.run == run:
            engine.stop(member, 'a member of its gang is missing', now)
