"""Order the queue by guarantee, urgency and fair shares of teams."""

import collections
import collections.abc
import functools

from hibiscusslip.model import work
from hibiscusslip.scheduler import _accounts
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _lanes
from hibiscusslip.scheduler import _order
from hibiscusslip.scheduler import _shapes
from hibiscusslip.scheduler import _vector

URGENCIES = tuple(work.Urgency)
SAVE_AFTER_S = 2.0
OVERDUE_TURNS = 16
TARGETS_S = {
    work.Urgency.URGENT: 8.7,
    work.Urgency.HIGH: 60.0,
    work.Urgency.NORMAL: 600.0,
    work.Urgency.LOW: 3600.0,
}
MIN_WEIGHTS = 1e-6


class KindQueue:
    """Keep the lanes of one kind and the weights of the waiting teams."""

    def __init__(self) -> None:
        self.lanes = {urgency: _lanes.Lane() for urgency in URGENCIES}
        self.skip = 0
        self.allowed = 0
        self.saving: _jobs.Job | None = None
        self.known: tuple[object, int] | None = None
        self.weights = 0.0
        self.teams: collections.Counter[str] = collections.Counter()

    def mask(self) -> int:
        """Return the shapes that wait."""
        mask = 0
        for lane in self.lanes.values():
            mask |= lane.mask
        return mask

    def usable(self, urgency: int, ready: int, short: int) -> int:
        """Return the shapes that may start with an urgency now.

        While the kind saves up for a gang, only more urgent work and
        `short` work starts beside it.
        """
        mask = ready & self.allowed & ~self.skip
        gang = self.saving
        if gang is None or urgency < gang.spec.urgency:
            return mask
        return mask & (short | 1 << gang.shape)

    def team_came(self, team: str, weight: float) -> None:
        """Count a team that waits in one more lane."""
        self.teams[team] += 1
        if self.teams[team] == 1:
            self.weights += weight

    def team_left(self, team: str, weight: float) -> None:
        """Uncount a team that waits in one lane less."""
        self.teams[team] -= 1
        if not self.teams[team]:
            del self.teams[team]
            self.weights = max(0.0, self.weights - weight)


