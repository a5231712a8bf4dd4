"""Rank the waiting steps by how much is lost if they wait longer.

The order has to cope with a burst of one kind of work, at twice its usual
rate, on a pool that is three quarters busy. Work that is still useful and
within the entitlement of its organisation goes before work beyond it, and
then goes by its queue's priority. Within one priority, organisations above
their fair share yield to those below it; then work that can be on time goes
before late work, and the least slack first. Work that is of no use any more
goes last, the oldest first. Without organisations, no step is beyond an
entitlement or above a share.
"""

import dataclasses

from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import holdings
from hibiscusslip.dispatch import state

LONG_RUNNING_WAIT_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """The sort key of a step; the lowest goes first.

    A step is `beyond` its organisation's entitlement or not; `level` is how
    much the organisation holds compared with its fair share. `slack` is how
    many seconds its start can wait without it becoming late, or useless if it
    is `late` already. For an `expired` step, which is useless, it is the time
    at which its job was submitted.
    """

    expired: bool
    beyond: bool
    priority: int
    level: holdings.Level
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
    job = step.job
    beyond = not job.within_entitlement
    fair = holdings.Level.FAIR
    level = job.holding.level if job.holding is not None else fair

    def useful(late: bool, slack: float) -> Rank:
        return Rank(False, beyond, priority, level, late, slack, step.name)

    if step.spec.long_running:
        return useful(False, LONG_RUNNING_WAIT_S - (now - step.waiting_since))
    slack = objective.on_time_until - now - remaining
    if slack >= 0:
        return useful(False, slack)
    slack = objective.useful_until - now - remaining
    if slack >= 0:
        return useful(True, slack)
    return Rank(
        True, beyond, priority, fair, True, job.submitted_at, step.name
    )
