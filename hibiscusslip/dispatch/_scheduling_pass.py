"""The state of a scheduling pass, and the capacity it may use."""

import dataclasses
import typing

from hibiscusslip.dispatch import _headroom
from hibiscusslip.dispatch import _preempting
from hibiscusslip.dispatch import _reservations
from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import holdings
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines


@dataclasses.dataclass(slots=True, eq=False)
class Pass:
    """The state of one scheduling pass.

    `urgent` maps a service to the priority of its urgent queues, `headroom` to
    the CPU to keep free for them and `spare` to that which other queues may
    use, both in thousandths of a core. `reserved` are the endpoints reserved
    for large steps, `largest` are the largest demands of each service if
    endpoints' speeds are considered. `half_free` are the services of which
    less than half of the CPU is in use, `jobs_with_runs` tells of some jobs
    whether they have any. `allotted_starts` has how many more each job may
    decide in this pass. `contended` maps a service to the
    lowest share level among its ready steps that are within their entitlement.
    """

    engine: 'engines.Engine'
    services: dict[str, list[state.Endpoint]]
    candidates: dict[str, candidate_pool.Candidates]
    now: float
    spare: dict[str, float] = dataclasses.field(default_factory=dict)
    headroom: dict[str, float] = dataclasses.field(default_factory=dict)
    urgent: dict[str, int] = dataclasses.field(default_factory=dict)
    half_free: set[str] = dataclasses.field(default_factory=set)
    jobs_with_runs: dict[str, bool] = dataclasses.field(default_factory=dict)
    allotted_starts: dict[str, int] = dataclasses.field(default_factory=dict)
    reserved: _reservations.Reservations = dataclasses.field(
        default_factory=_reservations.Reservations
    )
    preempting: _preempting.Preempting = dataclasses.field(
        default_factory=_preempting.Preempting
    )
    largest: dict[str, model.Demand] = dataclasses.field(default_factory=dict)
    contended: dict[str, holdings.Level] = dataclasses.field(
        default_factory=dict
    )


def starts_allowed(current: Pass, step: state.StepState) -> int:
    """Return how many tasks of a step the pass may start now.

    A job gets half of what is left when its first step is looked at, so that
    the others aren't kept from free capacity until all its tasks are sent.
    """
    left = current.engine.starts_left
    job_id = step.job.job_id
    allotted = current.allotted_starts.setdefault(job_id, (left + 1) // 2)
    return max(min(allotted, left), 0)


def find_half_free(current: Pass) -> None:
    """Find the services of which less than half of the CPU is in use."""
    current.half_free = {
        service
        for service, pool in current.services.items()
        if 2 * sum(e.used.cpu for e in pool)
        < sum(e.entry.capacity.cpu for e in pool if e.entry is not None)
    }


def compute_spare(current: Pass) -> None:
    """Compute for each service the CPU that non-urgent queues may use."""
    engine = current.engine
    for service, pool in current.services.items():
        priority = _headroom.urgent_priority(engine.config, service)
        if priority is None or engine.config is None:
            continue
        headroom = engine.headroom.setdefault(service, _headroom.Headroom())
        if headroom.is_stale(current.now):
            use = _headroom.urgent_use(pool, engine.config.queues, priority)
            headroom.update(use, current.now)
        candidates = current.candidates[service].all
        size = sum(candidate.entry.capacity.cpu for candidate in candidates)
        free = sum(candidate.cpu for candidate in candidates)
        current.urgent[service] = priority
        target = headroom.target(size)
        current.headroom[service] = target
        current.spare[service] = free - target


def limit_to_spare(
    current: Pass, step: state.StepState, tasks: list[state.Task]
) -> list[state.Task]:
    """Return the tasks that may start without use of the headroom."""
    if may_use_headroom(current, step):
        return tasks
    cpu = step.spec.allocated_demand.cpu
    max_tasks = max(int(_spare_for(current, step) // cpu), 0)
    if step.spec.gang and max_tasks < len(tasks):
        return []
    return tasks[:max_tasks]


def may_use_headroom(current: Pass, step: state.StepState) -> bool:
    """Return True if the headroom isn't kept free of a step.

    Tasks that last may use it, as nothing that ends makes room for them.
    """
    urgent = current.urgent.get(step.job.service)
    spec = step.spec
    if urgent is None or not spec.allocated_demand.cpu:
        return True
    if spec.demand.accelerators or spec.long_running:
        return True
    is_urgent = current.engine.queue_of(step.job).priority <= urgent
    return is_urgent and step.job.within_entitlement


def lacks_spare(current: Pass, step: state.StepState) -> bool:
    """Return True if no task of a step beyond an entitlement may start."""
    if step.job.service not in current.spare:
        return False
    if step.spec.demand.accelerators or step.spec.long_running:
        return False
    return _spare_for(current, step) < step.spec.allocated_demand.cpu


def _spare_for(current: Pass, step: state.StepState) -> float:
    """Return the CPU that a step may use, in thousandths of a core.

    Steps beyond an entitlement leave twice the headroom: what they leave is
    in pieces, many of which are too small for a task.
    """
    service = step.job.service
    spare = current.spare[service]
    if step.job.within_entitlement:
        return spare
    return spare - current.headroom[service]


def plan_run(current: Pass, step: state.StepState) -> _reservations.PlannedRun:
    """Return what a task of a step would take of an endpoint."""
    return _reservations.PlannedRun(
        step.spec.allocated_demand,
        current.engine.estimates.run_time(step),
        may_use_headroom(current, step),
        step.spec.all_or_none,
    )


def find_unreserved(
    current: Pass,
    step: state.StepState,
    candidates: list[candidate_pool.Candidate],
) -> list[candidate_pool.Candidate]:
    """Return the candidates on which a task of a step may start."""
    if not current.reserved.until:
        return candidates
    run = plan_run(current, step)
    return [
        candidate
        for candidate in candidates
        if current.reserved.admits(candidate, run, current.now)
    ]
