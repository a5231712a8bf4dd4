"""Serve one shard: queue, book and decide."""

import collections
import random

from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.model import work
from hibiscusslip.scheduler import _accounts
from hibiscusslip.scheduler import _admission
from hibiscusslip.scheduler import _deadlines
from hibiscusslip.scheduler import _delays
from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _fair
from hibiscusslip.scheduler import _gather
from hibiscusslip.scheduler import _health
from hibiscusslip.scheduler import _holds
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _learning
from hibiscusslip.scheduler import _ledger
from hibiscusslip.scheduler import _order
from hibiscusslip.scheduler import _outbound
from hibiscusslip.scheduler import _placement
from hibiscusslip.scheduler import _reclaim
from hibiscusslip.scheduler import _starter
from hibiscusslip.scheduler import _summary
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import exceptions
from hibiscusslip.scheduler import limits

RECHECK_S = 1.0
STEADY_RUN_S = 60.0
SHORT_RUN_S = 10.0


class ShardScheduler(base.Scheduler):
    """Decide for one shard by shares, urgency and fairness of teams."""

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
        book = _endpoints.Book()
        accounts = _accounts.Accounts(book.reserve)
        accounts.set_policy(policy)
        order = (
            _fair.Fair(accounts, bounds.backfill) if fair else _order.Fifo()
        )
        self._ledger = _ledger.Ledger(book, accounts, order)
        self._build_parts(placement)
        self._waiting: list[base.Decision] = []
        self._doomed: collections.deque[tuple[_jobs.Job, base.Refused]] = (
            collections.deque()
        )

    def _build_parts(self, placement: _placement.Placement) -> None:
        ledger, bounds, rng = self._ledger, self._bounds, self._rng
        self._learner = _learning.Learner()
        self._health = _health.Health(ledger.book, rng)
        self._deadlines = _deadlines.Deadlines(
            self._learner, bounds.unix_offset
        )
        self._door = _admission.Door(ledger, self._deadlines, bounds, rng)
        self._gatherer = _gather.Gatherer(
            ledger, self._learner, bounds.backfill
        )
        self._starter = _starter.Starter(
            ledger, placement, self._gatherer, self._health, bounds
        )
        self._delays = _delays.Delays(ledger)
        self._outbound = _outbound.Outbound(self._ledger)
        self._holds = _holds.Holds(
            ledger, self._starter, self._delays, bounds, rng
        )
        self._reclaimer = _reclaim.Reclaimer(ledger, rng)

    def set_policy(self, policy: base.FleetPolicy, now: float) -> None:
        """Take a newer configuration; drop what it doesn't know."""
        accounts = self._ledger.accounts
        gone = set(accounts.known_kinds()) - policy.shares.keys()
        gone |= accounts.quotas.keys() - policy.quotas.keys()
        accounts.set_policy(policy)
        self._ledger.order.changed()
        if gone:
            self._doom_unknown()

    def _doom_unknown(self) -> None:
        for job in list(self._ledger.jobs.values()):
            refusal = self._door.unknown(job.spec)
            if refusal:
                self._doomed.append((job, refusal))

    def set_endpoint(self, info: places.EndpointInfo, now: float) -> None:
        """Add an endpoint or change its state."""
        self._ledger.book.set_endpoint(info)
        self._endpoints_changed()

    def set_remote_capacities(
        self, capacities: list[resources.Resources]
    ) -> None:
        """Tell which sizes of endpoints other shards of the cell have."""
        if capacities != self._ledger.book.elsewhere:
            self._ledger.book.elsewhere = capacities
            self._outbound.rescan()

    def endpoint_lost(self, endpoint: str, now: float) -> list[str]:
        """Drop an endpoint and return the tasks booked on it."""
        room = self._ledger.book.rooms.get(endpoint)
        if room is None:
            return []
        tasks = list(room.tasks)
        for task in tasks:
            self._free(task)
        self._ledger.book.remove(endpoint)
        self._health.forget(endpoint)
        self._endpoints_changed()
        return tasks

    def submit(self, spec: work.JobSpec, now: float) -> base.Admission:
        """Queue a job, or refuse it; a known job stays as it is."""
        known = self._ledger.jobs.get(spec.job_id)
        if known is not None and known.accepted:
            return base.Admitted()
        if known is None:
            refusal = self._door.judge(spec, now)
            if refusal is not None:
                return refusal
        job = self._ledger.job(spec, now, self._booked(spec))
        job.accepted = True
        job.short = self._learner.estimate(spec).high <= SHORT_RUN_S
        self._ledger.book.guard.note(job.demand, now)
        self._ledger.book.reserve.note(spec.kind, job.demand)
        missing = [i for i in range(spec.tasks) if i not in job.placed]
        self._ledger.queue(job, missing)
        self._outbound.note(job)
        self._deadlines.watch(job)
        return base.Admitted()

    def adopt(
        self, spec: work.JobSpec, task: str, endpoint: str, now: float
    ) -> None:
        """Book a run that was found, wherever it is."""
        job = self._ledger.job(spec, now)
        index = work.index_of(task)
        if job.placed.get(index) == endpoint:
            return
        self._ledger.release(job, index)
        self._ledger.forget_waiting(job, index)
        job.remote.discard(index)
        self._ledger.place(job, index, endpoint, now)
        job.ran = True
        room = self._ledger.book.rooms[endpoint]
        throttle = _reclaim.throttle_for(room, self._ledger)
        if room.live and throttle is not None:
            self._waiting.append(throttle)

    def requeue(self, task: str, now: float, delay: float = 0.0) -> None:
        """Queue a task again; raise UnknownTask without a record.

        A service that keeps failing waits longer each time.
        """
        known = self._ledger.find(work.job_of(task))
        if known is None:
            raise exceptions.UnknownTask(task)
        job = self._ledger.job(known.spec, now)
        index = work.index_of(task)
        self._ledger.release(job, index)
        job.remote.discard(index)
        if job.foreign or index in job.delayed or index in job.pending:
            self._ledger.settle(job)
            return
        wait = max(delay, job.backoff)
        if wait <= 0:
            self._ledger.queue(job, [index])
        else:
            self._delays.add(job, index, now + wait)

    def cancel(self, job_id: str, now: float) -> list[str]:
        """Take a job off the queue and return its booked tasks."""
        job = self._ledger.jobs.get(job_id)
        if job is None:
            return []
        self._holds.abandon(job_id)
        self._ledger.unqueue(job)
        booked = [work.task_id(job_id, index) for index in job.placed]
        booked += [work.task_id(job_id, index) for index in job.remote]
        self._ledger.settle(job)
        return booked

    def decide(self, now: float, limit: int = 256) -> list[base.Decision]:
        """Return up to `limit` decisions; their room is booked already."""
        self._pass_time(now)
        waiting = list(filter(self._still_due, self._waiting))
        decisions = waiting[:limit]
        self._waiting = waiting[limit:]
        self._drop_doomed(decisions, limit)
        if self._ledger.fenced_freed and len(decisions) < limit:
            self._ledger.fenced_freed = False
            gathered = self._starter.start_gathered(now)
            if gathered is not None:
                decisions.append(gathered)
        self._start_queued(decisions, now, limit)
        self._look_elsewhere(decisions, now)
        if len(decisions) < limit:
            preempts = self._reclaimer.check(now)
            decisions.extend(preempts)
            self._waiting.extend(decisions[limit:])
            del decisions[limit:]
        return decisions

    def ended(self, task: str, how: base.RunOutcome, now: float) -> None:
        """Free what a task held and learn from how it ended."""
        job = self._ledger.jobs.get(work.job_of(task))
        if job is None:
            return
        index = work.index_of(task)
        if index in job.placed:
            self._learn(job, index, how, now)
        self._reclaimer.forget(task)
        self._ledger.release(job, index)
        self._ledger.forget_waiting(job, index)
        job.remote.discard(index)
        self._ledger.settle(job)

    def observe(
        self, task: str, used: resources.Resources, now: float
    ) -> None:
        """Learn the size of a workload; its next jobs may book more."""
        job = self._ledger.jobs.get(work.job_of(task))
        if job is not None and job.spec.workload:
            cpu, memory, accelerators, _, _ = _vector.of(used)
            row = (cpu, memory, accelerators, 0, 0)
            self._learner.history(job.spec).uses.append(row)

    def hold(
        self, hold_id: str, spec: work.JobSpec, tasks: list[int], until: float
    ) -> list[base.Start]:
        """Book room for tasks of a foreign job until `until`."""
        return self._holds.hold(hold_id, spec, tasks, until)

    def commit_hold(self, hold_id: str, now: float) -> bool:
        """Turn a hold into bookings; False when it has expired."""
        return self._holds.commit(hold_id, now)

    def release_hold(self, hold_id: str, now: float) -> None:
        """Give a hold's room back."""
        self._holds.release(hold_id, now)

    def next_wakeup(self, now: float) -> float | None:
        """Return when `decide` is worth calling again without an event."""
        if self._waiting or self._doomed:
            return now
        times = [
            self._delays.next_time(),
            self._holds.next_expiry(),
            self._deadlines.next_time(),
            self._health.next_return(),
            now + RECHECK_S if self._ledger.queued else None,
        ]
        known = [when for when in times if when is not None]
        return max(now, min(known)) if known else None

    def explain(self, job_id: str, now: float) -> base.Explanation | None:
        """Tell why a queued job waits; None when it isn't queued here."""
        job = self._ledger.jobs.get(job_id)
        if job is None:
            return None
        if self._holds.holding(job_id):
            reason = (
                'It waits for the answer of other shards it asked for room.'
            )
            return base.Explanation(job_id, now - job.submitted, [reason])
        if not (job.pending or job.delayed):
            return None
        return _summary.explain(
            self._ledger, self._starter, self._gatherer, job, now
        )

    def summary(self, now: float) -> base.ShardSummary:
        """Return the shard's standing."""
        return _summary.summary(self._shard, self._ledger, now)

    def _pass_time(self, now: float) -> None:
        self._holds.expire(now)
        self._delays.ripen(now)
        for job in self._deadlines.expired(now):
            refusal = _deadlines.refusal('it waited too long')
            self._doomed.append((job, refusal))
        for room in self._health.ripen(now):
            self._ledger.freed(room)
        self._gatherer.check(now)
        book = self._ledger.book
        book.reserve.refresh(book.rooms.values(), now)
        self._ledger.accounts.pass_time(now)
        self._ledger.book.guard.set_now(now)
        self._ledger.order.begin(now)

    def _look_elsewhere(
        self, decisions: list[base.Decision], now: float
    ) -> None:
        """Look for room elsewhere for a job that never fits here."""
        if self._holds.may_gather(now):
            job = self._outbound.choose(now)
            if job is not None:
                decisions.append(self._holds.gather(job, now))

    def _start_queued(
        self, decisions: list[base.Decision], now: float, limit: int
    ) -> None:
        order = self._ledger.order
        while len(decisions) < limit:
            job = order.choose(now)
            if job is None:
                return
            decision = self._starter.start(job, now)
            elsewhere = decision is _order.Block.ELSEWHERE
            if elsewhere and self._holds.may_gather(now):
                decisions.append(self._holds.gather(job, now))
            elif elsewhere:
                order.block(job, _order.Block.JOB)
            elif isinstance(decision, _order.Block):
                order.block(job, decision)
            else:
                self._door.rate.note(now)
                decisions.append(decision)

    def _booked(self, spec: work.JobSpec) -> _vector.Vector:
        """Return what a task books: the use learned, if that is possible."""
        declared = _vector.of(spec.demand)
        need = self._learner.demand(spec)
        limit = self._ledger.accounts.quotas.get(spec.team)
        tasks = spec.tasks if spec.form is work.Form.GANG else 1
        if limit is None or not self._ledger.book.could_fit(need):
            return declared
        whole = _vector.of(limit.limit)
        fits = _vector.fits(_vector.scale(need, tasks), whole)
        return need if fits else declared

    def _learn(
        self, job: _jobs.Job, index: int, how: base.RunOutcome, now: float
    ) -> None:
        elapsed = now - job.since.get(index, now)
        history = self._learner.history(job.spec)
        if how is base.RunOutcome.SUCCEEDED:
            history.note_time(elapsed)
        name = job.placed[index]
        if self._bounds.quarantine_enabled:
            self._health.note(name, how, elapsed, history, now)
        if job.spec.form is work.Form.SERVICE:
            self._back_off(job, how, elapsed)

    def _back_off(
        self, job: _jobs.Job, how: base.RunOutcome, elapsed: float
    ) -> None:
        if how is not base.RunOutcome.FAILED or elapsed >= STEADY_RUN_S:
            job.backoff = 0.0
            return
        longer = max(self._bounds.service_backoff, 2 * job.backoff)
        job.backoff = min(longer, self._bounds.max_service_backoff)

    def _endpoints_changed(self) -> None:
        self._ledger.accounts.set_capacity(self._ledger.book.capacity)
        self._ledger.order.changed()
        self._outbound.rescan()

    def _still_due(self, decision: base.Decision) -> bool:
        if isinstance(decision, base.Preempt):
            return decision.task in self._ledger.book.where
        return True

    def _drop_doomed(self, decisions: list[base.Decision], limit: int) -> None:
        while self._doomed and len(decisions) < limit:
            job, refusal = self._doomed.popleft()
            idle = not (job.ran or job.placed or job.remote)
            if idle and (job.pending or job.delayed):
                self._ledger.unqueue(job)
                self._ledger.settle(job)
                decisions.append(base.Drop(job.job_id, refusal))

    def _free(self, task: str) -> None:
        job = self._ledger.jobs.get(work.job_of(task))
        if job is not None:
            self._ledger.release(job, work.index_of(task))
            self._ledger.settle(job)
