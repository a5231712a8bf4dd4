"""Order the steps that wait by what is lost if they wait on.

The pattern it answers: bursts of twice one kind of work on a pool that is
three quarters busy. Work that is still worth something goes by its queue's
priority; within one priority what can be on time goes before what is late,
by how soon it has to start. What is worth nothing any more goes last, the
oldest first.
"""

import dataclasses

from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import state

LONG_RUNNING_WAIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Hold the place of a step in the order; the lowest goes first."""

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
    """Return the place of a step; `remaining` is its chain of work."""
    if step.spec.long_running:
        slack = LONG_RUNNING_WAIT_S - (now - step.waiting_since)
        return Rank(False, priority, False, slack, step.name)
    slack = objective.on_time_until - now - remaining
    if slack >= 0:
        return Rank(False, priority, False, slack, step.name)
    slack = objective.useful_until - now - remaining
    if slack >= 0:
        return Rank(False, priority, True, slack, step.name)
    return Rank(True, priority, True, step.job.submitted, step.name)
