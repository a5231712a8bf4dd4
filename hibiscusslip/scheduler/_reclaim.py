"""Reclaim lent resources for kinds below their guarantee."""

import dataclasses
import random

from hibiscusslip.model import fair_share
from hibiscusslip.model import work
from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _ledger
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base

CHECK_INTERVAL_S = 0.25
ENDPOINTS_SAMPLED = 12
MAX_PREEMPTS_PER_CHECK = 8
RECLAIM_TIMEOUT_S = 30.0
CHECKPOINT_COST_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """Represent a task that could be preempted and the work lost by it.

    `cost` is in seconds, weighted by the task's dominant share.
    """

    job: _jobs.Job
    task: str
    need: _vector.Vector
    method: base.ReclaimMethod
    cost: float


class Reclaimer:
    """Choose which tasks to preempt on borrowed capacity, the cheapest first.

    The cost is the work lost: what a stopped task has run so far, or what
    saving and restoring a checkpoint takes.
    """

    def __init__(
        self,
        ledger: _ledger.Ledger,
        rng: random.Random,
    ) -> None:
        self._ledger = ledger
        self._rng = rng
        self._pending_reclaims: dict[
            str, tuple[str, _vector.Vector, float]
        ] = {}
        self._next_check = 0.0

    def forget(self, task: str) -> None:
        """Forget the pending reclaim of a task that has terminated."""
        self._pending_reclaims.pop(task, None)

    def check(self, now: float) -> list[base.Preempt]:
        """Return what to preempt now; do nothing between check intervals."""
        if now < self._next_check:
            return []
        self._next_check = now + CHECK_INTERVAL_S
        self._expire_pending(now)
        preempts: list[base.Preempt] = []
        for kind, account in self._ledger.accounts.kinds.items():
            if (
                account.guarantee_ratio < 1.0
                and self._ledger.queued_by_kind[kind]
            ):
                preempts.extend(self._preempts_for_kind(kind, now))
        return preempts

    def _expire_pending(self, now: float) -> None:
        old = [t for t, row in self._pending_reclaims.items() if row[2] <= now]
        for task in old:
            del self._pending_reclaims[task]

    def _preempts_for_kind(self, kind: str, now: float) -> list[base.Preempt]:
        preempts: list[base.Preempt] = []
        borrowers = self._borrowing_kinds(kind)
        if not borrowers:
            return preempts
        for waiting_job in self._ledger.order.first_jobs(kind):
            for _ in range(len(waiting_job.pending)):
                if len(preempts) >= MAX_PREEMPTS_PER_CHECK:
                    return preempts
                if not self._needs_more(kind, waiting_job):
                    break
                victims = self._cheapest_victims(waiting_job, borrowers, now)
                if not victims:
                    break
                preempts.extend(self._preempt(kind, victims, now))
        return preempts

    def _borrowing_kinds(self, kind: str) -> set[str]:
        kinds = self._ledger.accounts.kinds.items()
        return {k for k, a in kinds if k != kind and a.guarantee_ratio > 1.0}

    def _needs_more(self, kind: str, waiting_job: _jobs.Job) -> bool:
        """Return True if a kind needs one more task's worth reclaimed.

        What pending preemptions will free for the kind counts as reclaimed.
        """
        account = self._ledger.accounts.kind(kind)
        pending_amount = _vector.ZERO
        for beneficiary, amount, _ in self._pending_reclaims.values():
            if beneficiary == kind:
                pending_amount = _vector.add(pending_amount, amount)
        queued = self._ledger.queued_demand[kind]
        left = _vector.sub(account.guarantee, account.held)
        want = _vector.sub(_vector.minimum(left, queued), pending_amount)
        return _vector.fits(waiting_job.demand, want)

    def _cheapest_victims(
        self, waiting_job: _jobs.Job, borrowers: set[str], now: float
    ) -> list[Victim]:
        endpoints = self._ledger.inventory.sample(ENDPOINTS_SAMPLED, self._rng)
        best: list[Victim] = []
        lowest_cost = float('inf')
        for endpoint in endpoints:
            victims = self._victims(
                endpoint, waiting_job.demand, borrowers, now
            )
            cost = sum(victim.cost for victim in victims)
            if victims and cost < lowest_cost:
                best, lowest_cost = victims, cost
        return best

    def _victims(
        self,
        endpoint: _endpoints.Endpoint,
        need: _vector.Vector,
        borrowers: set[str],
        now: float,
    ) -> list[Victim]:
        free = endpoint.free
        if not endpoint.usable or not _vector.fits(need, endpoint.capacity):
            return []
        chosen = []
        for victim in self._candidates(endpoint, borrowers, now):
            chosen.append(victim)
            free = _vector.add(free, victim.need)
            if _vector.fits(need, free):
                return chosen
        return []

    def _candidates(
        self, endpoint: _endpoints.Endpoint, borrowers: set[str], now: float
    ) -> list[Victim]:
        victims = []
        for task, need in endpoint.tasks.items():
            job = self._ledger.jobs.get(work.job_of(task))
            if job is None or task in self._pending_reclaims:
                continue
            if job.started_at.get(work.index_of(task), now) >= now:
                continue
            if job.spec.kind in borrowers and _is_preemptible(job):
                victims.append(self._make_victim(job, task, need, now))
        return sorted(victims, key=lambda v: (-v.job.spec.urgency, v.cost))

    def _make_victim(
        self, job: _jobs.Job, task: str, need: _vector.Vector, now: float
    ) -> Victim:
        elapsed = now - job.started_at.get(work.index_of(task), now)
        size = fair_share.dominant_share(need, self._ledger.accounts.capacity)
        if elapsed <= CHECKPOINT_COST_S:
            return Victim(
                job, task, need, base.ReclaimMethod.STOP, elapsed * size
            )
        method = base.ReclaimMethod.CHECKPOINT
        return Victim(job, task, need, method, CHECKPOINT_COST_S * size)

    def _preempt(
        self, kind: str, victims: list[Victim], now: float
    ) -> list[base.Preempt]:
        preempts = []
        for victim in victims:
            until = now + RECLAIM_TIMEOUT_S
            self._pending_reclaims[victim.task] = (kind, victim.need, until)
            reason = (
                f'kind {victim.job.spec.kind} holds more than its guarantee '
                f'and kind {kind} waits below its own'
            )
            preempts.append(base.Preempt(victim.task, victim.method, reason))
        return preempts


def throttle_for(
    endpoint: _endpoints.Endpoint, ledger: _ledger.Ledger
) -> base.Preempt | None:
    """Return the throttling of the least urgent task of an endpoint.

    Return None unless the allocations exceed the endpoint's processors.
    """
    if endpoint.free[0] >= 0:
        return None
    rows = []
    for task in endpoint.tasks:
        job = ledger.jobs.get(work.job_of(task))
        if job is not None:
            rows.append((job.spec.urgency, job.seq, task))
    if not rows:
        return None
    reason = f'endpoint {endpoint.name} runs more than it has processors for'
    return base.Preempt(max(rows)[2], base.ReclaimMethod.THROTTLE, reason)


def _is_preemptible(job: _jobs.Job) -> bool:
    """Return True if a task may be stopped and run again later."""
    if job.gang or job.foreign or not job.accepted:
        return False
    return job.spec.repeatable and job.spec.form is work.Form.BATCH
