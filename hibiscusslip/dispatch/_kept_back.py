"""Bound for how long free capacity is kept back from work that could use it.

Headroom, reservations, quarantines and the rule that a step starts as a whole
keep capacity free that a waiting task could use. Each has its reason, but a
task that lasts serves nobody while it waits, and a job of which nothing runs
on a service that is half free makes no progress. So these wait for a bounded
time only, as long as there is room for twice as much: what is left then serves
the reason all the same.
"""

import collections.abc

from hibiscusslip.dispatch import _scheduling_pass
from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import state

MAX_KEPT_BACK_S = 1.0
ROOM_FACTOR = 2
MS_PER_S = 1000


def update(
    current: _scheduling_pass.Pass,
    step: state.StepState,
    waiting: list[state.Task],
    tickets: collections.abc.Iterable[str] | None,
) -> list[placement.Choice]:
    """Return where to start tasks that capacity was kept back from for long.

    `waiting` are those of a step that is owed its start, which found no place
    in this pass. Without room for twice as much their wait has another reason,
    and begins anew.
    """
    now = current.now
    if not waiting:
        step.kept_back_since = 0.0
        return []
    candidates = _candidates(current, step, tickets)
    needed = len(step.tasks) if step.spec.gang else 1
    room = placement.count_fitting(step, candidates)
    if room < ROOM_FACTOR * needed:
        step.kept_back_since = 0.0
        return []
    step.kept_back_since = step.kept_back_since or now
    waited = now - step.kept_back_since
    if waited < MAX_KEPT_BACK_S:
        return []
    choices = _place(step, waiting, candidates, room)
    if choices:
        current.engine.note(
            'keeping_ended',
            step=step.name,
            tasks=len(choices),
            waiting=len(waiting),
            waited_ms=int(waited * MS_PER_S),
            **_describe(current, step, choices),
        )
    return choices


def is_kept_back(step: state.StepState, now: float) -> bool:
    """Return True if a step has waited for long beside enough room."""
    since = step.kept_back_since
    return bool(since) and now >= since + MAX_KEPT_BACK_S


def is_owed(current: _scheduling_pass.Pass, step: state.StepState) -> bool:
    """Return True if a step's tasks last, or if its job makes no progress.

    The latter counts while less than half of the service is in use: then
    others find room all the same.
    """
    if step.spec.long_running:
        return True
    if step.job.service not in current.half_free:
        return False
    return not _has_runs(current, step.job)


def _has_runs(current: _scheduling_pass.Pass, job: state.Job) -> bool:
    """Return True if a run of a job was active when it was first asked."""
    known = current.jobs_with_runs.get(job.job_id)
    if known is None:
        known = any(
            task.status.placed for step in job.steps() for task in step.tasks
        )
        current.jobs_with_runs[job.job_id] = known
    return known


def _candidates(
    current: _scheduling_pass.Pass,
    step: state.StepState,
    tickets: collections.abc.Iterable[str] | None,
) -> list[candidate_pool.Candidate]:
    """Return the candidates with room, distrusted endpoints at the end."""
    pool = current.candidates[step.job.service]
    demand = step.spec.allocated_demand
    found = []
    if pool.may_fit_anywhere(demand):
        found = pool.eligible_for(step, tickets)
    names = None if tickets is None else set(tickets)
    label = step.spec.label
    found = found + [
        candidate
        for candidate in pool.distrusted
        if (names is None or candidate.endpoint.name in names)
        and (not label or label in candidate.entry.labels)
        and not candidate.endpoint.on_trial_for_other(step.job.job_id)
    ]
    return [candidate for candidate in found if candidate.fits(demand)]


def _place(
    step: state.StepState,
    waiting: list[state.Task],
    candidates: list[candidate_pool.Candidate],
    room: int,
) -> list[placement.Choice]:
    """Place the members of a gang, the lasting tasks, or one other task."""
    if step.spec.gang:
        return placement.choose(step, waiting, candidates)
    count = room - 1 if step.spec.long_running else 1
    return placement.choose_some(step, waiting[:count], candidates)


def _describe(
    current: _scheduling_pass.Pass,
    step: state.StepState,
    choices: list[placement.Choice],
) -> dict[str, object]:
    """Return which reasons had kept the capacity back."""
    service = step.job.service
    names = [choice.endpoint.name for choice in choices]
    return {
        'headroom': int(current.headroom.get(service, 0)),
        'spare': int(current.spare.get(service, 0)),
        'reserved': sum(name in current.reserved.until for name in names),
        'distrusted': sum(not choice.candidate.usable for choice in choices),
        'beyond': not step.job.within_entitlement,
    }
