"""Rank the waiting steps by how much is lost if they wait longer.

The order has to cope with a burst of one kind of work, at twice its usual
rate, on a pool that is three quarters busy. Work that is still useful goes by
its queue's priority. Within one priority, work that can be on time goes
before late work, and the least slack first. Work that is of no use any more
goes last, the oldest first.
"""

import dataclasses

from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import state

LONG_RUNNING_WAIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """The sort key of a step; the lowest goes first.

    `slack` is how many seconds its start can wait without it becoming late,
    or useless if it is `late` already. For an `expired` step, which is
    useless, it is the time at which its job was submitted.
    """

    expired: bool
    priority: int
    late: bool
    slack: float
    name: str


def rank(
    step: state.StepState,
    objective: estimates.Objective,
    remaining: float,
    priority: int,
    now: float,
) -> Rank:
    """Return the rank of a step.

    `remaining` is the length of the critical path from this step on.
    """
    if step.spec.long_running:
        slack = LONG_RUNNING_WAIT_S - (now - step.waiting_since)
        return Rank(False, priority, False, slack, step.name)
    slack = objective.on_time_until - now - remaining
    if slack >= 0:
        return Rank(False, priority, False, slack, step.name)
    slack = objective.useful_until - now - remaining
    if slack >= 0:
        return Rank(False, priority, True, slack, step.name)
    return Rank(True, priority, True, step.job.submitted_at, step.name)
