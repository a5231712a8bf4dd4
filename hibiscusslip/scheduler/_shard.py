"""Schedule the work of one shard."""

import collections
import random

from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.model import work
from hibiscusslip.scheduler import _accounts
from hibiscusslip.scheduler import _admission
from hibiscusslip.scheduler import _completions
from hibiscusslip.scheduler import _deadlines
from hibiscusslip.scheduler import _delays
from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _estimates
from hibiscusslip.scheduler import _fair
from hibiscusslip.scheduler import _gang_reservation
from hibiscusslip.scheduler import _health
from hibiscusslip.scheduler import _holds
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _ledger
from hibiscusslip.scheduler import _order
from hibiscusslip.scheduler import _placement
from hibiscusslip.scheduler import _reclaim
from hibiscusslip.scheduler import _remote_only
from hibiscusslip.scheduler import _starter
from hibiscusslip.scheduler import _summary
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import exceptions
from hibiscusslip.scheduler import limits

RECHECK_INTERVAL_S = 1.0
MAX_SHORT_RUN_S = 10.0


class ShardScheduler(base.Scheduler):
    """Schedule one shard by shares, urgency and fairness between teams."""

    def __init__(
        self,
        shard: places.Shard,
        policy: base.FleetPolicy,
        bounds: limits.Limits,
        rng: random.Random,
        placement: _placement.Placement,
        fair: bool,
    ) -> None:
        self._shard = shard
        self._bounds = bounds
        self._rng = rng
        inventory = _endpoints.Inventory()
        accounts = _accounts.Accounts(inventory.fit_counts)
        accounts.set_policy(policy)
        order = (
            _fair.FairOrder(accounts, bounds.backfill)
            if fair
            else _order.FifoOrder()
        )
        self._ledger = _ledger.Ledger(inventory, accounts, order)
        self._build_components(placement)
        self._deferred: list[base.Decision] = []
        self._to_drop: collections.deque[tuple[_jobs.Job, base.Refused]] = (
            collections.deque()
        )

    def _build_components(self, placement: _placement.Placement) -> None:
        ledger, bounds, rng = self._ledger, self._bounds, self._rng
        self._estimator = _estimates.Estimator()
        self._health = _health.EndpointHealth(ledger.inventory, rng)
        self._completions = _completions.Completions(
            self._estimator, self._health, bounds
        )
        self._deadlines = _deadlines.Deadlines(
            self._estimator, bounds.unix_offset
        )
        self._admission_control = _admission.AdmissionControl(
            ledger, self._deadlines, bounds, rng
        )
        self._reserver = _gang_reservation.GangReserver(
            ledger, self._estimator, bounds.backfill
        )
        self._starter = _starter.Starter(
            ledger, placement, self._reserver, self._health, bounds
        )
        self._delays = _delays.DelayedTasks(ledger)
        self._remote_only = _remote_only.RemoteOnlyJobs(self._ledger)
        self._holds = _holds.Holds(
            ledger, self._starter, self._delays, bounds, rng
        )
        self._reclaimer = _reclaim.Reclaimer(ledger, rng)

    def set_policy(self, policy: base.FleetPolicy, now: float) -> None:
        """Apply a newer configuration; drop jobs that it doesn't cover."""
        accounts = self._ledger.accounts
        gone = set(accounts.configured_kinds()) - policy.shares.keys()
        gone |= accounts.quotas.keys() - policy.quotas.keys()
        accounts.set_policy(policy)
        self._ledger.order.unblock_all()
        if gone:
            self._drop_unconfigured()

    def _drop_unconfigured(self) -> None:
        for job in list(self._ledger.jobs.values()):
            refusal = self._admission_control.check_configured(job.spec)
            if refusal:
                self._to_drop.append((job, refusal))

    def set_endpoint(self, info: places.EndpointInfo, now: float) -> None:
        """Add an endpoint or change its state."""
        self._ledger.inventory.set_endpoint(info)
        self._endpoints_changed()

    def set_remote_capacities(
        self, capacities: list[resources.Resources]
    ) -> None:
        """Set the sizes of endpoints that other shards of the cell have."""
        if capacities != self._ledger.inventory.remote_capacities:
            self._ledger.inventory.remote_capacities = capacities
            self._remote_only.rescan()

    def endpoint_lost(self, endpoint: str, now: float) -> list[str]:
        """Remove an endpoint and return the tasks allocated on it."""
        lost = self._ledger.inventory.endpoints.get(endpoint)
        if lost is None:
            return []
        self._reserver.handle_lost(lost)
        tasks = list(lost.tasks)
        for task in tasks:
            self._release_task(task)
        self._ledger.inventory.remove(endpoint)
        self._health.remove(endpoint)
        self._endpoints_changed()
        return tasks

    def submit(self, spec: work.JobSpec, now: float) -> base.Admission:
        """Queue a job, or refuse it; idempotent for an accepted job."""
        known = self._ledger.jobs.get(spec.job_id)
        if known is not None and known.accepted:
            return base.Admitted()
        if known is None:
            refusal = self._admission_control.check(spec, now)
            if refusal is not None:
                return refusal
        job = self._ledger.get_or_add_job(spec, now, self._task_demand(spec))
        job.accepted = True
        job.short = self._estimator.estimate(spec).p90 <= MAX_SHORT_RUN_S
        self._ledger.inventory.guard.record_demand(job.demand, now)
        self._ledger.inventory.fit_counts.record_demand(spec.kind, job.demand)
        missing = [i for i in range(spec.tasks) if i not in job.placed]
        self._ledger.queue(job, missing)
        self._remote_only.add_if_remote_only(job)
        self._deadlines.watch(job)
        return base.Admitted()

    def adopt(
        self, spec: work.JobSpec, task: str, endpoint: str, now: float
    ) -> None:
        """Allocate for a run that was found, whether or not it fits."""
        job = self._ledger.get_or_add_job(spec, now)
        index = work.index_of(task)
        if job.placed.get(index) == endpoint:
            return
        self._ledger.release(job, index)
        self._ledger.remove_waiting(job, index)
        job.remote.discard(index)
        self._ledger.place(job, index, endpoint, now)
        job.ever_started = True
        target = self._ledger.inventory.endpoints[endpoint]
        throttle = _reclaim.throttle_for(target, self._ledger)
        if target.live and throttle is not None:
            self._deferred.append(throttle)

    def requeue(self, task: str, now: float, delay: float = 0.0) -> None:
        """Queue a task again; raise UnknownTask without a record.

        A service that fails repeatedly is restarted with exponential backoff.
        """
        known = self._ledger.find(work.job_of(task))
        if known is None:
            raise exceptions.UnknownTask(task)
        job = self._ledger.get_or_add_job(known.spec, now)
        index = work.index_of(task)
        self._ledger.release(job, index)
        job.remote.discard(index)
        if job.foreign or index in job.delayed or index in job.pending:
            self._ledger.archive_if_over(job)
            return
        wait = max(delay, job.backoff)
        if wait <= 0:
            self._ledger.queue(job, [index])
        else:
            self._delays.add(job, index, now + wait)

    def cancel(self, job_id: str, now: float) -> list[str]:
        """Remove a job from the queue and return its allocated tasks."""
        job = self._ledger.jobs.get(job_id)
        if job is None:
            return []
        self._holds.abandon(job_id)
        self._ledger.dequeue(job)
        allocated = [work.task_id(job_id, index) for index in job.placed]
        allocated += [work.task_id(job_id, index) for index in job.remote]
        self._ledger.archive_if_over(job)
        return allocated

    def decide(self, now: float, limit: int = 256) -> list[base.Decision]:
        """Return up to `limit` decisions, with their capacity allocated."""
        self._advance_time(now)
        deferred = list(filter(self._is_current, self._deferred))
        decisions = deferred[:limit]
        self._deferred = deferred[limit:]
        self._decide_drops(decisions, limit)
        if self._ledger.reserved_capacity_freed and len(decisions) < limit:
            self._ledger.reserved_capacity_freed = False
            gang_start = self._starter.start_reserved_gang(now)
            if gang_start is not None:
                decisions.append(gang_start)
        self._start_queued(decisions, now, limit)
        self._request_remote(decisions, now)
        if self._holds.end_idle_backoff(now):
            self._start_queued(decisions, now, limit)
            self._request_remote(decisions, now)
        if len(decisions) < limit:
            preempts = self._reclaimer.check(now)
            decisions.extend(preempts)
            self._deferred.extend(decisions[limit:])
            del decisions[limit:]
        return decisions

    def ended(self, task: str, outcome: base.RunOutcome, now: float) -> None:
        """Release what a task held and learn from the outcome of its run."""
        job = self._ledger.jobs.get(work.job_of(task))
        if job is None:
            return
        index = work.index_of(task)
        if index in job.placed:
            self._completions.record(job, index, outcome, now)
        self._reclaimer.forget(task)
        self._ledger.release(job, index)
        self._ledger.remove_waiting(job, index)
        job.remote.discard(index)
        self._ledger.archive_if_over(job)

    def observe(
        self, task: str, used: resources.Resources, now: float
    ) -> None:
        """Record the usage of a run; later jobs may be allocated more."""
        job = self._ledger.jobs.get(work.job_of(task))
        if job is not None and job.spec.workload:
            cpu, memory, accelerators, _, _ = _vector.from_resources(used)
            row = (cpu, memory, accelerators, 0, 0)
            self._estimator.history(job.spec).usages.append(row)

    def hold(
        self, hold_id: str, spec: work.JobSpec, tasks: list[int], until: float
    ) -> list[base.Start]:
        """Hold capacity for tasks of another shard's job until `until`."""
        return self._holds.hold(hold_id, spec, tasks, until)

    def commit_hold(self, hold_id: str, now: float) -> bool:
        """Turn a hold into allocations; return False if it has expired."""
        return self._holds.commit(hold_id, now)

    def release_hold(self, hold_id: str, now: float) -> None:
        """Release the capacity of a hold that is not committed."""
        self._holds.release(hold_id, now)

    def next_wakeup(self, now: float) -> float | None:
        """Return when to call `decide` next if no event occurs earlier."""
        if self._deferred or self._to_drop:
            return now
        times = [
            self._delays.next_time(),
            self._holds.next_expiry(),
            self._holds.next_idle_retry(),
            self._deadlines.next_time(),
            self._health.next_quarantine_end(),
            now + RECHECK_INTERVAL_S if self._ledger.queued else None,
        ]
        known = [when for when in times if when is not None]
        return max(now, min(known)) if known else None

    def explain(self, job_id: str, now: float) -> base.Explanation | None:
        """Explain why a job waits; return None if it isn't queued here."""
        job = self._ledger.jobs.get(job_id)
        if job is None:
            return None
        if self._holds.awaits_remote(job_id):
            reason = (
                'It waits for the answer of other shards it asked for room.'
            )
            return base.Explanation(job_id, now - job.submitted, [reason])
        if not (job.pending or job.delayed):
            return None
        return _summary.explain(
            self._ledger, self._starter, self._reserver, job, now
        )

    def summary(self, now: float) -> base.ShardSummary:
        """Return a summary of the shard's capacity, use and queues."""
        return _summary.summary(self._shard, self._ledger, now)

    def _advance_time(self, now: float) -> None:
        self._holds.expire(now)
        self._delays.release_due(now)
        for job in self._deadlines.expired(now):
            refusal = _deadlines.refusal('it waited too long')
            self._to_drop.append((job, refusal))
        for endpoint in self._health.end_quarantines(now):
            self._ledger.handle_freed(endpoint)
        self._reserver.update(now)
        inventory = self._ledger.inventory
        inventory.fit_counts.recount_stale(inventory.endpoints.values(), now)
        self._ledger.accounts.decay_peaks(now)
        self._ledger.inventory.guard.set_now(now)
        self._ledger.order.begin_pass(now)

    def _request_remote(
        self, decisions: list[base.Decision], now: float
    ) -> None:
        """Request remote capacity for a job that can never run here."""
        if self._holds.may_request_remote(now):
            job = self._remote_only.choose(now)
            if job is not None:
                decisions.append(self._holds.request_remote(job, now))

    def _start_queued(
        self, decisions: list[base.Decision], now: float, limit: int
    ) -> None:
        order = self._ledger.order
        while len(decisions) < limit:
            job = order.choose(now)
            if job is None:
                return
            decision = self._starter.start(job, now)
            beyond_shard = decision is _order.BlockReason.REMOTE
            if beyond_shard and self._holds.may_request_remote(now):
                decisions.append(self._holds.request_remote(job, now))
            elif beyond_shard:
                order.block(job, _order.BlockReason.JOB)
            elif isinstance(decision, _order.BlockReason):
                order.block(job, decision)
            else:
                self._admission_control.rate.record_start(now)
                decisions.append(decision)

    def _task_demand(self, spec: work.JobSpec) -> _vector.Vector:
        """Return what to allocate for a task.

        That is the learned usage, or the declared demand if the learned usage
        fits no endpoint or exceeds the team's quota.
        """
        declared = _vector.from_resources(spec.demand)
        need = self._estimator.demand(spec)
        quota = self._ledger.accounts.quotas.get(spec.team)
        tasks = spec.tasks if spec.form is work.Form.GANG else 1
        if quota is None or not self._ledger.inventory.could_fit(need):
            return declared
        quota_limit = _vector.from_resources(quota.limit)
        fits = _vector.fits(_vector.scale(need, tasks), quota_limit)
        return need if fits else declared

    def _endpoints_changed(self) -> None:
        self._ledger.accounts.set_capacity(self._ledger.inventory.capacity)
        self._ledger.order.unblock_all()
        self._remote_only.rescan()

    def _is_current(self, decision: base.Decision) -> bool:
        if isinstance(decision, base.Preempt):
            return decision.task in self._ledger.inventory.endpoint_of
        return True

    def _decide_drops(
        self, decisions: list[base.Decision], limit: int
    ) -> None:
        while self._to_drop and len(decisions) < limit:
            job, refusal = self._to_drop.popleft()
            unstarted = not (job.ever_started or job.placed or job.remote)
            if unstarted and (job.pending or job.delayed):
                self._ledger.dequeue(job)
                self._ledger.archive_if_over(job)
                decisions.append(base.Drop(job.job_id, refusal))

    def _release_task(self, task: str) -> None:
        job = self._ledger.jobs.get(work.job_of(task))
        if job is not None:
            self._ledger.release(job, work.index_of(task))
            self._ledger.archive_if_over(job)
