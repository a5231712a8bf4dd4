"""Decide whether a task that has failed may be started once more.

How often a task may fail is a setting of its queue. Where that isn't known, a
failed task waits: neither the end of its job nor a start beyond the last
attempt could be taken back.
"""

import typing

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines


def has_attempt_left(
    engine: 'engines.Engine', task: state.Task
) -> bool | None:
    """Return True if a task may fail once more, None if that isn't known."""
    failures = _count_failures(task)
    if not failures:
        return True
    queue = engine.known_queue_of(task.step.job)
    return None if queue is None else failures < queue.max_attempts


def may_start(engine: 'engines.Engine', task: state.Task) -> bool:
    """Return True if a task may be started; hold it if it may not."""
    if has_attempt_left(engine, task):
        return True
    hold(engine, task)
    return False


def hold(engine: 'engines.Engine', task: state.Task) -> None:
    """Keep a task waiting until its attempts can be counted."""
    if task.name in engine.held_tasks:
        return
    engine.held_tasks[task.name] = task
    job = task.step.job
    engine.note(
        'retry_held',
        step=task.step.name,
        task=task.name,
        failures=_count_failures(task),
        queue=job.queue,
        version=engine.config.version if engine.config else None,
    )


def decide_held(engine: 'engines.Engine', now: float) -> None:
    """Release the held tasks that may start, and end jobs without attempts."""
    for task in list(engine.held_tasks.values()):
        job = task.step.job
        if job.state.final or task.status is not state.Status.WAITING:
            del engine.held_tasks[task.name]
            continue
        left = has_attempt_left(engine, task)
        if left is None:
            continue
        del engine.held_tasks[task.name]
        engine.note('retry_decided', task=task.name, starts=left)
        if not left:
            task.status = state.Status.FAILED
            engine.finish(job, model.JobState.FAILED, now)


def _count_failures(task: state.Task) -> int:
    """Return how many runs have failed; those of a gang count together."""
    step = task.step
    return step.failures if step.spec.gang else task.failures
