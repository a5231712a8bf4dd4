"""Encode until when unanswered starts of tasks may still take effect.

Times are encoded as what is left of them, as hosts share no clock. A new
owner counts it from its recovery, so its tasks wait longer, never less.
"""

import collections.abc
import math

import msgspec

from hibiscusslip.dispatch import state

MS_PER_S = 1000


class DelayRow(msgspec.Struct, array_like=True):
    """A task that mustn't be started for `left_ms` milliseconds."""

    occurrence: int
    step: int
    index: int
    left_ms: int


def encode(step: state.StepState, now: float) -> list[DelayRow]:
    """Return the rows of the tasks of a step that mustn't be started yet."""
    return [
        DelayRow(
            step.occurrence,
            step.number,
            task.index,
            math.ceil((task.not_before - now) * MS_PER_S),
        )
        for task in step.tasks
        if task.not_before > now
    ]


def restore(
    job: state.Job, rows: collections.abc.Iterable[DelayRow], now: float
) -> None:
    """Delay the next starts of the tasks in these rows."""
    for row in rows:
        task = job.occurrences[row.occurrence][row.step].tasks[row.index]
        task.not_before = now + row.left_ms / MS_PER_S
