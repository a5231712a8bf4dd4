"""Choose runs to stop when urgent work finds no free capacity.

Patient runs are those of less urgent queues whose steps have slack left and
resume from a checkpoint. Headroom follows the average use of the urgent
queues, so it lags behind a burst; stopping patient runs covers the difference.

Only the missing CPU is freed, and each task is preempted once at most, so
that a long burst doesn't stop and restart it repeatedly.
"""

import collections.abc
import dataclasses

from hibiscusslip.dispatch import state

PERIOD_S = 0.1  # between two decisions for a service; each scans all runs
MIN_SLACK_S = 3.0  # that a preempted task has left, to wait and to resume


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
class Run:
    """A run that may be stopped.

    `slack` is for how many seconds its step can wait and still be on time.
    """

    allocation: state.Allocation
    slack: float
    priority: int


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


def choose(
    shortage: Shortage, missing: int, runs: collections.abc.Iterable[Run]
) -> list[state.Task]:
    """Return the tasks to stop, those with the most slack first."""
    patient = [
        run
        for run in runs
        if run.priority > shortage.priority and run.slack >= MIN_SLACK_S
    ]
    patient.sort(key=lambda run: (-run.priority, -run.slack))
    chosen = []
    for run in patient:
        if missing <= 0:
            break
        assert run.allocation.task is not None
        missing -= run.allocation.demand.cpu
        chosen.append(run.allocation.task)
    return chosen
