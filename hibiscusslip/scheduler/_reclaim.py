"""Take lent resources back for kinds below their guarantee."""

import dataclasses
import random

from hibiscusslip.model import work
from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _ledger
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base

CHECK_EVERY_S = 0.25
ROOMS_SAMPLED = 12
MAX_PER_CHECK = 8
PATIENCE_S = 30.0
CHECKPOINT_COST_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Victim:
    """Hold a task that could be ended, and the work lost by it."""

    job: _jobs.Job
    task: str
    need: _vector.Vector
    method: base.ReclaimMethod
    cost: float


class Reclaimer:
    """Choose which lent tasks end, the cheapest first.

    The cost is the work lost: what a stopped task has run so far, or what
    saving and restoring a checkpoint takes.
    """

    def __init__(
        self,
        ledger: _ledger.Ledger,
        rng: random.Random,
    ) -> None:
        self._ledger = ledger
        self._rng = rng
        self._coming: dict[str, tuple[str, _vector.Vector, float]] = {}
        self._next_check = 0.0

    def forget(self, task: str) -> None:
        """Note that a task has ended."""
        self._coming.pop(task, None)

    def check(self, now: float) -> list[base.Preempt]:
        """Return what to take back now; rarely more than a few."""
        if now < self._next_check:
            return []
        self._next_check = now + CHECK_EVERY_S
        self._expire(now)
        preempts: list[base.Preempt] = []
        for kind, account in self._ledger.accounts.kinds.items():
            if account.standing < 1.0 and self._ledger.queued_by_kind[kind]:
                preempts.extend(self._for_kind(kind, now))
        return preempts

    def _expire(self, now: float) -> None:
        old = [t for t, row in self._coming.items() if row[2] <= now]
        for task in old:
            del self._coming[task]

    def _for_kind(self, kind: str, now: float) -> list[base.Preempt]:
        preempts: list[base.Preempt] = []
        lenders = self._lent_kinds(kind)
        if not lenders:
            return preempts
        for head in self._ledger.order.heads(kind):
            for _ in range(len(head.pending)):
                if len(preempts) >= MAX_PER_CHECK:
                    return preempts
                if not self._wanted(kind, head):
                    break
                found = self._cheapest(head, lenders, now)
                if not found:
                    break
                preempts.extend(self._take(kind, found, now))
        return preempts

    def _lent_kinds(self, kind: str) -> set[str]:
        kinds = self._ledger.accounts.kinds.items()
        return {k for k, a in kinds if k != kind and a.standing > 1.0}

    def _wanted(self, kind: str, head: _jobs.Job) -> bool:
        account = self._ledger.accounts.kind(kind)
        coming = _vector.ZERO
        for owner, amount, _ in self._coming.values():
            if owner == kind:
                coming = _vector.add(coming, amount)
        queued = self._ledger.queued_need[kind]
        left = _vector.sub(account.guarantee, account.held)
        want = _vector.sub(_vector.least(left, queued), coming)
        return _vector.fits(head.demand, want)

    def _cheapest(
        self, head: _jobs.Job, lenders: set[str], now: float
    ) -> list[Victim]:
        rooms = self._ledger.book.sample(ROOMS_SAMPLED, self._rng)
        best: list[Victim] = []
        least = float('inf')
        for room in rooms:
            victims = self._victims(room, head.demand, lenders, now)
            cost = sum(victim.cost for victim in victims)
            if victims and cost < least:
                best, least = victims, cost
        return best

    def _victims(
        self,
        room: _endpoints.Room,
        need: _vector.Vector,
        lenders: set[str],
        now: float,
    ) -> list[Victim]:
        free = room.free
        if not room.usable or not _vector.fits(need, room.capacity):
            return []
        chosen = []
        for victim in self._candidates(room, lenders, now):
            chosen.append(victim)
            free = _vector.add(free, victim.need)
            if _vector.fits(need, free):
                return chosen
        return []

    def _candidates(
        self, room: _endpoints.Room, lenders: set[str], now: float
    ) -> list[Victim]:
        found = []
        for task, need in room.tasks.items():
            job = self._ledger.jobs.get(work.job_of(task))
            if job is None or task in self._coming:
                continue
            if job.since.get(work.index_of(task), now) >= now:
                continue
            if job.spec.kind in lenders and _stoppable(job):
                found.append(self._victim(job, task, need, now))
        return sorted(found, key=lambda v: (-v.job.spec.urgency, v.cost))

    def _victim(
        self, job: _jobs.Job, task: str, need: _vector.Vector, now: float
    ) -> Victim:
        elapsed = now - job.since.get(work.index_of(task), now)
        size = _vector.dominant(need, self._ledger.accounts.capacity)
        if elapsed <= CHECKPOINT_COST_S:
            return Victim(
                job, task, need, base.ReclaimMethod.STOP, elapsed * size
            )
        method = base.ReclaimMethod.CHECKPOINT
        return Victim(job, task, need, method, CHECKPOINT_COST_S * size)

    def _take(
        self, kind: str, victims: list[Victim], now: float
    ) -> list[base.Preempt]:
        preempts = []
        for victim in victims:
            until = now + PATIENCE_S
            self._coming[victim.task] = (kind, victim.need, until)
            reason = (
                f'kind {victim.job.spec.kind} holds more than its guarantee '
                f'and kind {kind} waits below its own'
            )
            preempts.append(base.Preempt(victim.task, victim.method, reason))
        return preempts


def throttle_for(
    room: _endpoints.Room, ledger: _ledger.Ledger
) -> base.Preempt | None:
    """Slow down the least urgent task of an endpoint short of processors."""
    if room.free[0] >= 0:
        return None
    rows = []
    for task in room.tasks:
        job = ledger.jobs.get(work.job_of(task))
        if job is not None:
            rows.append((job.spec.urgency, job.seq, task))
    if not rows:
        return None
    reason = f'endpoint {room.name} runs more than it has processors for'
    return base.Preempt(max(rows)[2], base.ReclaimMethod.THROTTLE, reason)


def _stoppable(job: _jobs.Job) -> bool:
    """Tell whether a task may be ended and run again later."""
    if job.gang or job.foreign or not job.accepted:
        return False
    return job.spec.repeatable and job.spec.form is work.Form.BATCH
