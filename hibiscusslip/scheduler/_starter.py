"""Try to start a queued job."""

from hibiscusslip.model import work
from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _ledger
from hibiscusslip.scheduler import _order
from hibiscusslip.scheduler import _placement
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import limits


class Starter:
    """Place the tasks of one job, within shares and quotas."""

    def __init__(
        self,
        ledger: _ledger.Ledger,
        placement: _placement.Placement,
        bounds: limits.Limits,
    ) -> None:
        self._ledger = ledger
        self._placement = placement
        self._bounds = bounds

    def start(
        self, job: _jobs.Job, now: float
    ) -> base.Start | base.GangStart | _order.Block:
        """Start one task, or a whole gang, or tell what is lacking."""
        if job.gang:
            return self._start_gang(job, now)
        lack = self.lacking(job, job.demand)
        if lack is not None:
            return lack
        room = self.room_for(job)
        if room is None:
            return _order.Block.ROOM
        index = self._ledger.take_pending(job)
        return self._start(job, index, room, now)

    def lacking(
        self, job: _jobs.Job, need: _vector.Vector
    ) -> _order.Block | None:
        """Tell whether a quota or a share keeps a job back."""
        accounts = self._ledger.accounts
        fraction = self._bounds.quota_fraction
        if not accounts.within_quota(job.spec.team, need, fraction):
            return _order.Block.QUOTA
        if not accounts.may_hold(job.spec.kind, need):
            return _order.Block.SHARE
        return None

    def room_for(self, job: _jobs.Job) -> _endpoints.Room | None:
        """Return an endpoint with room for one task of a job."""
        book = self._ledger.book
        if job.spread:
            return self._placement.choose_apart(book, job.demand, job.racks)
        return self._placement.choose(book, job.demand)

    def place_all(
        self, job: _jobs.Job, indices: list[int], now: float
    ) -> list[base.Start]:
        """Book as many of the tasks as there is room for."""
        starts = []
        for index in indices:
            room = self.room_for(job)
            if room is None:
                break
            starts.append(self._start(job, index, room, now))
        return starts

    def _start(
        self, job: _jobs.Job, index: int, room: _endpoints.Room, now: float
    ) -> base.Start:
        self._ledger.place(job, index, room.name, now)
        return base.Start(work.task_id(job.job_id, index), room.name)

    def _start_gang(
        self, job: _jobs.Job, now: float
    ) -> base.GangStart | _order.Block:
        indices = list(job.pending)
        need = _vector.scale(job.demand, len(indices))
        lack = self.lacking(job, need)
        if lack is not None:
            return lack
        starts = self.place_all(job, indices, now)
        if len(starts) < len(indices):
            for start in starts:
                self._ledger.release(job, work.index_of(start.task))
            return _order.Block.ROOM
        for _ in indices:
            self._ledger.take_pending(job)
        return base.GangStart(job.job_id, starts)
