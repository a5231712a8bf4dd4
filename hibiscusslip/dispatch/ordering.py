"""Order the steps that wait by what is lost if they wait on.

The pattern it answers: bursts of twice one kind of work on a pool that is
three quarters busy. Work that can still be on time goes first, by its queue's
priority and then by how soon it has to start; then what is still worth
something late; then the rest, the oldest first.
"""

import dataclasses

from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import state

LASTING_PATIENCE_S = 0.5
ON_TIME = 0
LATE = 1
EXPIRED = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Hold the place of a step in the order; the lowest goes first."""

    tier: int
    priority: int
    slack: float
    ident: str


def rank(
    step: state.StepState,
    objective: estimates.Objective,
    remaining: float,
    priority: int,
    now: float,
) -> Rank:
    """Return the place of a step; `remaining` is its chain of work."""
    if step.spec.lasts:
        slack = LASTING_PATIENCE_S - (now - step.waiting_since)
        return Rank(ON_TIME, priority, slack, step.name)
    slack = objective.on_time - now - remaining
    if slack >= 0:
        return Rank(ON_TIME, priority, slack, step.name)
    slack = objective.last - now - remaining
    if slack >= 0:
        return Rank(LATE, priority, slack, step.name)
    return Rank(EXPIRED, 0, step.job.submitted, step.name)
