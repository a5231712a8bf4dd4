"""Order the queue by guarantee, urgency and fair shares of teams.

Sets of shapes are bit masks: bit n stands for shape n.
"""

import collections
import collections.abc
import functools

from hibiscusslip.model import work
from hibiscusslip.scheduler import _accounts
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _order
from hibiscusslip.scheduler import _queues
from hibiscusslip.scheduler import _shapes
from hibiscusslip.scheduler import _vector

URGENCIES = tuple(work.Urgency)
ACCUMULATE_AFTER_S = 2.0
OVERDUE_CHOICE_INTERVAL = 16
WAIT_TARGETS_S = {
    work.Urgency.URGENT: 8.7,
    work.Urgency.HIGH: 60.0,
    work.Urgency.NORMAL: 600.0,
    work.Urgency.LOW: 3600.0,
}
MIN_TOTAL_WEIGHT = 1e-6


class KindQueue:
    """Represent the queues of one kind and the weights of the waiting teams.

    `skipped_shapes` are blocked by the share in this scheduling pass;
    `allowed_shapes` fit the allowances that `allowed_key` was computed for.
    `accumulating_gang` is the gang that the kind accumulates capacity for.
    """

    def __init__(self) -> None:
        self.urgency_queues = {
            urgency: _queues.UrgencyQueue() for urgency in URGENCIES
        }
        self.skipped_shapes = 0
        self.allowed_shapes = 0
        self.accumulating_gang: _jobs.Job | None = None
        self.allowed_key: tuple[object, int] | None = None
        self.total_weight = 0.0
        self.teams: collections.Counter[str] = collections.Counter()

    def waiting_shapes(self) -> int:
        """Return the mask of the shapes that have waiting jobs."""
        mask = 0
        for urgency_queue in self.urgency_queues.values():
            mask |= urgency_queue.mask
        return mask

    def usable(self, urgency: int, unblocked: int, short: int) -> int:
        """Return the mask of the shapes that may start at an urgency now.

        While the kind accumulates capacity for a gang, only more urgent work,
        the shape of the gang and the shapes in `short` may start.
        """
        mask = unblocked & self.allowed_shapes & ~self.skipped_shapes
        gang = self.accumulating_gang
        if gang is None or urgency < gang.spec.urgency:
            return mask
        return mask & (short | 1 << gang.shape)

    def add_team(self, team: str, weight: float) -> None:
        """Count a team that waits in one more urgency queue."""
        self.teams[team] += 1
        if self.teams[team] == 1:
            self.total_weight += weight

    def remove_team(self, team: str, weight: float) -> None:
        """Uncount a team that no longer waits in one urgency queue."""
        self.teams[team] -= 1
        if not self.teams[team]:
            del self.teams[team]
            self.total_weight = max(0.0, self.total_weight - weight)


