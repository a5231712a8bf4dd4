"""Keep jobs, allocations and accounts consistent."""

import collections

from hibiscusslip.model import work
from hibiscusslip.scheduler import _accounts
from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _order
from hibiscusslip.scheduler import _vector

MAX_ARCHIVED_JOBS = 4096


class Ledger:
    """Move tasks between queued, allocated and over, and count them.

    Jobs that are over are archived for a while.
    """

    def __init__(
        self,
        inventory: _endpoints.Inventory,
        accounts: _accounts.Accounts,
        order: _order.QueueOrder,
    ) -> None:
        self.inventory = inventory
        self.accounts = accounts
        self.order = order
        self.jobs: dict[str, _jobs.Job] = {}
        self.queued = 0
        self.queued_by_kind: collections.Counter[str] = collections.Counter()
        self.queued_by_team: collections.Counter[str] = collections.Counter()
        self.queued_demand: dict[str, _vector.Vector] = (
            collections.defaultdict(lambda: _vector.ZERO)
        )
        self.reserved_capacity_freed = False
        self._archived: collections.OrderedDict[str, _jobs.Job] = (
            collections.OrderedDict()
        )
        self._seq = 0

    def get_or_add_job(
        self,
        spec: work.JobSpec,
        now: float,
        need: _vector.Vector | None = None,
    ) -> _jobs.Job:
        """Return the record of a job; add one if there is none.

        `need` is what to allocate to one task, the declared demand by default.
        """
        job = self.jobs.get(spec.job_id)
        if job is None:
            job = self._archived.pop(spec.job_id, None)
        if job is None:
            self._seq += 1
            demand = need or _vector.from_resources(spec.demand)
            job = _jobs.Job(spec, demand, now, self._seq)
        self.jobs[spec.job_id] = job
        return job

    def find(self, job_id: str) -> _jobs.Job | None:
        """Return the record of a job, also of an archived one."""
        return self.jobs.get(job_id) or self._archived.get(job_id)

    def queue(self, job: _jobs.Job, indices: list[int]) -> None:
        """Add tasks to the queue."""
        job.pending[:0] = reversed(indices)
        self._count_queued(job, len(indices))
        if job.pending:
            self.order.push(job)

    def delay(self, job: _jobs.Job, index: int, until: float) -> None:
        """Count a task as queued that must not start before `until`."""
        job.delayed[index] = until
        self._count_queued(job, 1)

    def undelay(self, job: _jobs.Job, index: int) -> None:
        """Move a delayed task to the queue."""
        if index in job.delayed:
            del job.delayed[index]
            self._count_queued(job, -1)
            self.queue(job, [index])

    def dequeue(self, job: _jobs.Job) -> None:
        """Remove all waiting tasks of a job from the queue."""
        self.order.discard(job)
        self._count_queued(job, -len(job.pending) - len(job.delayed))
        job.pending.clear()
        job.delayed.clear()

    def remove_waiting(self, job: _jobs.Job, index: int) -> None:
        """Remove one task from the queue."""
        if index in job.delayed:
            del job.delayed[index]
            self._count_queued(job, -1)
        elif index in job.pending:
            job.pending.remove(index)
            self._count_queued(job, -1)
            if not job.pending:
                self.order.discard(job)

    def pop_pending(self, job: _jobs.Job) -> int:
        """Remove the next waiting task from the queue and return it."""
        index = job.pending.pop()
        self._count_queued(job, -1)
        if not job.pending:
            self.order.discard(job)
        return index

    def place(
        self, job: _jobs.Job, index: int, endpoint: str, now: float
    ) -> None:
        """Allocate an endpoint's capacity to a task."""
        spec = job.spec
        task = work.task_id(spec.job_id, index)
        target = self.inventory.allocate(task, endpoint, job.demand)
        job.placed[index] = endpoint
        job.tasks_by_rack[target.rack] += 1
        job.started_at[index] = now
        self.accounts.allocate(spec.kind, spec.team, job.demand)
        cpu_only_free = self.inventory.fit_counts.cpu_only_free(target)
        self.order.handle_allocated(target.name, target.free, cpu_only_free)
        self.order.handle_usage_change(spec.kind, spec.team)

    def release(self, job: _jobs.Job, index: int) -> None:
        """Release what a task holds; do nothing if it holds nothing."""
        endpoint = self.roll_back(job, index)
        if endpoint is None:
            return
        if endpoint.usable:
            self.handle_freed(endpoint)
        self.reserved_capacity_freed |= endpoint.reserved

    def handle_freed(self, endpoint: _endpoints.Endpoint) -> None:
        """Let jobs try the free capacity of an endpoint."""
        cpu_only_free = self.inventory.fit_counts.cpu_only_free(endpoint)
        self.order.handle_freed(endpoint.name, endpoint.free, cpu_only_free)

    def roll_back(
        self, job: _jobs.Job, index: int
    ) -> _endpoints.Endpoint | None:
        """Undo an allocation that has blocked no other job.

        Unlike `release`, this lets no waiting job try the capacity.
        """
        if index not in job.placed:
            return None
        del job.placed[index]
        job.started_at.pop(index, None)
        spec = job.spec
        endpoint = self.inventory.release(work.task_id(spec.job_id, index))
        if endpoint is not None:
            self._leave_rack(job, endpoint.rack)
        self.accounts.release(spec.kind, spec.team, job.demand)
        self.order.handle_usage_change(spec.kind, spec.team)
        return endpoint

    def archive_if_over(self, job: _jobs.Job) -> None:
        """Archive a job that is over."""
        if not job.is_over or job.job_id not in self.jobs:
            return
        del self.jobs[job.job_id]
        self._archived[job.job_id] = job
        if len(self._archived) > MAX_ARCHIVED_JOBS:
            self._archived.popitem(last=False)

    @staticmethod
    def _leave_rack(job: _jobs.Job, rack: str) -> None:
        job.tasks_by_rack[rack] -= 1
        if job.tasks_by_rack[rack] <= 0:
            del job.tasks_by_rack[rack]

    def _count_queued(self, job: _jobs.Job, number: int) -> None:
        self.queued += number
        self.queued_by_kind[job.spec.kind] += number
        self.queued_by_team[job.spec.team] += number
        need = _vector.scale(job.demand, number)
        kind = job.spec.kind
        self.queued_demand[kind] = _vector.add(self.queued_demand[kind], need)
