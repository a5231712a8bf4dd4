"""Keep jobs, bookings and accounts in step."""

import collections

from hibiscusslip.model import work
from hibiscusslip.scheduler import _accounts
from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _order
from hibiscusslip.scheduler import _vector

MAX_ENDED_JOBS = 4096


class Ledger:
    """Move tasks between queued, booked and over, and count them."""

    def __init__(
        self,
        book: _endpoints.Book,
        accounts: _accounts.Accounts,
        order: _order.QueueOrder,
    ) -> None:
        self.book = book
        self.accounts = accounts
        self.order = order
        self.jobs: dict[str, _jobs.Job] = {}
        self.queued = 0
        self.queued_by_kind: collections.Counter[str] = collections.Counter()
        self.queued_by_team: collections.Counter[str] = collections.Counter()
        self.queued_need: dict[str, _vector.Vector] = collections.defaultdict(
            lambda: _vector.ZERO
        )
        self.fenced_freed = False
        self._ended: collections.OrderedDict[str, _jobs.Job] = (
            collections.OrderedDict()
        )
        self._seq = 0

    def job(
        self,
        spec: work.JobSpec,
        now: float,
        need: _vector.Vector | None = None,
    ) -> _jobs.Job:
        """Return the record of a job, a new one if there is none.

        `need` is what one task books, the declared demand by default.
        """
        job = self.jobs.get(spec.job_id)
        if job is None:
            job = self._ended.pop(spec.job_id, None)
        if job is None:
            self._seq += 1
            booked = need or _vector.of(spec.demand)
            job = _jobs.Job(spec, booked, now, self._seq)
        self.jobs[spec.job_id] = job
        return job

    def find(self, job_id: str) -> _jobs.Job | None:
        """Return the record of a job, also of one that ended lately."""
        return self.jobs.get(job_id) or self._ended.get(job_id)

    def queue(self, job: _jobs.Job, indices: list[int]) -> None:
        """Add tasks to the queue."""
        job.pending[:0] = reversed(indices)
        self._count(job, len(indices))
        if job.pending:
            self.order.push(job)

    def delay(self, job: _jobs.Job, index: int) -> None:
        """Count a task as queued that mustn't start yet."""
        job.delayed.add(index)
        self._count(job, 1)

    def undelay(self, job: _jobs.Job, index: int) -> None:
        """Let a delayed task start."""
        if index in job.delayed:
            job.delayed.discard(index)
            self._count(job, -1)
            self.queue(job, [index])

    def unqueue(self, job: _jobs.Job) -> None:
        """Take all waiting tasks of a job off the queue."""
        self.order.discard(job)
        self._count(job, -len(job.pending) - len(job.delayed))
        job.pending.clear()
        job.delayed.clear()

    def forget_waiting(self, job: _jobs.Job, index: int) -> None:
        """Take one task off the queue."""
        if index in job.delayed:
            job.delayed.discard(index)
            self._count(job, -1)
        elif index in job.pending:
            job.pending.remove(index)
            self._count(job, -1)
            if not job.pending:
                self.order.discard(job)

    def take_pending(self, job: _jobs.Job) -> int:
        """Return the next waiting task, which is off the queue now."""
        index = job.pending.pop()
        self._count(job, -1)
        if not job.pending:
            self.order.discard(job)
        return index

    def place(
        self, job: _jobs.Job, index: int, endpoint: str, now: float
    ) -> None:
        """Book a task on an endpoint."""
        spec = job.spec
        task = work.task_id(spec.job_id, index)
        room = self.book.book(task, endpoint, job.demand)
        job.placed[index] = endpoint
        job.racks[room.rack] += 1
        job.since[index] = now
        self.accounts.take(spec.kind, spec.team, job.demand)
        plain = self.book.reserve.reachable(room)
        self.order.booked(room.name, room.free, plain)
        self.order.held_changed(spec.kind, spec.team)

    def release(self, job: _jobs.Job, index: int) -> None:
        """Free what a task holds; nothing happens when it holds nothing."""
        room = self.undo(job, index)
        if room is None:
            return
        if room.usable:
            self.freed(room)
        self.fenced_freed |= room.fenced

    def freed(self, room: _endpoints.Room) -> None:
        """Let jobs try the free room of an endpoint."""
        plain = self.book.reserve.reachable(room)
        self.order.freed(room.name, room.free, plain)

    def undo(self, job: _jobs.Job, index: int) -> _endpoints.Room | None:
        """Take a booking back that never mattered to other jobs."""
        if index not in job.placed:
            return None
        del job.placed[index]
        job.since.pop(index, None)
        spec = job.spec
        room = self.book.unbook(work.task_id(spec.job_id, index))
        if room is not None:
            self._leave_rack(job, room.rack)
        self.accounts.give(spec.kind, spec.team, job.demand)
        self.order.held_changed(spec.kind, spec.team)
        return room

    def settle(self, job: _jobs.Job) -> None:
        """Keep a job that is over only for a while."""
        if not job.over or job.job_id not in self.jobs:
            return
        del self.jobs[job.job_id]
        self._ended[job.job_id] = job
        if len(self._ended) > MAX_ENDED_JOBS:
            self._ended.popitem(last=False)

    @staticmethod
    def _leave_rack(job: _jobs.Job, rack: str) -> None:
        job.racks[rack] -= 1
        if job.racks[rack] <= 0:
            del job.racks[rack]

    def _count(self, job: _jobs.Job, number: int) -> None:
        self.queued += number
        self.queued_by_kind[job.spec.kind] += number
        self.queued_by_team[job.spec.team] += number
        need = _vector.scale(job.demand, number)
        kind = job.spec.kind
        self.queued_need[kind] = _vector.add(self.queued_need[kind], need)
