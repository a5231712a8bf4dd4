"""Define the exceptions of schedulers."""


class SchedulerError(Exception):
    """Base class of all errors of a scheduler."""


class UnknownTask(SchedulerError):
    """Report that the scheduler has no record of a task's job."""

    def __init__(self, task: str) -> None:
        super().__init__(
            f'no record of the job of task {task}: submit the job again'
        )
        self.task = task
