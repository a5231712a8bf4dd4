"""Choose runs to stop when urgent work finds no free capacity.

Patient runs are those of less urgent queues whose steps have slack left and
resume from a checkpoint. Headroom follows the average use of the urgent
queues, so it lags behind a burst; stopping patient runs covers the difference.

Only the missing CPU is freed, and each task is preempted once at most, so
that a long burst doesn't stop and restart it repeatedly.

With learned run times, the runs that lose the least work for the time that
they would have kept their CPU go first, and a run that is about to end isn't
stopped.
"""

import collections.abc
import dataclasses
import math

from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs

PERIOD_S = 0.1  # between two decisions for a service; each scans all runs
MIN_SLACK_S = 3.0  # that a preempted task has left, to wait and to resume
STOP_S = 0.3  # from the decision to stop a run until its CPU is free
RESTORE_S = 0.6  # to resume from a checkpoint; the platform's default


@dataclasses.dataclass(frozen=True, slots=True)
class Shortage:
    """The CPU of a service that urgent work needs, in thousandths of a core.

    `waiting` is the demand of the urgent tasks that found no capacity,
    `priority` the least urgent priority among them, `free` the CPU that is
    free on any endpoint, whether it fits such a task or not.
    """

    waiting: int
    priority: int
    free: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopEstimate:
    """Tell when a run ends unless it is stopped, and what a stop loses.

    Both are in seconds: `ends_in` from now, and `loss` of the run's time,
    which are the work since the last checkpoint and the time to restore it.
    """

    ends_in: float = math.inf
    loss: float = 0.0

    @property
    def is_ending(self) -> bool:
        """Return True if a stop would free the capacity no sooner."""
        return self.ends_in <= STOP_S

    @property
    def cost(self) -> float:
        """Return the loss for each second by which a stop is sooner."""
        return self.loss / max(self.ends_in - STOP_S, STOP_S)


UNKNOWN = StopEstimate()


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A run that may be stopped.

    `slack` is for how many seconds its step can wait and still be on time.
    """

    allocation: state.Allocation
    slack: float
    priority: int
    stop_estimate: StopEstimate = UNKNOWN


def missing_cpu(
    shortage: Shortage, allocations: collections.abc.Iterable[state.Allocation]
) -> int:
    """Return how much more CPU has to be freed, in thousandths of a core."""
    stopping = sum(
        allocation.demand.cpu
        for allocation in allocations
        if allocation.stop_requested_at
    )
    return shortage.waiting - shortage.free - stopping


def may_stop(allocation: state.Allocation) -> bool:
    """Return True if a run can be stopped without loss, for the first time.

    A task with a second run is late already, and would go on with that one.
    """
    task = allocation.task
    return (
        task is not None
        and not allocation.stop_requested_at
        and not task.preempted
        and task.second is None
        and task.step.spec.resumable
        and task.status is state.Status.RUNNING
        and task.run == allocation.run
    )


def estimate_stop(
    estimator: estimates.Estimates,
    endpoint: state.Endpoint,
    allocation: state.Allocation,
    now: float,
) -> StopEstimate:
    """Estimate the stop of a run; UNKNOWN unless run times are learned."""
    task = allocation.task
    if task is None or not estimator.policy.learned_run_times:
        return UNKNOWN
    started_at = task_runs.started_at(task, allocation.run) or now
    saved_at = max(started_at, allocation.checkpointed_at)
    end = estimator.expected_end(task, endpoint, started_at, now)
    ends_in = end - now
    if not estimator.knows(task.step):
        ends_in = max(ends_in, 2 * STOP_S)
    return StopEstimate(ends_in, now - saved_at + RESTORE_S)


def choose(
    shortage: Shortage, missing: int, runs: collections.abc.Iterable[Run]
) -> list[Run]:
    """Return the runs to stop, by what is lost and then the most slack.

    A run that is about to end frees its CPU without a stop.
    """
    patient = [
        run
        for run in runs
        if run.priority > shortage.priority and run.slack >= MIN_SLACK_S
    ]
    missing -= sum(
        run.allocation.demand.cpu
        for run in patient
        if run.stop_estimate.is_ending
    )
    patient = [run for run in patient if not run.stop_estimate.is_ending]
    patient.sort(
        key=lambda run: (-run.priority, run.stop_estimate.cost, -run.slack)
    )
    chosen = []
    for run in patient:
        if missing <= 0:
            break
        missing -= run.allocation.demand.cpu
        chosen.append(run)
    return chosen