class Fair(_order.QueueOrder):
    """Try kinds below their guarantee first, then by urgency.

    Inside a kind and urgency the team with the least weighted dominant
    share goes first; a more urgent job of a team beyond its fair share
    yields to a less urgent one of a team below it. Some turns go to jobs
    that have waited longer than the target of their urgency. A kind that
    may not hold a whole gang more saves up for it.
    """

    def __init__(self, accounts: _accounts.Accounts, backfill: bool) -> None:
        self._accounts = accounts
        self._backfill = backfill
        self._kinds: dict[str, KindQueue] = {}
        self._shapes = _shapes.Shapes()
        self._skipped: list[_lanes.TeamLane] = []
        self._turn = 0
        self._now = 0.0

    def push(self, job: _jobs.Job) -> None:
        """Add a job that has pending tasks."""
        if job.shape < 0:
            job.shape = self._shapes.number(job)
        spec = job.spec
        share = self._accounts.team_share(spec.kind, spec.team)
        if self._lane(job).push(job, share):
            weight = self._accounts.weight(spec.team)
            self._kinds[spec.kind].team_came(spec.team, weight)

    def discard(self, job: _jobs.Job) -> None:
        """Take a job out."""
        spec = job.spec
        queue = self._kinds.get(spec.kind)
        if queue is not None and queue.saving is job:
            queue.saving = None
        if job.shape >= 0 and self._lane(job).discard(job):
            weight = self._accounts.weight(spec.team)
            self._kinds[spec.kind].team_left(spec.team, weight)

    def begin(self, now: float) -> None:
        """Forget what shares, quotas and single jobs kept back."""
        self._now = now
        for queue in self._kinds.values():
            queue.skip = 0
        for lane in self._skipped:
            lane.skip = 0
        self._skipped.clear()

    def choose(self, now: float) -> _jobs.Job | None:
        """Return the job to try next."""
        ready = ~self._shapes.blocked
        self._turn += 1
        if self._turn % OVERDUE_TURNS == 0:
            overdue = self._overdue(now, ready)
            if overdue is not None:
                return overdue
        while True:
            kind = self._next_kind(ready)
            if kind is None:
                self._shapes.settle()
                return None
            job = self._next_job(kind, ready)
            if job is not None:
                return job

    def block(self, job: _jobs.Job, why: _order.Block) -> None:
        """Skip a job's shape at the level that the reason allows."""
        bit = 1 << job.shape
        if why is _order.Block.ROOM:
            self._shapes.block(job.shape)
        elif why is _order.Block.SHARE:
            queue = self._kinds[job.spec.kind]
            queue.skip |= bit
            waited = self._now - job.submitted
            if job.gang and not queue.saving and waited >= SAVE_AFTER_S:
                queue.saving = job
        else:
            lane = self._lane(job).teams.get(job.spec.team)
            if lane is not None:
                lane.skip |= bit
                self._skipped.append(lane)

    def held_changed(self, kind: str, team: str) -> None:
        """Reorder the team in the lanes of the kind."""
        queue = self._kinds.get(kind)
        if queue is None:
            return
        share = self._accounts.team_share(kind, team)
        for lane in queue.lanes.values():
            lane.reorder(team, share)

    def heads(self, kind: str) -> list[_jobs.Job]:
        """Return the oldest jobs of a kind, one of each urgency."""
        queue = self._kinds.get(kind)
        if queue is None:
            return []
        heads = [lane.head() for lane in queue.lanes.values()]
        return [job for job in heads if job is not None]

    def freed(
        self, name: str, free: _vector.Vector, plain: _vector.Vector
    ) -> None:
        """Try the shapes again that may fit."""
        self._shapes.freed(name, free, plain)

    def booked(
        self, name: str, free: _vector.Vector, plain: _vector.Vector
    ) -> None:
        """Skip again what an endpoint can't take any more."""
        self._shapes.booked(name, free, plain)

    def changed(self) -> None:
        """Try every shape again and read all shares anew."""
        self._shapes.unblock_all()
        for kind, queue in self._kinds.items():
            weights = map(self._accounts.weight, queue.teams)
            queue.weights = sum(weights)
            for lane in queue.lanes.values():
                lane.rebuild(functools.partial(self._share, kind))

    def _lane(self, job: _jobs.Job) -> _lanes.Lane:
        queue = self._kinds.get(job.spec.kind)
        if queue is None:
            queue = self._kinds[job.spec.kind] = KindQueue()
        return queue.lanes[job.spec.urgency]

    def _next_kind(self, ready: int) -> str | None:
        best = None
        for name, queue in self._kinds.items():
            urgency = self._first_urgency(name, queue, ready)
            if urgency is None:
                continue
            standing = self._accounts.standing(name)
            rank = (standing >= 1.0, urgency, standing, name)
            if best is None or rank < best:
                best = rank
        return best[3] if best else None

    def _first_urgency(
        self, kind: str, queue: KindQueue, ready: int
    ) -> int | None:
        if not ready & queue.mask() & ~queue.skip:
            return None
        self._allow(kind, queue)
        short = self._short()
        for urgency, lane in queue.lanes.items():
            if lane.mask & queue.usable(urgency, ready, short):
                return int(urgency)
        return None

    def _short(self) -> int:
        return self._shapes.short if self._backfill else 0

    def _overdue(self, now: float, ready: int) -> _jobs.Job | None:
        """Return a job that has waited far longer than it should."""
        for kind, queue in self._kinds.items():
            for urgency, lane in queue.lanes.items():
                job = lane.head()
                if job is None or now - job.submitted < TARGETS_S[urgency]:
                    continue
                self._allow(kind, queue)
                usable = queue.usable(urgency, ready, self._short())
                usable &= ~lane.teams[job.spec.team].skip
                if usable >> job.shape & 1:
                    return job
        return None

    def _allow(self, kind: str, queue: KindQueue) -> None:
        allowances = self._accounts.allowances(kind)
        known = (allowances, self._shapes.version)
        if queue.known == known:
            return
        fitting = self._shapes.fitting
        guaranteed, borrowed = allowances
        queue.allowed = fitting(guaranteed) | fitting(borrowed)
        queue.known = known

    def _next_job(self, kind: str, ready: int) -> _jobs.Job | None:
        queue = self._kinds[kind]
        fair = self._fair_share(kind, queue)
        first = None
        for urgency, lane in queue.lanes.items():
            usable = queue.usable(urgency, ready, self._short())
            found = self._lowest(kind, lane, usable)
            if found is None:
                continue
            if first is None or found[0] < fair:
                first = (found[1], usable)
            if found[0] < fair:
                break
        if first is None:
            queue.skip |= ready & queue.allowed
            return None
        team, usable = first
        return team.oldest(team.mask & usable & ~team.skip)

    def _lowest(
        self, kind: str, lane: _lanes.Lane, usable: int
    ) -> tuple[float, _lanes.TeamLane] | None:
        if not lane.mask & usable:
            return None
        return lane.lowest(usable, functools.partial(self._share, kind))

    def _share(self, kind: str, team: str) -> float:
        return self._accounts.team_share(kind, team)

    def _fair_share(self, kind: str, queue: KindQueue) -> float:
        account = self._accounts.kind(kind)
        level = max(account.fraction, account.share.guarantee)
        return level / max(queue.weights, MIN_WEIGHTS)
