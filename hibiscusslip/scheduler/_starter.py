"""Start queued jobs."""

from hibiscusslip.model import work
from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _gang_reservation
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
        reserver: _gang_reservation.GangReserver,
        health: _health.EndpointHealth,
        bounds: limits.Limits,
    ) -> None:
        self._ledger = ledger
        self._placement = placement
        self._reserver = reserver
        self._health = health
        self._bounds = bounds

    def start(
        self, job: _jobs.Job, now: float
    ) -> base.Start | base.GangStart | _order.BlockReason:
        """Start one task or a whole gang, or return what blocks it."""
        if job.gang:
            return self._start_gang(job, now)
        block = self.find_block(job, job.demand)
        if block is not None:
            return block
        endpoint = self._probe_endpoint(job) or self.choose_endpoint(job)
        endpoint = endpoint or self._reserver.backfill(job, now)
        if endpoint is None:
            return _order.BlockReason.CAPACITY
        job.ever_started = True
        index = self._ledger.pop_pending(job)
        return self._start(job, index, endpoint, now)

    def find_block(
        self, job: _jobs.Job, need: _vector.Vector
    ) -> _order.BlockReason | None:
        """Return QUOTA or SHARE if that limit blocks `need`, else None."""
        accounts = self._ledger.accounts
        fraction = self._bounds.quota_fraction
        if not accounts.within_quota(job.spec.team, need, fraction):
            return _order.BlockReason.QUOTA
        if not accounts.within_shares(job.spec.kind, need):
            return _order.BlockReason.SHARE
        return None

    def choose_endpoint(self, job: _jobs.Job) -> _endpoints.Endpoint | None:
        """Return an endpoint that fits one task of a job."""
        inventory = self._ledger.inventory
        if job.spread:
            return self._placement.choose_spread(
                inventory, job.demand, job.tasks_by_rack
            )
        return self._placement.choose(inventory, job.demand)

    def place_tasks(
        self, job: _jobs.Job, indices: list[int], now: float
    ) -> list[base.Start]:
        """Allocate for as many of the tasks as fit."""
        starts = []
        for index in indices:
            endpoint = self.choose_endpoint(job)
            if endpoint is None:
                break
            starts.append(self._start(job, index, endpoint, now))
        return starts

    def start_reserved_gang(self, now: float) -> base.GangStart | None:
        """Start the gang with the reservation if its endpoints can run it."""
        plan = self._reserver.plan
        if plan is None or not self._reserver.is_ready():
            return None
        job = plan.job
        need = _vector.scale(job.demand, len(job.pending))
        if self.find_block(job, need) is not None:
            self._reserver.abandon(now)
            return None
        self._reserver.release()
        starts = self._place_gang(job, now)
        if starts is None and self._reserver.reserve(job, now):
            self._reserver.abandon(now)
        return starts

    def _probe_endpoint(self, job: _jobs.Job) -> _endpoints.Endpoint | None:
        if not self._health.probation:
            return None
        if not job.spec.repeatable or job.spread:
            return None
        return self._health.probe_endpoint(job.demand)

    def _start(
        self,
        job: _jobs.Job,
        index: int,
        endpoint: _endpoints.Endpoint,
        now: float,
    ) -> base.Start:
        self._ledger.place(job, index, endpoint.name, now)
        return base.Start(work.task_id(job.job_id, index), endpoint.name)

    def _start_gang(
        self, job: _jobs.Job, now: float
    ) -> base.GangStart | _order.BlockReason:
        need = _vector.scale(job.demand, len(job.pending))
        accounts = self._ledger.accounts
        if not _vector.fits(need, accounts.kind(job.spec.kind).ceiling):
            return self._block_for_remote(job, now)
        block = self.find_block(job, need)
        if block is not None:
            return self._block_beyond_shard(job, need, now) or block
        plan = self._reserver.plan
        if plan is not None and plan.job is job:
            return _order.BlockReason.CAPACITY
        started = self._place_gang(job, now)
        if started is not None:
            return started
        if plan is not None or self._reserver.reserve(job, now):
            return _order.BlockReason.CAPACITY
        return self._block_for_remote(job, now)

    @staticmethod
    def _block_for_remote(job: _jobs.Job, now: float) -> _order.BlockReason:
        retry_due = now >= job.next_remote_attempt_at
        return (
            _order.BlockReason.REMOTE if retry_due else _order.BlockReason.JOB
        )

    def _block_beyond_shard(
        self, job: _jobs.Job, need: _vector.Vector, now: float
    ) -> _order.BlockReason | None:
        """Return the reason to block a gang beyond its ceiling or quota here.

        Return None if this shard could start it once other work completes.
        """
        accounts = self._ledger.accounts
        fraction = self._bounds.quota_fraction
        if accounts.could_ever_hold(
            job.spec.kind, job.spec.team, need, fraction
        ):
            return None
        return self._block_for_remote(job, now)

    def _place_gang(self, job: _jobs.Job, now: float) -> base.GangStart | None:
        indices = sorted(job.pending)
        starts = self.place_tasks(job, indices, now)
        if len(starts) < len(indices):
            for start in starts:
                self._ledger.roll_back(job, work.index_of(start.task))
            return None
        for _ in indices:
            self._ledger.pop_pending(job)
        job.ever_started = True
        return base.GangStart(job.job_id, starts)
