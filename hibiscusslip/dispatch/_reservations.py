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

from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import pool_rating
from hibiscusslip.dispatch import preemption
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

LARGE_SHARE = 0.4  # of the CPU of the largest endpoint
MIN_REMAINING_S = 0.3  # expected of a run that is stopping or overdue
MIN_PREEMPT_WAIT_S = 1.0  # a shorter wait isn't worth a preemption
NEVER = float('inf')


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedRun:
    """What a task would take of an endpoint, and for how many seconds.

    The `run_time` is that at ordinary speed. `all_or_none` tasks are only
    placed together, so none can be left out if too many would start beside a
    reservation.
    """

    demand: model.Demand
    run_time: float
    may_use_headroom: bool
    all_or_none: bool


@dataclasses.dataclass(slots=True)
class Reservations:
    """The endpoints reserved in a scheduling pass, and until when.

    `until` is when the capacity for the step should be free: tasks that
    complete by then may still be started. Where it is free now, the step waits
    for something else, such as other endpoints; tasks that fit in what is
    `left` beside it may start there. The endpoints in `for_spare` have it now
    for a step that may not use the headroom and waits for CPU beyond it: steps
    that may use the headroom aren't kept off them.
    """

    until: dict[str, float] = dataclasses.field(default_factory=dict)
    left: dict[str, model.Demand] = dataclasses.field(default_factory=dict)
    for_spare: set[str] = dataclasses.field(default_factory=set)

    def admits(
        self,
        candidate: candidate_pool.Candidate,
        run: PlannedRun,
        now: float,
    ) -> bool:
        """Return True if one task may start on a candidate."""
        if not self._outlasts(candidate, run, now):
            return True
        name = candidate.endpoint.name
        if run.may_use_headroom and name in self.for_spare:
            return True
        left = self.left.get(name)
        if left is None or run.all_or_none:
            return False
        return run.demand.fits(left)

    def take(
        self,
        candidate: candidate_pool.Candidate,
        run: PlannedRun,
        now: float,
    ) -> bool:
        """Subtract a task from what is left; return False if it may not start.

        Several tasks may have been placed where `admits` allowed one.
        """
        if not self.admits(candidate, run, now):
            return False
        if self._outlasts(candidate, run, now):
            name = candidate.endpoint.name
            self.left[name] = self.left[name] - run.demand
        return True

    def add(self, request: 'Request', claim: '_Claim', now: float) -> None:
        """Reserve what a claim takes."""
        option = claim.option
        name = option.endpoint.name
        self.until[name] = claim.until
        if option.free_at <= now:
            demand = request.step.spec.allocated_demand
            free = option.endpoint.free_capacity()
            self.left[name] = free - demand.times(option.count)
            if request.lacks_spare:
                self.for_spare.add(name)

    def _outlasts(
        self,
        candidate: candidate_pool.Candidate,
        run: PlannedRun,
        now: float,
    ) -> bool:
        """Return True if a task would still run when a reservation begins."""
        until = self.until.get(candidate.endpoint.name)
        return (
            until is not None and now + run.run_time / candidate.speed > until
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a step wants to have reserved.

    `needed` is the number of its tasks that could start and wait for capacity.
    Only a step that can still be on time preempts others. One that
    `lacks_spare` may not use the CPU that is free, as it is headroom.
    """

    step: state.StepState
    needed: int
    can_be_on_time: bool
    lacks_spare: bool = False

    @property
    def all_or_none(self) -> bool:
        """Return True if the step's tasks are only placed together."""
        return self.step.spec.all_or_none


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    """An endpoint that has capacity for `count` tasks from `free_at` on.

    The step's spread allows these tasks from `allowed_at` on, which is no
    later.
    """

    free_at: float
    allowed_at: float
    endpoint: state.Endpoint
    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """An option, the runs to stop for it, and when it should be free then."""

    option: _Option
    until: float
    victims: tuple[state.Allocation, ...] = ()


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
    request: Request,
    endpoints: list[state.Endpoint],
    now: float,
) -> None:
    """Reserve the endpoints that will have capacity for a step soonest.

    A step whose tasks are only placed together reserves none if they don't
    fit even when all of these endpoints are free.
    """
    options = [
        option
        for endpoint in endpoints
        if endpoint.name not in reservations.until
        and (option := _make_option(engine, request, endpoint, now))
    ]
    if request.all_or_none:
        if sum(option.count for option in options) < request.needed:
            return
    options.sort(key=lambda option: option.free_at)
    claims = _claim(engine, request, options, now)
    for claim in claims:
        reservations.add(request, claim, now)
        _stop(engine, request.step, claim, now)


