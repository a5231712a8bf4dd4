"""Serve one shard: queue, book and decide."""

import heapq
import random

from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.scheduler import _accounts
from hibiscusslip.scheduler import _admission
from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _fair
from hibiscusslip.scheduler import _holds
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _ledger
from hibiscusslip.scheduler import _order
from hibiscusslip.scheduler import _placement
from hibiscusslip.scheduler import _starter
from hibiscusslip.scheduler import _summary
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import exceptions
from hibiscusslip.scheduler import limits


class ShardScheduler(base.Scheduler):
    """Decide for one shard by shares, urgency and fairness of teams."""

    def __init__(
        self,
        shard: places.Shard,
        policy: base.FleetPolicy,
        bounds: limits.Limits,
        rng: random.Random,
        placement: _placement.Placement | None = None,
        order: _order.QueueOrder | None = None,
    ) -> None:
        self._shard = shard
        self._bounds = bounds
        self._rng = rng
        accounts = _accounts.Accounts()
        accounts.set_policy(policy)
        self._ledger = _ledger.Ledger(
            _endpoints.Book(), accounts, order or _fair.Fair(accounts)
        )
        self._door = _admission.Door(self._ledger, bounds, rng)
        self._starter = _starter.Starter(
            self._ledger, placement or _placement.BestFit(), bounds
        )
        self._holds = _holds.Holds(self._ledger, self._starter)
        self._delays: list[tuple[float, int, _jobs.Job, int]] = []
        self._drops: list[base.Drop] = []
        self._seq = 0

    def set_policy(self, policy: base.FleetPolicy, now: float) -> None:
        """Take a newer configuration; drop what it doesn't know."""
        self._ledger.accounts.set_policy(policy)
        self._ledger.order.changed()
        for job in list(self._ledger.jobs.values()):
            refusal = self._door.unknown(job.spec)
            if refusal and (job.pending or job.delayed):
                self._drop(job, refusal)

    def set_endpoint(self, info: places.EndpointInfo, now: float) -> None:
        """Add an endpoint or change its state."""
        self._ledger.book.set_endpoint(info)
        self._endpoints_changed()

    def endpoint_lost(self, endpoint: str, now: float) -> list[str]:
        """Drop an endpoint and return the tasks booked on it."""
        room = self._ledger.book.rooms.get(endpoint)
        if room is None:
            return []
        tasks = list(room.tasks)
        for task in tasks:
            self._free(task)
        self._ledger.book.remove(endpoint)
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
        job = self._ledger.job(spec, now)
        job.accepted = True
        missing = [i for i in range(spec.tasks) if i not in job.placed]
        self._ledger.queue(job, missing)
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
        self._ledger.place(job, index, endpoint, now)

    def requeue(self, task: str, now: float, delay: float = 0.0) -> None:
        """Queue a task again; raise UnknownTask without a record."""
        known = self._ledger.find(work.job_of(task))
        if known is None:
            raise exceptions.UnknownTask(task)
        job = self._ledger.job(known.spec, now)
        index = work.index_of(task)
        self._ledger.release(job, index)
        if index in job.delayed or index in job.pending:
            return
        if delay <= 0:
            self._ledger.queue(job, [index])
            return
        self._ledger.delay(job, index)
        self._seq += 1
        entry = (now + delay, self._seq, job, index)
        heapq.heappush(self._delays, entry)

    def cancel(self, job_id: str, now: float) -> list[str]:
        """Take a job off the queue and return its booked tasks."""
        job = self._ledger.jobs.get(job_id)
        if job is None:
            return []
        self._ledger.unqueue(job)
        booked = [work.task_id(job_id, index) for index in job.placed]
        self._ledger.settle(job)
        return booked

    def decide(self, now: float, limit: int = 256) -> list[base.Decision]:
        """Return up to `limit` decisions; their room is booked already."""
        self._holds.expire(now)
        self._ripen(now)
        decisions: list[base.Decision] = list(self._drops[:limit])
        del self._drops[:limit]
        self._ledger.accounts.refresh(now)
        self._ledger.order.begin(now)
        while len(decisions) < limit:
            job = self._ledger.order.choose(now)
            if job is None:
                break
            decision = self._starter.start(job, now)
            if isinstance(decision, _order.Block):
                self._ledger.order.block(job, decision)
            else:
                self._door.rate.note(now)
                decisions.append(decision)
        return decisions

    def ended(self, task: str, how: base.EndKind, now: float) -> None:
        """Free what a task held."""
        job = self._ledger.jobs.get(work.job_of(task))
        if job is None:
            return
        index = work.index_of(task)
        self._ledger.release(job, index)
        self._ledger.forget_waiting(job, index)
        job.remote.discard(index)
        self._ledger.settle(job)

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
        if self._drops:
            return now
        times = [self._delays[0][0]] if self._delays else []
        expiry = self._holds.next_expiry()
        if expiry is not None:
            times.append(expiry)
        return min(times, default=None)

    def explain(self, job_id: str, now: float) -> base.Explanation | None:
        """Tell why a queued job waits; None when it isn't queued here."""
        job = self._ledger.jobs.get(job_id)
        if job is None or not (job.pending or job.delayed):
            return None
        return _summary.explain(self._ledger, self._starter, job, now)

    def summary(self, now: float) -> base.ShardSummary:
        """Return the shard's standing."""
        return _summary.summary(self._shard, self._ledger, now)

    def _endpoints_changed(self) -> None:
        self._ledger.accounts.set_capacity(self._ledger.book.capacity)
        self._ledger.order.changed()

    def _ripen(self, now: float) -> None:
        while self._delays and self._delays[0][0] <= now:
            _, _, job, index = heapq.heappop(self._delays)
            self._ledger.undelay(job, index)

    def _drop(self, job: _jobs.Job, refusal: base.Refused) -> None:
        self._ledger.unqueue(job)
        self._ledger.settle(job)
        self._drops.append(base.Drop(job.job_id, refusal))

    def _free(self, task: str) -> None:
        job = self._ledger.jobs.get(work.job_of(task))
        if job is not None:
            self._ledger.release(job, work.index_of(task))
            self._ledger.settle(job)
