"""Gather room for one gang at a time, filling gaps with short work."""

import dataclasses

from hibiscusslip.model import work
from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _learning
from hibiscusslip.scheduler import _ledger
from hibiscusslip.scheduler import _reserve
from hibiscusslip.scheduler import _vector

MAX_ROOMS_LOOKED_AT = 256
REPLAN_AFTER_S = 2.0
PAUSE_S = 1.0
MAX_PAUSE_DOUBLINGS = 5


@dataclasses.dataclass(slots=True)
class Plan:
    """Hold the endpoints kept for a gang and when it should start."""

    job: _jobs.Job
    rooms: list[_endpoints.Room]
    start_at: float
    replan_at: float


class Gatherer:
    """Keep endpoints for the gang whose turn it is.

    Only one gang gathers at a time, so that two never wait for each
    other. Work that is expected to end before the gang starts may still
    use the kept endpoints.
    """

    def __init__(
        self,
        ledger: _ledger.Ledger,
        learner: _learning.Learner,
        backfill: bool,
    ) -> None:
        self._backfill = backfill
        self._ledger = ledger
        self._learner = learner
        self.plan: Plan | None = None
        self.backfilled = 0

    def begin(self, job: _jobs.Job, now: float) -> bool:
        """Keep endpoints for a gang; False when they can't suffice."""
        plan = self._make(job, now) if now >= job.gather_at else None
        if plan is None:
            return False
        self.plan = plan
        for room in plan.rooms:
            self._fence(room, True)
        return True

    def give_up(self, now: float) -> None:
        """Let others have the endpoints, as the gang can't start on them.

        Room alone isn't all that a gang needs: shares and what is kept for
        others may keep it back for as long as they like.
        """
        if self.plan is None:
            return
        job = self.plan.job
        doublings = min(job.gather_fails, MAX_PAUSE_DOUBLINGS)
        job.gather_at = now + PAUSE_S * 2**doublings
        job.gather_fails += 1
        self.stop()

    def stop(self) -> None:
        """Give the kept endpoints back."""
        if self.plan is None:
            return
        rooms = self.plan.rooms
        self.plan = None
        for room in rooms:
            self._fence(room, False)
            if room.open:
                self._ledger.freed(room)

    def check(self, now: float) -> None:
        """Stop for a gang that is gone, plan anew when it is late."""
        plan = self.plan
        if plan is None:
            return
        job = plan.job
        if not job.pending:
            self.stop()
        elif now >= plan.replan_at and self.ready():
            self.give_up(now)
        elif now >= plan.replan_at:
            self.stop()
            self.begin(job, now)

    def ready(self) -> bool:
        """Tell whether the kept endpoints have room for the whole gang."""
        plan = self.plan
        if plan is None:
            return False
        need = plan.job.demand
        fits = sum(_reserve.count(need, r.free) for r in plan.rooms)
        return fits >= len(plan.job.pending)

    def backfill(self, job: _jobs.Job, now: float) -> _endpoints.Room | None:
        """Return a kept endpoint that a short task may use meanwhile."""
        plan = self.plan
        if plan is None or job is plan.job or not self._backfill:
            return None
        left = plan.start_at - now
        if self._learner.estimate(job.spec).high > left:
            return None
        for room in plan.rooms:
            if room.usable and _vector.fits(job.demand, room.free):
                self.backfilled += 1
                return room
        return None

    def _fence(self, room: _endpoints.Room, fenced: bool) -> None:
        room.fenced = fenced
        if room.name in self._ledger.book.rooms:
            self._ledger.book.refresh(room)

    def _make(self, job: _jobs.Job, now: float) -> Plan | None:
        steps: list[tuple[float, int, int]] = []
        rooms = self._look_at()
        for position, room in enumerate(rooms):
            steps.extend(self._steps(job.demand, room, position, now))
        steps.sort()
        wanted = len(job.pending)
        chosen: set[int] = set()
        for when, position, more in steps:
            chosen.add(position)
            wanted -= more
            if wanted <= 0:
                kept = [rooms[i] for i in sorted(chosen)]
                replan = max(when, now) + REPLAN_AFTER_S
                return Plan(job, kept, when, replan)
        return None

    def _look_at(self) -> list[_endpoints.Room]:
        rooms = [r for r in self._ledger.book.rooms.values() if r.usable]
        if len(rooms) <= MAX_ROOMS_LOOKED_AT:
            return rooms
        step = len(rooms) / MAX_ROOMS_LOOKED_AT
        return [rooms[int(i * step)] for i in range(MAX_ROOMS_LOOKED_AT)]

    def _steps(
        self,
        need: _vector.Vector,
        room: _endpoints.Room,
        position: int,
        now: float,
    ) -> list[tuple[float, int, int]]:
        free = room.free
        count = _reserve.count(need, free)
        steps = [(now, position, count)] if count else []
        for when, amount in sorted(self._ends(room, now)):
            free = _vector.add(free, amount)
            more = _reserve.count(need, free) - count
            if more > 0:
                steps.append((when, position, more))
                count += more
        return steps

    def _ends(
        self, room: _endpoints.Room, now: float
    ) -> list[tuple[float, _vector.Vector]]:
        ends = []
        for task, amount in room.tasks.items():
            job = self._ledger.jobs.get(work.job_of(task))
            if job is None or job.spec.form is work.Form.SERVICE:
                continue
            since = job.since.get(work.index_of(task), now)
            end = since + self._learner.estimate(job.spec).high
            if end <= now:
                end = now + max(now - since, REPLAN_AFTER_S)
            ends.append((end, amount))
        return ends
