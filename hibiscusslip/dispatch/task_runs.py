"""Keep track of the one or two runs of a task.

A task has one current run. A task of a step that allows copies may have a
second one. The run that ends is made the current one first, so that its end
is handled as that of any run; if it has to be replaced, the other run takes
its place.
"""

from hibiscusslip.dispatch import second_runs
from hibiscusslip.dispatch import state


def next_run(task: state.Task) -> int:
    """Return the number of a task's next run, higher than all before."""
    return 1 + max(task.run, task.copy_run)


def find_second(task: state.Task, run: int) -> second_runs.SecondRun | None:
    """Return the second run if it has this number, else None."""
    second = task.second
    return second if second is not None and second.run == run else None


def to_stop(task: state.Task) -> list[int]:
    """Return the runs to stop when the task's job ends."""
    runs = [task.run] if task.status.placed else []
    if task.second is not None and task.status is not state.Status.DONE:
        runs.append(task.second.run)
    return runs


def place_of(task: state.Task, run: int) -> tuple[str, int]:
    """Return the endpoint and number of the second run if it is `run`.

    Else those of the current run.
    """
    second = find_second(task, run)
    if second is not None:
        return second.endpoint, second.run
    return task.endpoint, task.run


def started_at(task: state.Task, run: int) -> float:
    """Return when the second run started if it is `run`, else the current."""
    second = find_second(task, run)
    return task.started_at if second is None else second.started_at


def is_running(task: state.Task, run: int) -> bool:
    """Return True if the second run, if it is `run`, has started.

    Else True if the current run has.
    """
    second = find_second(task, run)
    if second is not None:
        return second.confirmed
    return task.status is state.Status.RUNNING


def is_expected(task: state.Task, endpoint: str, run: int) -> bool:
    """Return True if this run of a task should be active on an endpoint."""
    if not task.status.placed or task.step.job.state.final:
        return False
    return place_of(task, run) == (endpoint, run)


def confirm(task: state.Task, run: int, now: float) -> None:
    """Record that a run is known to have started."""
    second = find_second(task, run)
    if second is not None:
        second.confirmed = True
        second.started_at = second.started_at or now
    elif task.run == run and task.status is state.Status.STARTING:
        task.status = state.Status.RUNNING
        task.started_at = task.started_at or now


def make_current(task: state.Task, run: int) -> bool:
    """Make the second run the current one if it is `run`.

    Returns False if it isn't. The second run of a task that is done, or has
    failed, is dropped: only its end was awaited.
    """
    second = find_second(task, run)
    if second is None:
        return False
    if not task.status.placed:
        task.second = None
        return True
    current = second_runs.SecondRun(
        task.run,
        task.endpoint,
        task.address,
        task.born,
        task.status is state.Status.RUNNING,
        task.started_at,
    )
    _set_current(task, second)
    task.second = current
    return True


def replace_current(task: state.Task) -> bool:
    """Replace a current run that has ended by the second run.

    Returns False if there is none.
    """
    second = task.second
    if second is None:
        return False
    _set_current(task, second)
    task.second = None
    return True


def is_needless(task: state.Task, run: int) -> bool:
    """Return True for a copy that has become needless before its start."""
    return run == task.copy_run and not is_active(task)


def is_active(task: state.Task) -> bool:
    """Return True if runs of the task are still of use."""
    return task.status.placed and not task.step.job.state.final


def _set_current(task: state.Task, run: second_runs.SecondRun) -> None:
    task.run = run.run
    task.endpoint = run.endpoint
    task.address = run.address
    task.born = run.born
    task.started_at = run.started_at
    task.status = (
        state.Status.RUNNING if run.confirmed else state.Status.STARTING
    )
