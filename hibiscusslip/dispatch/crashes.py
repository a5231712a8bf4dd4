"""Find the tasks that crash the endpoints which start them.

All runs of an endpoint end when it crashes, so most of them aren't the cause.
A task that crashes its endpoint does so soon after its start, therefore only
runs that had just started are held responsible. A task that was in a crash is
on trial from its next start on: it starts on an endpoint where no other job
has just started a run, and no other job starts one there until the task is
seen to work. If that endpoint crashes, the task is the only possible cause.

A crash isn't held against any task if the endpoint had announced that it
leaves, or if a large part of its zone was lost at the same time.
"""

import collections.abc
import dataclasses
import typing

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import candidate_pool
    from hibiscusslip.dispatch import engine as engines

MIN_CRASHES = 3
MIN_SOLE_CRASHES = 2
# So many of them are enough if the endpoints confirmed none of the starts.
MIN_UNCONFIRMED_CRASHES = 3
MAX_CALM_WAIT_S = 1.0  # after that a task on trial starts beside others
MAX_UNEXPLAINED_LOSSES = 3
MAX_CRASHES = 5  # of a task whose losses aren't all explained yet
TRIAL_HOLD_S = 10.0  # beyond its lease a run on trial isn't given up
LAPSED_MEMORY_S = 15.0  # within it an endpoint shows whether it has crashed
LOSS_MEMORY_S = 10.0
MIN_LOST_IN_ZONE = 2
LOST_SHARE_OF_ZONE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """An endpoint that was lost between two times.

    `known_at` is when it turned out to have crashed. It is `explained` if a
    run there may have been the cause.
    """

    zone: str
    last_response_at: float
    silent_at: float
    known_at: float
    explained: bool


def handle_crash(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    runs: list[state.Allocation],
    now: float,
) -> list[state.Task]:
    """Hold a crash against the runs that may be its cause.

    Returns the tasks to be given up. `runs` are those that ended with it.
    """
    known = [run for run in runs if run.task is not None]
    fresh = [run for run in known if run.on_probation]
    loss = _loss_of(endpoint, fresh, now)
    with_zone = _lost_with_zone(engine, endpoint, loss, now)
    engine.recent_losses.append(loss)
    if endpoint.draining_since or with_zone:
        return []
    suspects = _most_often_in_crashes(fresh)
    sole = len({_job_of(run) for run in suspects}) == 1
    for run in fresh or known:
        _count(run, sole and run in suspects)
        _note_suspect(engine, endpoint, run, sole and run in suspects)
    return [
        run.task
        for run in suspects
        if run.task is not None and _is_convicted(run.task)
    ]


def _loss_of(
    endpoint: state.Endpoint,
    fresh: collections.abc.Sequence[state.Allocation],
    now: float,
) -> Loss:
    return Loss(
        endpoint.zone,
        endpoint.last_response_at,
        endpoint.suspected_at or now,
        now,
        bool(fresh),
    )


def _lost_with_zone(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    loss: Loss,
    now: float,
) -> bool:
    """Return True if a large part of the zone was lost at the same time.

    Only endpoints count that no run of theirs may have crashed, and that had
    answered this owner before.
    """
    engine.recent_losses = [
        other
        for other in engine.recent_losses
        if now < other.known_at + LOSS_MEMORY_S
    ]
    others = [
        other
        for other in engine.endpoints.values()
        if other is not endpoint and other.zone == loss.zone
    ]
    silent = [
        _loss_of(other, [r for r in _runs_of(other) if r.on_probation], now)
        for other in others
        if other.silent and other.last_response_at
    ]
    alive = sum(
        not other.silent and other.last_response_at > loss.silent_at
        for other in others
    )
    lost = sum(
        other.zone == loss.zone
        and not other.explained
        and _overlap(other, loss)
        for other in (*silent, *engine.recent_losses)
    )
    enough = max(MIN_LOST_IN_ZONE, LOST_SHARE_OF_ZONE * (lost + alive))
    return lost >= enough


def _runs_of(endpoint: state.Endpoint) -> list[state.Allocation]:
    return [*endpoint.allocations.values(), *endpoint.lapsed]


def _overlap(one: Loss, other: Loss) -> bool:
    return (
        one.last_response_at <= other.silent_at
        and other.last_response_at <= one.silent_at
    )


def _most_often_in_crashes(
    runs: list[state.Allocation],
) -> list[state.Allocation]:
    most = max((_crashes_of(run).total for run in runs), default=0)
    return [run for run in runs if _crashes_of(run).total == most]


def _crashes_of(run: state.Allocation) -> state.Crashes:
    assert run.task is not None
    return run.task.crashes


