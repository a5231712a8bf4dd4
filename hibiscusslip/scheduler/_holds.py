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

MAX_TRY_DOUBLINGS = 4
MAX_PAUSE_DOUBLINGS = 4


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
        delays: _delays.Delays,
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
        self._gather_at = 0.0
        self._failures = 0

    def hold(
        self, hold_id: str, spec: work.JobSpec, tasks: list[int], until: float
    ) -> list[base.Start]:
        """Book what has room; the same hold again returns the same."""
        known = self._holds.get(hold_id)
        if known is not None:
            return list(known.starts)
        job = self._ledger.job(spec, self._now)
        if job.accepted:
            return []
        job.foreign = True
        free = [index for index in tasks if index not in job.placed]
        starts = self._admitted(job, free)
        if not starts:
            self._ledger.settle(job)
            return []
        self._keep(Hold(hold_id, job, starts, until))
        return list(starts)

    def gather(self, job: _jobs.Job, now: float) -> base.RemoteHoldRequest:
        """Keep what has room for a gang and ask for the rest.

        Of another job, whose tasks fit no endpoint here, one task at a time.
        """
        count = len(job.pending) if job.gang else 1
        indices = sorted(self._ledger.take_pending(job) for _ in range(count))
        self._now = now
        starts = self._admitted(job, indices)
        missing = indices[len(starts) :]
        job.remote.update(missing)
        until = now + self._bounds.gang_hold
        self._keep(Hold(job.job_id, job, starts, until, missing))
        return base.RemoteHoldRequest(job.job_id, list(starts), missing, until)

    def holding(self, job_id: str) -> bool:
        """Tell whether a gang waits for room on other shards."""
        hold = self._holds.get(job_id)
        return hold is not None and not hold.committed

    def may_gather(self, now: float) -> bool:
        """Tell whether a gang may look for room on other shards now.

        One gang of a shard at a time, and after a failure the shard pauses
        for a random while: else gangs of two shards, each keeping what the
        other lacks, could fail for ever.
        """
        gathering = any(
            not (hold.committed or hold.job.foreign)
            for hold in self._holds.values()
        )
        return not gathering and now >= self._gather_at

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
        hold.job.ran = True
        if not hold.job.foreign:
            self._failures = 0
        return True

    def release(self, hold_id: str, now: float) -> None:
        """Free what a hold keeps, unless it is committed.

        A gang of this shard goes back to the queue after a while.
        """
        hold = self._give_back(hold_id)
        if hold is None:
            return
        if not hold.job.foreign:
            self._try_later(hold, now)
        self._ledger.settle(hold.job)

    def abandon(self, job_id: str) -> None:
        """Free what a cancelled gang keeps."""
        self._give_back(job_id)

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

    def _keep(self, hold: Hold) -> None:
        self._holds[hold.hold_id] = hold
        heapq.heappush(self._expiries, (hold.until, hold.hold_id))

    def _give_back(self, hold_id: str) -> Hold | None:
        hold = self._holds.get(hold_id)
        if hold is None or hold.committed:
            return None
        del self._holds[hold_id]
        for start in hold.starts:
            self._ledger.release(hold.job, work.index_of(start.task))
        hold.job.remote.difference_update(hold.missing)
        return hold

    def _try_later(self, hold: Hold, now: float) -> None:
        job = hold.job
        doublings = min(job.tries, MAX_TRY_DOUBLINGS)
        wait = self._bounds.gang_retry * 2**doublings
        job.tries += 1
        until = now + wait * self._rng.uniform(0.5, 1.0)
        job.next_try = until
        self._pause(now)
        started = [work.index_of(start.task) for start in hold.starts]
        for index in started + hold.missing:
            self._delays.add(job, index, until)

    def _pause(self, now: float) -> None:
        """Have the shard gather nothing for a while, longer each time."""
        doublings = min(self._failures, MAX_PAUSE_DOUBLINGS)
        pause = self._bounds.gang_pause * 2**doublings
        self._gather_at = now + pause * self._rng.uniform(0.1, 1.0)
        self._failures += 1

    def _admitted(self, job: _jobs.Job, free: list[int]) -> list[base.Start]:
        starts: list[base.Start] = []
        for index in free:
            if self._starter.lacking(job, job.demand) is not None:
                break
            placed = self._starter.place_all(job, [index], self._now)
            if not placed:
                break
            starts.extend(placed)
        return starts
