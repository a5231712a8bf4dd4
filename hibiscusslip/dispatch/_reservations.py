"""Reserve endpoints for steps that need much of an endpoint at once.

Some jobs need whole endpoints, or several at the same moment. On a busy pool
they would starve, because small tasks take up the capacity again whenever a
task completes. So the endpoints that will have enough free capacity soonest
are reserved for the first such step; tasks that complete before that may
still start there. Tasks of less urgent queues that checkpoint, and so lose no
work if stopped, are preempted.
"""

import dataclasses
import typing

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import preemption
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

LARGE_SHARE = 0.4  # of the CPU of the largest endpoint
MIN_REMAINING_S = 0.3  # expected of a run that is stopping or overdue
MIN_PREEMPT_WAIT_S = 1.0  # a shorter wait isn't worth a preemption
NEVER = float('inf')


@dataclasses.dataclass(slots=True)
class Reservations:
    """The endpoints reserved in a scheduling pass, and until when.

    `until` is when the capacity for the step should be free: tasks that
    complete by then may still be started.
    """

    until: dict[str, float] = dataclasses.field(default_factory=dict)

    def admits(
        self, endpoint: state.Endpoint, run_time: float, now: float
    ) -> bool:
        """Return True if a task of `run_time` seconds may start there."""
        until = self.until.get(endpoint.name)
        return until is None or now + run_time <= until


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    """An endpoint that has capacity for `count` tasks from `free_at` on."""

    free_at: float
    endpoint: state.Endpoint
    count: int


def is_large(step: state.StepState, max_endpoint_cpu: int) -> bool:
    """Return True if small tasks would fragment the capacity a step needs.

    `max_endpoint_cpu` is the CPU of the largest endpoint of the service.
    """
    demand = step.spec.allocated_demand
    if step.spec.gang or demand.accelerators > 1:
        return True
    return demand.cpu >= LARGE_SHARE * max_endpoint_cpu


def reserve(
    engine: 'engines.Engine',
    reservations: Reservations,
    step: state.StepState,
    needed: int,
    endpoints: list[state.Endpoint],
    can_be_on_time: bool,
    now: float,
) -> None:
    """Reserve the endpoints that will have capacity for a step soonest.

    `needed` is the number of its tasks that wait for capacity. Only a step
    that can still be on time preempts others. A gang that doesn't fit even
    when all of these endpoints are free reserves none.
    """
    options = [
        option
        for endpoint in endpoints
        if endpoint.name not in reservations.until
        and (option := _make_option(engine, step, endpoint, needed, now))
    ]
    if sum(option.count for option in options) < needed:
        if step.spec.gang:
            return
    options.sort(key=lambda option: option.free_at)
    for option in options:
        if needed <= 0:
            return
        until = option.free_at
        if can_be_on_time and until > now + MIN_PREEMPT_WAIT_S:
            until = _preempt(engine, step, option, now)
        reservations.until[option.endpoint.name] = until
        needed -= option.count


def _make_option(
    engine: 'engines.Engine',
    step: state.StepState,
    endpoint: state.Endpoint,
    needed: int,
    now: float,
) -> _Option | None:
    """Return how many of `needed` tasks an endpoint can run, and when.

    Returns None if it will never have capacity for one of them.
    """
    assert endpoint.entry is not None
    demand = step.spec.allocated_demand
    capacity = endpoint.entry.capacity
    count = 0
    total = model.Demand()
    max_tasks = step.spec.spread or needed
    while count < min(needed, max_tasks) and (total + demand).fits(capacity):
        total = total + demand
        count += 1
    if not count:
        return None
    free_at = _free_at(engine, endpoint, total, now)
    return None if free_at == NEVER else _Option(free_at, endpoint, count)


def _free_at(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    demand: model.Demand,
    now: float,
) -> float:
    """Return when so much capacity should be free on an endpoint.

    NEVER if a run would have to end that isn't expected to.
    """
    free = endpoint.free_capacity()
    if demand.fits(free):
        return now
    ends = [
        (
            _expected_end(engine, endpoint, allocation, now),
            number,
            allocation.demand,
        )
        for number, allocation in enumerate(endpoint.allocations.values())
    ]
    for end, _, released in sorted(ends, key=lambda row: row[:2]):
        free = free + released
        if demand.fits(free):
            return end
    return NEVER


def _expected_end(
    engine: 'engines.Engine',
    endpoint: state.Endpoint,
    allocation: state.Allocation,
    now: float,
) -> float:
    task = allocation.task
    if allocation.stop_requested_at:
        return now + MIN_REMAINING_S
    if task is None or task.step.spec.long_running:
        return NEVER
    started_at = task_runs.started_at(task, allocation.run) or now
    end = engine.estimates.expected_end(task, endpoint, started_at, now)
    return max(end, now + MIN_REMAINING_S)


def _preempt(
    engine: 'engines.Engine',
    step: state.StepState,
    option: _Option,
    now: float,
) -> float:
    """Stop runs to free capacity for a step; return when it should be free.

    Stops none if that wouldn't free enough, and none that is about to end.
    """
    endpoint = option.endpoint
    demand = model.Demand()
    for _ in range(option.count):
        demand = demand + step.spec.allocated_demand
    free = endpoint.free_capacity()
    victims = []
    for allocation, stop_estimate in _victims(engine, step, endpoint, now):
        if demand.fits(free):
            break
        free = free + allocation.demand
        if not stop_estimate.is_ending:
            victims.append(allocation)
    if not demand.fits(free):
        return option.free_at
    for allocation in victims:
        assert allocation.task is not None
        reason = f'makes way for {step.name}'
        engine.stop(allocation.task, reason, now, allocation.run)
    return now + MIN_REMAINING_S


def _victims(
    engine: 'engines.Engine',
    step: state.StepState,
    endpoint: state.Endpoint,
    now: float,
) -> list[tuple[state.Allocation, preemption.StopEstimate]]:
    """Return the runs of less urgent queues that may be stopped.

    Those that are about to end come first, then those with the most
    accelerators, and then those whose stop loses the least. A step beyond an
    entitlement stops none that is within one.
    """
    queue = engine.known_queue_of(step.job)
    if queue is None:
        return []
    victims = []
    for allocation in endpoint.allocations.values():
        task = allocation.task
        if task is None or allocation.stop_requested_at:
            continue
        if not task.step.spec.resumable:
            continue
        if not task_runs.is_running(task, allocation.run):
            continue
        if task.step.job.within_entitlement > step.job.within_entitlement:
            continue
        if engine.queue_of(task.step.job).priority > queue.priority:
            stop_estimate = preemption.estimate_stop(
                engine.estimates, endpoint, allocation, now
            )
            victims.append((allocation, stop_estimate))
    victims.sort(
        key=lambda victim: (
            not victim[1].is_ending,
            -victim[0].demand.accelerators,
            victim[1].cost,
        )
    )
    return victims
