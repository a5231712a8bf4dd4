"""Hold capacity for gangs that span shards and for other shards' jobs."""

import collections
import dataclasses
import heapq
import random

from hibiscusslip.model import work
from hibiscusslip.scheduler import _delays
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _ledger
from hibiscusslip.scheduler import _starter
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import limits

MAX_RETRY_DOUBLINGS = 4
MAX_DELAY_DOUBLINGS = 4


@dataclasses.dataclass(slots=True, eq=False)
class Hold:
    """Represent placements that are held until `until`.

    `missing` are tasks of a gang of this shard that need capacity on other
    shards.
    """

    hold_id: str
    job: _jobs.Job
    starts: list[base.Start]
    until: float
    missing: list[int] = dataclasses.field(default_factory=list)
    committed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """Represent the delay until `until` of a job whose request failed."""

    job: _jobs.Job
    tasks: list[int]
    until: float


class Holds:
    """Track holds until they are committed, released or expired.

    The hold of a gang of this shard has the id of the job.
    """

    def __init__(
        self,
        ledger: _ledger.Ledger,
        starter: _starter.Starter,
        delays: _delays.DelayedTasks,
        bounds: limits.Limits,
        rng: random.Random,
    ) -> None:
        self._ledger = ledger
        self._starter = starter
        self._delays = delays
        self._bounds = bounds
        self._rng = rng
        self._holds: dict[str, Hold] = {}
        self._expiries: list[tuple[float, str]] = []
        self._now = 0.0
        self._next_request_at = 0.0
        self._failed_requests = 0
        # The one that began first is first.
        self._backoffs: collections.OrderedDict[str, Backoff] = (
            collections.OrderedDict()
        )

    def hold(
        self, hold_id: str, spec: work.JobSpec, tasks: list[int], until: float
    ) -> list[base.Start]:
        """Hold capacity for tasks of another shard's job.

        Return the placements that fit. Idempotent: the same `hold_id` returns
        the same placements.
        """
        existing = self._holds.get(hold_id)
        if existing is not None:
            return list(existing.starts)
        job = self._ledger.get_or_add_job(spec, self._now)
        if job.accepted:
            return []
        job.foreign = True
        unplaced = [index for index in tasks if index not in job.placed]
        starts = self._place_within_limits(job, unplaced)
        if not starts:
            self._ledger.archive_if_over(job)
            return []
        self._add(Hold(hold_id, job, starts, until))
        return list(starts)

    def request_remote(
        self, job: _jobs.Job, now: float
    ) -> base.RemoteHoldRequest:
        """Hold what fits of a gang here and request the rest elsewhere.

        For any other job, whose tasks fit no endpoint of this shard, request
        one task at a time.
        """
        count = len(job.pending) if job.gang else 1
        indices = sorted(self._ledger.pop_pending(job) for _ in range(count))
        self._now = now
        starts = self._place_within_limits(job, indices)
        missing = indices[len(starts) :]
        job.remote.update(missing)
        until = now + self._bounds.remote_hold_s
        self._add(Hold(job.job_id, job, starts, until, missing))
        return base.RemoteHoldRequest(job.job_id, list(starts), missing, until)

    def awaits_remote(self, job_id: str) -> bool:
        """Return True if a job waits for capacity on other shards."""
        hold = self._holds.get(job_id)
        return hold is not None and not hold.committed

    def may_request_remote(self, now: float) -> bool:
        """Return True if a job may request capacity on other shards now.

        One job of a shard at a time, and after a failure the shard pauses for
        a random time: otherwise gangs of two shards, each holding what the
        other lacks, could fail forever.
        """
        return not self._is_requesting() and now >= self._next_request_at

    def end_idle_backoff(self, now: float) -> bool:
        """End the oldest backoff while no other job requests capacity.

        A backoff only lets other jobs of the shard have their turn, so it
        must not outlast them. Return True if the tasks of a job were queued.
        """
        idle_at = self.next_idle_retry()
        if idle_at is None or now < idle_at:
            return False
        while self._backoffs:
            _, backoff = self._backoffs.popitem(last=False)
            ended = [
                self._delays.end(backoff.job, index, backoff.until)
                for index in backoff.tasks
            ]
            if any(ended):
                backoff.job.next_remote_attempt_at = now
                return True
        return False

    def next_idle_retry(self) -> float | None:
        """Return when a backoff ends early if no job makes a request."""
        if not self._backoffs or self._is_requesting():
            return None
        return self._next_request_at + self._bounds.remote_retry_s

    def commit(self, hold_id: str, now: float) -> bool:
        """Turn a hold into allocations; return False if it has expired.

        Return True again for a committed hold, until its record is removed at
        `until`.
        """
        hold = self._holds.get(hold_id)
        if hold is None:
            return False
        if hold.committed:
            return True
        if now >= hold.until:
            self.release(hold_id, now)
            return False
        hold.committed = True
        hold.job.ever_started = True
        if not hold.job.foreign:
            self._failed_requests = 0
            self._backoffs.pop(hold.job.job_id, None)
        return True

    def release(self, hold_id: str, now: float) -> None:
        """Release the capacity of a hold unless it is committed.

        A job of this shard returns to the queue after a delay.
        """
        hold = self._remove_uncommitted(hold_id)
        if hold is None:
            return
        if not hold.job.foreign:
            self._retry_later(hold, now)
        self._ledger.archive_if_over(hold.job)

    def abandon(self, job_id: str) -> None:
        """Release the hold of a cancelled job unless it is committed."""
        self._remove_uncommitted(job_id)
        self._backoffs.pop(job_id, None)

    def expire(self, now: float) -> None:
        """Release expired holds and remove the records of committed ones."""
        self._now = now
        while self._expiries and self._expiries[0][0] <= now:
            until, hold_id = heapq.heappop(self._expiries)
            hold = self._holds.get(hold_id)
            if hold is not None and hold.until == until:
                self.release(hold_id, now)
                self._holds.pop(hold_id, None)

    def next_expiry(self) -> float | None:
        """Return when the next hold expires."""
        return self._expiries[0][0] if self._expiries else None

    def _is_requesting(self) -> bool:
        return any(
            not (hold.committed or hold.job.foreign)
            for hold in self._holds.values()
        )

    def _add(self, hold: Hold) -> None:
        self._holds[hold.hold_id] = hold
        heapq.heappush(self._expiries, (hold.until, hold.hold_id))

    def _remove_uncommitted(self, hold_id: str) -> Hold | None:
        hold = self._holds.get(hold_id)
        if hold is None or hold.committed:
            return None
        del self._holds[hold_id]
        for start in hold.starts:
            self._ledger.release(hold.job, work.index_of(start.task))
        hold.job.remote.difference_update(hold.missing)
        return hold

    def _retry_later(self, hold: Hold, now: float) -> None:
        job = hold.job
        doublings = min(job.remote_attempts, MAX_RETRY_DOUBLINGS)
        wait = self._bounds.remote_retry_s * 2**doublings
        job.remote_attempts += 1
        until = now + wait * self._rng.uniform(0.5, 1.0)
        job.next_remote_attempt_at = until
        self._delay_requests(now)
        local = [work.index_of(start.task) for start in hold.starts]
        tasks = local + hold.missing
        for index in tasks:
            self._delays.add(job, index, until)
        self._backoffs.pop(job.job_id, None)
        self._backoffs[job.job_id] = Backoff(job, tasks, until)

    def _delay_requests(self, now: float) -> None:
        """Pause the shard's requests, longer after each failure."""
        doublings = min(self._failed_requests, MAX_DELAY_DOUBLINGS)
        pause = self._bounds.remote_pause_s * 2**doublings
        self._next_request_at = now + pause * self._rng.uniform(0.1, 1.0)
        self._failed_requests += 1

    def _place_within_limits(
        self, job: _jobs.Job, indices: list[int]
    ) -> list[base.Start]:
        starts: list[base.Start] = []
        for index in indices:
            if self._starter.find_block(job, job.demand) is not None:
                break
            placed = self._starter.place_tasks(job, [index], self._now)
            if not placed:
                break
            starts.extend(placed)
        return starts