def _job_of(run: state.Allocation) -> str:
    assert run.task is not None
    return run.task.step.job.job_id


def _count(run: state.Allocation, sole: bool) -> None:
    assert run.task is not None
    known = run.task.crashes
    run.task.crashes = state.Crashes(
        known.total + 1,
        known.sole + sole,
        known.confirmed + (sole and run.was_confirmed),
    )


def _note_suspect(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    run: state.Allocation,
    sole: bool,
) -> None:
    assert run.task is not None
    engine.dirty.add(_job_of(run))
    engine.note(
        'crash_suspected',
        task=run.task.name,
        run=run.run,
        endpoint=endpoint.name,
        crashes=run.task.crashes.total,
        sole=sole,
    )


def _is_convicted(task: state.Task) -> bool:
    """Return True if a task has provably crashed several endpoints."""
    crashes = task.crashes
    if crashes.total < MIN_CRASHES or crashes.sole < MIN_SOLE_CRASHES:
        return False
    return crashes.confirmed > 0 or crashes.sole >= MIN_UNCONFIRMED_CRASHES


def give_up(
    engine: 'engines.Engine', tasks: list[state.Task], now: float
) -> None:
    """End the jobs of tasks that crash endpoints; these can't be done."""
    for task in tasks:
        job = task.step.job
        if job.state.final or task.status is state.Status.DONE:
            continue
        engine.note(
            'task_given_up', task=task.name, crashes=task.crashes.total
        )
        if not task.status.placed:
            task.status = state.Status.FAILED
        engine.finish(job, model.JobState.FAILED, now)


def held_trials(endpoint: state.Endpoint, now: float) -> set[tuple[str, int]]:
    """Return the runs on trial that aren't given up with their leases.

    A task that crashes its endpoint does so soon after its start, so one that
    was seen at work for a while isn't likely to be the cause.
    """
    if endpoint.leases_expired(now - TRIAL_HOLD_S):
        return set()
    return {
        key
        for key in endpoint.trials
        if endpoint.allocations[key].proven_age < state.PROBATION_S
    }


def note_lapse(
    endpoint: state.Endpoint, run: state.Allocation, now: float
) -> None:
    """Remember a run on a silent endpoint, which is given up now."""
    endpoint.lapsed_at = now
    endpoint.lapsed.append(run)
    if run.task is not None and run.on_probation:
        loss = state.UnexplainedLoss(
            run.run, endpoint.name, endpoint.address, endpoint.born
        )
        run.task.unexplained += (loss,)


def take_lapsed(endpoint: state.Endpoint) -> list[state.Allocation]:
    """Return the remembered runs; it is known now what became of them."""
    lapsed, endpoint.lapsed = endpoint.lapsed, []
    for run in lapsed:
        if run.task is not None:
            run.task.unexplained = tuple(
                loss for loss in run.task.unexplained if loss.run != run.run
            )
    return lapsed


def restore_lapsed(
    endpoint: state.Endpoint, task: state.Task, run: int, now: float
) -> None:
    """Remember a run that a former owner has given up."""
    lapsed = state.Allocation(task, run, model.Demand(), now, recovered=True)
    endpoint.lapsed.append(lapsed)
    endpoint.lapsed_at = now


def may_start(task: state.Task) -> bool:
    """Return False until it is known whether a task crashes endpoints."""
    losses = len(task.unexplained)
    if not losses:
        return True
    possible = task.crashes.total + losses
    return losses < MAX_UNEXPLAINED_LOSSES and possible < MAX_CRASHES


def acquit_if_proven(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    allocation: state.Allocation,
) -> None:
    """End the trial of a run that has been at work for long enough."""
    task = allocation.task
    if task is None or not task.on_trial or allocation.on_probation:
        return
    if task.proven_run != allocation.run:
        task.proven_run = allocation.run
        engine.dirty.add(_job_of(allocation))
    endpoint.end_trial(task.name, allocation.run)
    if allocation.proven_age >= state.LONG_PROBATION_S:
        task.crashes = state.Crashes()


def calm_candidates(
    step: state.StepState,
    candidates: 'list[candidate_pool.Candidate]',
    now: float,
) -> 'list[candidate_pool.Candidate]':
    """Return where a task on trial may start.

    There no other job has just started a run. If all endpoints have started
    runs for long, any will do.
    """
    if now >= step.waiting_since + MAX_CALM_WAIT_S:
        return candidates
    job_id = step.job.job_id
    return [
        candidate
        for candidate in candidates
        if candidate.endpoint.last_start_job == job_id
        or now >= candidate.endpoint.last_start_at + state.PROBATION_S
    ]
