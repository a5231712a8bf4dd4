"""Keep room for gangs that span shards and for tasks of foreign jobs."""

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
    """Hold the placements that are kept until `until`.

    `missing` are tasks of a gang of this shard that need room elsewhere.
    """

    hold_id: str
    job: _jobs.Job
    starts: list[base.Start]
    until: float
    missing: list[int] = dataclasses.field(default_factory=list)
    committed: bool = False


class Holds:
    """Keep holds until they are committed, released or expired.

    The hold of a gang of this shard has the job's id.
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

    def hold(
        self, hold_id: str, spec: work.JobSpec, tasks: list[int], until: float
    ) -> list[base.Start]:
        """Book what has room; the same hold again returns the same."""
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
        """Keep what has room for a gang and ask for the rest.

        Of another job, whose tasks fit no endpoint here, one task at a time.
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
        """Tell whether a gang waits for room on other shards."""
        hold = self._holds.get(job_id)
        return hold is not None and not hold.committed

    def may_request_remote(self, now: float) -> bool:
        """Tell whether a gang may look for room on other shards now.

        One gang of a shard at a time, and after a failure the shard pauses
        for a random while: else gangs of two shards, each keeping what the
        other lacks, could fail for ever.
        """
        requesting = any(
            not (hold.committed or hold.job.foreign)
            for hold in self._holds.values()
        )
        return not requesting and now >= self._next_request_at

    def commit(self, hold_id: str, now: float) -> bool:
        """Turn a hold into bookings; True again for a committed one."""
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
        return True

    def release(self, hold_id: str, now: float) -> None:
        """Free what a hold keeps, unless it is committed.

        A gang of this shard goes back to the queue after a while.
        """
        hold = self._remove_uncommitted(hold_id)
        if hold is None:
            return
        if not hold.job.foreign:
            self._retry_later(hold, now)
        self._ledger.archive_if_over(hold.job)

    def abandon(self, job_id: str) -> None:
        """Free what a cancelled gang keeps."""
        self._remove_uncommitted(job_id)

    def expire(self, now: float) -> None:
        """Release what has expired and forget old commits."""
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
        for index in local + hold.missing:
            self._delays.add(job, index, until)

    def _delay_requests(self, now: float) -> None:
        """Have the shard gather nothing for a while, longer each time."""
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
