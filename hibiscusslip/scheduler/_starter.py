"""Try to start a queued job."""

from hibiscusslip.model import work
from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _gather
from hibiscusslip.scheduler import _health
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
        gatherer: _gather.Gatherer,
        health: _health.Health,
        bounds: limits.Limits,
    ) -> None:
        self._ledger = ledger
        self._placement = placement
        self._gatherer = gatherer
        self._health = health
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
        room = self._probe_room(job) or self.room_for(job)
        room = room or self._gatherer.backfill(job, now)
        if room is None:
            return _order.Block.ROOM
        job.ran = True
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

    def start_gathered(self, now: float) -> base.GangStart | None:
        """Start the gathering gang once its endpoints have room."""
        plan = self._gatherer.plan
        if plan is None or not self._gatherer.ready():
            return None
        job = plan.job
        need = _vector.scale(job.demand, len(job.pending))
        if self.lacking(job, need) is not None:
            self._gatherer.give_up(now)
            return None
        self._gatherer.stop()
        starts = self._place_whole(job, now)
        if starts is None and self._gatherer.begin(job, now):
            self._gatherer.give_up(now)
        return starts

    def _probe_room(self, job: _jobs.Job) -> _endpoints.Room | None:
        if not self._health.probation:
            return None
        if not job.spec.repeatable or job.spread:
            return None
        return self._health.probe_room(job.demand)

    def _start(
        self, job: _jobs.Job, index: int, room: _endpoints.Room, now: float
    ) -> base.Start:
        self._ledger.place(job, index, room.name, now)
        return base.Start(work.task_id(job.job_id, index), room.name)

    def _start_gang(
        self, job: _jobs.Job, now: float
    ) -> base.GangStart | _order.Block:
        need = _vector.scale(job.demand, len(job.pending))
        accounts = self._ledger.accounts
        if not _vector.fits(need, accounts.kind(job.spec.kind).ceiling):
            return self._elsewhere(job, now)
        lack = self.lacking(job, need)
        if lack is not None:
            return self._beyond_shard(job, need, now) or lack
        plan = self._gatherer.plan
        if plan is not None and plan.job is job:
            return _order.Block.ROOM
        started = self._place_whole(job, now)
        if started is not None:
            return started
        if plan is not None or self._gatherer.begin(job, now):
            return _order.Block.ROOM
        return self._elsewhere(job, now)

    @staticmethod
    def _elsewhere(job: _jobs.Job, now: float) -> _order.Block:
        late = now >= job.next_try
        return _order.Block.ELSEWHERE if late else _order.Block.JOB

    def _beyond_shard(
        self, job: _jobs.Job, need: _vector.Vector, now: float
    ) -> _order.Block | None:
        """Tell where to look for a gang that never fits the shares here."""
        accounts = self._ledger.accounts
        fraction = self._bounds.quota_fraction
        if accounts.could_hold(job.spec.kind, job.spec.team, need, fraction):
            return None
        return self._elsewhere(job, now)

    def _place_whole(
        self, job: _jobs.Job, now: float
    ) -> base.GangStart | None:
        indices = sorted(job.pending)
        starts = self.place_all(job, indices, now)
        if len(starts) < len(indices):
            for start in starts:
                self._ledger.undo(job, work.index_of(start.task))
            return None
        for _ in indices:
            self._ledger.take_pending(job)
        job.ran = True
        return base.GangStart(job.job_id, starts)
