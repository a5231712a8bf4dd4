"""Create the occurrences of jobs once they are due."""

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

# Of a periodic job whose occurrences are due faster than they are completed.
MAX_OPEN_TASKS = 5_000


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
    return steps


def next_due(job: state.Job, wall_time: float) -> int | None:
    """Return the number of the next occurrence if it may be created now."""
    number = len(job.occurrences)
    if number >= job.spec.times:
        return None
    if wall_time < job.spec.first_due + number * job.spec.interval:
        return None
    return number if _count_open_tasks(job) < MAX_OPEN_TASKS else None


def _count_open_tasks(job: state.Job) -> int:
    return sum(len(step.tasks) - step.done_count for step in job.steps())
