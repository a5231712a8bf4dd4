"""Create the occurrences of jobs once they are due, and drop complete ones.

A job may have thousands of occurrences, so nothing here looks at all of them.
"""

import typing

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines
    from hibiscusslip.dispatch import records

# Of a periodic job whose occurrences are due faster than they are completed.
MAX_OPEN_TASKS = 5_000
# In one scheduling pass, unless a single occurrence has more.
MAX_CREATED_TASKS = 1_000


def create(job: state.Job, number: int, now: float) -> list[state.StepState]:
    """Create the steps and tasks of one occurrence and return its steps."""
    steps = []
    for place, spec in enumerate(job.spec.steps):
        step = state.StepState(job, number, place, spec)
        step.waiting_since = now
        for index in range(spec.count):
            name = model.task_name(job.job_id, number, place, index)
            step.tasks.append(state.Task(name, step, index))
        steps.append(step)
    job.occurrences[number] = steps
    job.created = max(job.created, number + 1)
    job.open_tasks += job.spec.tasks
    return steps


def next_due(job: state.Job, wall_time: float) -> int | None:
    """Return the number of the next occurrence if it may be created now."""
    number = job.created
    if number >= job.spec.times:
        return None
    if wall_time < job.spec.first_due + number * job.spec.interval:
        return None
    return number if job.open_tasks < MAX_OPEN_TASKS else None


def create_due(engine: 'engines.Engine', now: float, wall_time: float) -> None:
    """Create the occurrences that are due, as many as one pass may.

    A job that gets some goes last in the next pass.
    """
    left = MAX_CREATED_TASKS
    for job in list(engine.periodic_jobs.values()):
        if left <= 0:
            return
        created = create_due_of(engine, job, now, wall_time, left)
        if created and job.job_id in engine.periodic_jobs:
            del engine.periodic_jobs[job.job_id]
            engine.periodic_jobs[job.job_id] = job
        left -= created


def create_due_of(
    engine: 'engines.Engine',
    job: state.Job,
    now: float,
    wall_time: float,
    most: int = MAX_CREATED_TASKS,
) -> int:
    """Create due occurrences of a job until they have `most` tasks.

    Returns the number of tasks that were created.
    """
    created = 0
    while created < most:
        number = next_due(job, wall_time)
        if number is None:
            break
        engine.create_occurrence(job, number, now)
        engine.dirty.add(job.job_id)
        created += job.spec.tasks
    if job.created >= job.spec.times:
        engine.periodic_jobs.pop(job.job_id, None)
    return created


def restore(
    engine: 'engines.Engine', job: state.Job, row: 'records.JobRow', now: float
) -> None:
    """Create the open occurrences in a job's record, and only those."""
    for number in row.occurrences:
        if number not in job.occurrences:
            engine.create_occurrence(job, number, now)
    completed_end = max((last + 1 for _, last in row.completed), default=0)
    job.created = max(job.created, completed_end)
    kept = set(row.occurrences)
    for number in list(job.occurrences):
        if number < completed_end and number not in kept:
            for step in drop(job, number):
                engine.active_steps.pop(step.name, None)


def find_task(
    job: state.Job, number: int, place: int, index: int
) -> state.Task:
    """Return a task of a job; one that is done if it isn't kept.

    A run of such a task may still be active, and counts until its end is
    certain. Raises IndexError if the job has no such step or task.
    """
    steps = job.occurrences.get(number)
    if steps is not None:
        return steps[place].tasks[index]
    step = state.StepState(job, number, place, job.spec.steps[place])
    name = model.task_name(job.job_id, number, place, index)
    return state.Task(name, step, index, state.Status.DONE)


def drop(job: state.Job, number: int) -> list[state.StepState]:
    """Forget an occurrence that is complete; return its steps."""
    steps = job.occurrences.pop(number)
    job.open_tasks -= sum(len(step.tasks) - step.done_count for step in steps)
    return steps


def drop_if_complete(job: state.Job, number: int) -> None:
    """Forget an occurrence of a periodic job once all its steps are done."""
    if job.spec.times and all(s.complete for s in job.occurrences[number]):
        drop(job, number)


def completed_ranges(job: state.Job) -> list[tuple[int, int]]:
    """Return the first and last number of each range of complete ones."""
    ranges = []
    first = 0
    for number in [*sorted(job.occurrences), job.created]:
        if first < number:
            ranges.append((first, number - 1))
        first = number + 1
    return ranges