class FairOrder(_order.QueueOrder):
    """Try kinds below their guarantee first, then by urgency.

    Within a kind and urgency the team with the lowest weighted dominant share
    goes first; a more urgent job of a team above its fair share yields to a
    less urgent one of a team below it. One of `OVERDUE_CHOICE_INTERVAL`
    choices goes to a job that has waited longer than the target of its
    urgency. If the shares don't let a kind start a whole gang, the kind
    accumulates capacity for it.
    """

    def __init__(self, accounts: _accounts.Accounts, backfill: bool) -> None:
        self._accounts = accounts
        self._backfill = backfill
        self._kinds: dict[str, KindQueue] = {}
        self._shapes = _shapes.Shapes()
        self._skipped: list[_queues.TeamQueue] = []
        self._choices = 0
        self._now = 0.0

    def push(self, job: _jobs.Job) -> None:
        """Add a job that has pending tasks."""
        if job.shape < 0:
            job.shape = self._shapes.shape_of(job)
        spec = job.spec
        share = self._accounts.team_share(spec.kind, spec.team)
        if self._urgency_queue(job).push(job, share):
            weight = self._accounts.weight(spec.team)
            self._kinds[spec.kind].add_team(spec.team, weight)

    def discard(self, job: _jobs.Job) -> None:
        """Remove a job."""
        spec = job.spec
        queue = self._kinds.get(spec.kind)
        if queue is not None and queue.accumulating_gang is job:
            queue.accumulating_gang = None
        if job.shape >= 0 and self._urgency_queue(job).discard(job):
            weight = self._accounts.weight(spec.team)
            self._kinds[spec.kind].remove_team(spec.team, weight)

    def begin_pass(self, now: float) -> None:
        """Clear the blocks by shares, quotas and single jobs."""
        self._now = now
        for queue in self._kinds.values():
            queue.skipped_shapes = 0
        for team_queue in self._skipped:
            team_queue.skipped_shapes = 0
        self._skipped.clear()

    def choose(self, now: float) -> _jobs.Job | None:
        """Return the job to try next."""
        unblocked = ~self._shapes.blocked
        self._choices += 1
        if self._choices % OVERDUE_CHOICE_INTERVAL == 0:
            overdue = self._overdue_job(now, unblocked)
            if overdue is not None:
                return overdue
        while True:
            kind = self._next_kind(unblocked)
            if kind is None:
                self._shapes.end_pass()
                return None
            job = self._next_job(kind, unblocked)
            if job is not None:
                return job

    def block(self, job: _jobs.Job, reason: _order.BlockReason) -> None:
        """Skip a job's shape in the scope that the reason applies to.

        Lack of capacity blocks the shape for all, a share for the kind, and
        other reasons for the team.
        """
        bit = 1 << job.shape
        if reason is _order.BlockReason.CAPACITY:
            self._shapes.block(job.shape)
        elif reason is _order.BlockReason.SHARE:
            queue = self._kinds[job.spec.kind]
            queue.skipped_shapes |= bit
            waited = self._now - job.submitted
            if (
                job.gang
                and not queue.accumulating_gang
                and waited >= ACCUMULATE_AFTER_S
            ):
                queue.accumulating_gang = job
        else:
            team_queue = self._urgency_queue(job).teams.get(job.spec.team)
            if team_queue is not None:
                team_queue.skipped_shapes |= bit
                self._skipped.append(team_queue)

    def handle_usage_change(self, kind: str, team: str) -> None:
        """Reorder the team in the queues of the kind."""
        queue = self._kinds.get(kind)
        if queue is None:
            return
        share = self._accounts.team_share(kind, team)
        for urgency_queue in queue.urgency_queues.values():
            urgency_queue.lower_share(team, share)

    def first_jobs(self, kind: str) -> list[_jobs.Job]:
        """Return the oldest jobs of a kind, one of each urgency."""
        queue = self._kinds.get(kind)
        if queue is None:
            return []
        jobs = [
            urgency_queue.first_job()
            for urgency_queue in queue.urgency_queues.values()
        ]
        return [job for job in jobs if job is not None]

    def handle_freed(
        self, name: str, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> None:
        """Unblock the shapes that may fit the endpoint now."""
        self._shapes.handle_freed(name, free, cpu_only_free)

    def handle_allocated(
        self, name: str, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> None:
        """Block the shapes again that don't fit the endpoint any more."""
        self._shapes.handle_allocated(name, free, cpu_only_free)

    def unblock_all(self) -> None:
        """Unblock every shape and recompute all weights and shares."""
        self._shapes.unblock_all()
        for kind, queue in self._kinds.items():
            weights = map(self._accounts.weight, queue.teams)
            queue.total_weight = sum(weights)
            for urgency_queue in queue.urgency_queues.values():
                urgency_queue.rebuild(functools.partial(self._share, kind))

    def _urgency_queue(self, job: _jobs.Job) -> _queues.UrgencyQueue:
        queue = self._kinds.get(job.spec.kind)
        if queue is None:
            queue = self._kinds[job.spec.kind] = KindQueue()
        return queue.urgency_queues[job.spec.urgency]

    def _next_kind(self, unblocked: int) -> str | None:
        best = None
        for name, queue in self._kinds.items():
            urgency = self._most_urgent_eligible(name, queue, unblocked)
            if urgency is None:
                continue
            ratio = self._accounts.guarantee_ratio(name)
            rank = (ratio >= 1.0, urgency, ratio, name)
            if best is None or rank < best:
                best = rank
        return best[3] if best else None

    def _most_urgent_eligible(
        self, kind: str, queue: KindQueue, unblocked: int
    ) -> int | None:
        if not unblocked & queue.waiting_shapes() & ~queue.skipped_shapes:
            return None
        self._update_allowed_shapes(kind, queue)
        short = self._backfill_shapes()
        for urgency, urgency_queue in queue.urgency_queues.items():
            if urgency_queue.mask & queue.usable(urgency, unblocked, short):
                return int(urgency)
        return None

    def _backfill_shapes(self) -> int:
        return self._shapes.short_shapes if self._backfill else 0

    def _overdue_job(self, now: float, unblocked: int) -> _jobs.Job | None:
        """Return a job that has waited longer than its target."""
        for kind, queue in self._kinds.items():
            for urgency, urgency_queue in queue.urgency_queues.items():
                job = urgency_queue.first_job()
                if (
                    job is None
                    or now - job.submitted < WAIT_TARGETS_S[urgency]
                ):
                    continue
                self._update_allowed_shapes(kind, queue)
                usable = queue.usable(
                    urgency, unblocked, self._backfill_shapes()
                )
                usable &= ~urgency_queue.teams[job.spec.team].skipped_shapes
                if usable >> job.shape & 1:
                    return job
        return None

    def _update_allowed_shapes(self, kind: str, queue: KindQueue) -> None:
        allowances = self._accounts.allowances(kind)
        key = (allowances, self._shapes.version)
        if queue.allowed_key == key:
            return
        fitting = self._shapes.shapes_fitting
        guaranteed, borrowed = allowances
        queue.allowed_shapes = fitting(guaranteed) | fitting(borrowed)
        queue.allowed_key = key

    def _next_job(self, kind: str, unblocked: int) -> _jobs.Job | None:
        queue = self._kinds[kind]
        fair = self._fair_share(kind, queue)
        first = None
        for urgency, urgency_queue in queue.urgency_queues.items():
            usable = queue.usable(urgency, unblocked, self._backfill_shapes())
            candidate = self._lowest_share_team(kind, urgency_queue, usable)
            if candidate is None:
                continue
            if first is None or candidate[0] < fair:
                first = (candidate[1], usable)
            if candidate[0] < fair:
                break
        if first is None:
            queue.skipped_shapes |= unblocked & queue.allowed_shapes
            return None
        team, usable = first
        return team.oldest(team.mask & usable & ~team.skipped_shapes)

    def _lowest_share_team(
        self, kind: str, urgency_queue: _queues.UrgencyQueue, usable: int
    ) -> tuple[float, _queues.TeamQueue] | None:
        if not urgency_queue.mask & usable:
            return None
        return urgency_queue.lowest_share_team(
            usable, functools.partial(self._share, kind)
        )

    def _share(self, kind: str, team: str) -> float:
        return self._accounts.team_share(kind, team)

    def _fair_share(self, kind: str, queue: KindQueue) -> float:
        account = self._accounts.kind(kind)
        share = max(account.dominant_share, account.share.guarantee)
        return share / max(queue.total_weight, MIN_TOTAL_WEIGHT)
