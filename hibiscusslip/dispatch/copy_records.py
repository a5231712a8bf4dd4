"""Encode the second runs of tasks in a job's record, and restore them."""

import msgspec

from hibiscusslip.dispatch import second_runs
from hibiscusslip.dispatch import state


class CopyRow(msgspec.Struct, array_like=True):
    """The second run of a task, and the number of its copy.

    `run` is 0 if there is no second run any more.
    """

    occurrence: int
    step: int
    index: int
    copy_run: int
    run: int
    endpoint: str
    address: str
    born: float
    confirmed: bool


def encode(step: state.StepState) -> list[CopyRow]:
    """Return the rows of a step's tasks that have, or had, a second run."""
    return [
        _encode_task(step, task)
        for task in step.tasks
        if task.second is not None
        or (task.copy_run and task.status is not state.Status.DONE)
    ]


def _encode_task(step: state.StepState, task: state.Task) -> CopyRow:
    second = task.second or second_runs.SecondRun(0, '', '', 0.0)
    return CopyRow(
        step.occurrence,
        step.number,
        task.index,
        task.copy_run,
        second.run,
        second.endpoint,
        second.address,
        second.born,
        second.confirmed,
    )


def restore(job: state.Job, row: CopyRow) -> None:
    """Apply a row to a job, whose task has its current run already."""
    task = job.occurrences[row.occurrence][row.step].tasks[row.index]
    task.copy_run = row.copy_run
    if row.run:
        task.second = second_runs.SecondRun(
            row.run, row.endpoint, row.address, row.born, row.confirmed
        )
