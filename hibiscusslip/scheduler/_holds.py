"""Keep room for tasks of jobs whose home is another shard."""

import dataclasses
import heapq

from hibiscusslip.model import work
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _ledger
from hibiscusslip.scheduler import _starter
from hibiscusslip.scheduler import base


@dataclasses.dataclass(slots=True, eq=False)
class Hold:
    """Hold the placements that are kept until `until`."""

    hold_id: str
    job: _jobs.Job
    starts: list[base.Start]
    until: float
    committed: bool = False


class Holds:
    """Keep holds until they are committed, released or expired."""

    def __init__(
        self, ledger: _ledger.Ledger, starter: _starter.Starter
    ) -> None:
        self._ledger = ledger
        self._starter = starter
        self._holds: dict[str, Hold] = {}
        self._expiries: list[tuple[float, str]] = []
        self._now = 0.0

    def hold(
        self, hold_id: str, spec: work.JobSpec, tasks: list[int], until: float
    ) -> list[base.Start]:
        """Book what has room; the same hold again returns the same."""
        known = self._holds.get(hold_id)
        if known is not None:
            return list(known.starts)
        job = self._ledger.job(spec, self._now)
        job.foreign = True
        free = [index for index in tasks if index not in job.placed]
        starts = self._admitted(job, free, self._now)
        if not starts:
            self._ledger.settle(job)
            return []
        self._holds[hold_id] = Hold(hold_id, job, starts, until)
        heapq.heappush(self._expiries, (until, hold_id))
        return list(starts)

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
        return True

    def release(self, hold_id: str, now: float) -> None:
        """Free what a hold keeps, unless it is committed."""
        hold = self._holds.get(hold_id)
        if hold is None or hold.committed:
            return
        del self._holds[hold_id]
        for start in hold.starts:
            self._ledger.release(hold.job, work.index_of(start.task))
        self._ledger.settle(hold.job)

    def expire(self, now: float) -> None:
        """Release what has expired and forget old commits."""
        self._now = now
        while self._expiries and self._expiries[0][0] <= now:
            _, hold_id = heapq.heappop(self._expiries)
            hold = self._holds.get(hold_id)
            if hold is None or hold.until > now:
                continue
            self.release(hold_id, now)
            self._holds.pop(hold_id, None)

    def next_expiry(self) -> float | None:
        """Return when the next hold expires."""
        return self._expiries[0][0] if self._expiries else None

    def _admitted(
        self, job: _jobs.Job, free: list[int], now: float
    ) -> list[base.Start]:
        starts: list[base.Start] = []
        for index in free:
            if self._starter.lacking(job, job.demand) is not None:
                break
            placed = self._starter.place_all(job, [index], now)
            if not placed:
                break
            starts.extend(placed)
        return starts