def _claim(
    engine: 'engines.Engine',
    request: Request,
    options: list[_Option],
    now: float,
) -> list[_Claim]:
    """Claim the first options that suffice.

    Tasks that are only placed together can use none of them before all are
    free, and no run is stopped unless that makes them start sooner.
    """
    claims = []
    needed = request.needed
    for option in options:
        if needed <= 0:
            break
        claims.append(_claim_option(engine, request, option, now))
        needed -= option.count
    if not request.all_or_none or not claims:
        return claims
    last_free_at = max(claim.option.free_at for claim in claims)
    until = max(claim.until for claim in claims)
    if until + MIN_PREEMPT_WAIT_S > last_free_at:
        return [_Claim(claim.option, last_free_at) for claim in claims]
    return [_Claim(claim.option, until, claim.victims) for claim in claims]


def _claim_option(
    engine: 'engines.Engine',
    request: Request,
    option: _Option,
    now: float,
) -> _Claim:
    """Claim an option; stop runs if that frees it sooner."""
    soon = now + MIN_PREEMPT_WAIT_S
    if not request.can_be_on_time or option.free_at <= soon:
        return _Claim(option, option.free_at)
    if option.allowed_at > soon:
        return _Claim(option, option.free_at)
    victims = _choose_victims(engine, request.step, option, now)
    if victims is None:
        return _Claim(option, option.free_at)
    return _Claim(option, now + MIN_REMAINING_S, victims)


def _make_option(
    engine: 'engines.Engine',
    request: Request,
    endpoint: state.Endpoint,
    now: float,
) -> _Option | None:
    """Return how many of the needed tasks an endpoint can run, and when.

    Returns None if it will never have capacity for one of them, or if the
    step's spread never allows one.
    """
    assert endpoint.entry is not None
    step = request.step
    ends = _ends_of_step(engine, step, endpoint, now)
    lasting = sum(end == NEVER for end in ends)
    max_tasks = (step.spec.spread or request.needed + lasting) - lasting
    demand = step.spec.allocated_demand
    count = pool_rating.count_fitting(
        demand, endpoint.entry.capacity, min(request.needed, max_tasks)
    )
    if not count:
        return None
    total = demand.times(count)
    allowed_at = _allowed_at(step, count, ends, now)
    free_at = max(_free_at(engine, endpoint, total, now), allowed_at)
    if free_at == NEVER:
        return None
    return _Option(free_at, allowed_at, endpoint, count)


def _ends_of_step(
    engine: 'engines.Engine',
    step: state.StepState,
    endpoint: state.Endpoint,
    now: float,
) -> list[float]:
    """Return when the runs of a step on an endpoint should end, in order."""
    return sorted(
        _expected_end(engine, endpoint, allocation, now)
        for allocation in endpoint.allocations.values()
        if allocation.task is not None
        and allocation.task.step is step
        and task_runs.is_expected(
            allocation.task, endpoint.name, allocation.run
        )
    )


def _allowed_at(
    step: state.StepState, count: int, ends: list[float], now: float
) -> float:
    """Return when a step's spread allows `count` more tasks on an endpoint.

    `ends` are the ends of its runs there, in ascending order.
    """
    if not step.spec.spread:
        return now
    excess = len(ends) + count - step.spec.spread
    return ends[excess - 1] if excess > 0 else now


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


def _choose_victims(
    engine: 'engines.Engine',
    step: state.StepState,
    option: _Option,
    now: float,
) -> tuple[state.Allocation, ...] | None:
    """Return the runs to stop so that an option's capacity gets free.

    Returns None if stopping runs wouldn't free enough. Those that are about to
    end aren't stopped.
    """
    endpoint = option.endpoint
    demand = step.spec.allocated_demand.times(option.count)
    free = endpoint.free_capacity()
    victims = []
    for allocation, stop_estimate in _victims(engine, step, endpoint, now):
        if demand.fits(free):
            break
        free = free + allocation.demand
        if not stop_estimate.is_ending:
            victims.append(allocation)
    return tuple(victims) if demand.fits(free) else None


def _stop(
    engine: 'engines.Engine',
    step: state.StepState,
    claim: _Claim,
    now: float,
) -> None:
    """Stop the runs that a claim stops."""
    for allocation in claim.victims:
        assert allocation.task is not None
        reason = f'makes way for {step.name}'
        engine.stop(allocation.task, reason, now, allocation.run)


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
