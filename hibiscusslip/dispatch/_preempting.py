"""Preempt patient work for the urgent steps of a scheduling pass."""

import typing

from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import preemption
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import engine as engines

MS_PER_S = 1000


class Preempting:
    """Collect the urgent demand that a pass couldn't place, by service."""

    def __init__(self) -> None:
        self._waiting: dict[str, int] = {}
        self._priority: dict[str, int] = {}

    def add(self, step: state.StepState, tasks: int, priority: int) -> None:
        """Add tasks of a step that can be on time and found no capacity."""
        service = step.job.service
        demand = tasks * step.spec.allocated_demand.cpu
        self._waiting[service] = self._waiting.get(service, 0) + demand
        known = self._priority.get(service, priority)
        self._priority[service] = max(known, priority)

    def preempt(
        self,
        engine: 'engines.Engine',
        pools: dict[str, list[state.Endpoint]],
        candidates: dict[str, candidate_pool.Candidates],
        now: float,
    ) -> None:
        """Stop runs of less urgent queues for what was added."""
        for service, waiting in self._waiting.items():
            if service not in pools:  # its last endpoint has just left
                continue
            headroom = engine.headroom[service]
            if now < headroom.next_preemption_at:
                continue
            headroom.next_preemption_at = now + preemption.PERIOD_S
            free = sum(c.cpu for c in candidates[service].all)
            shortage = preemption.Shortage(
                waiting, self._priority[service], free
            )
            _preempt_in_pool(engine, shortage, pools[service], now)


def _preempt_in_pool(
    engine: 'engines.Engine',
    shortage: preemption.Shortage,
    pool: list[state.Endpoint],
    now: float,
) -> None:
    allocations = [a for e in pool for a in e.allocations.values()]
    missing = preemption.missing_cpu(shortage, allocations)
    if missing <= 0:
        return
    runs = [
        _describe(engine, allocation, now)
        for allocation in allocations
        if preemption.may_stop(allocation)
    ]
    for run in preemption.choose(shortage, missing, runs):
        task = run.allocation.task
        assert task is not None
        task.preempted = True
        engine.note(
            'run_preempted',
            task=task.name,
            run=task.run,
            endpoint=task.endpoint,
            missing_cpu=missing,
            urgent_waiting_cpu=shortage.waiting,
            **_stop_estimate_fields(run.stop_estimate),
        )
        engine.stop(task, 'makes way for urgent work', now)


def _describe(
    engine: 'engines.Engine', allocation: state.Allocation, now: float
) -> preemption.Run:
    task = allocation.task
    assert task is not None
    step = task.step
    queue = engine.queue_of(step.job)
    objective = engine.estimates.objective(step.job, queue)
    remaining = engine.estimates.critical_path(step.job, step.number)
    slack = objective.on_time_until - now - remaining
    endpoint = engine.endpoints[task.endpoint]
    stop_estimate = preemption.estimate_stop(
        engine.estimates, endpoint, allocation, now
    )
    return preemption.Run(allocation, slack, queue.priority, stop_estimate)


def _stop_estimate_fields(
    stop_estimate: preemption.StopEstimate,
) -> dict[str, int]:
    """Return what is logged of an estimate, if run times are learned."""
    if stop_estimate is preemption.UNKNOWN:
        return {}
    return {
        'ends_in_ms': int(stop_estimate.ends_in * MS_PER_S),
        'loss_ms': int(stop_estimate.loss * MS_PER_S),
    }
