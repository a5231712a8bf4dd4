"""Track the jobs that fit no endpoint of this shard."""

import collections

from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _ledger

MAX_JOBS_CHECKED = 64


class RemoteOnlyJobs:
    """Choose in rotation among the jobs that only other shards can run.

    They are kept out of the queue order, as no free capacity or share of this
    shard could ever let them start here.
    """

    def __init__(self, ledger: _ledger.Ledger) -> None:
        self._ledger = ledger
        self._jobs: collections.OrderedDict[str, _jobs.Job] = (
            collections.OrderedDict()
        )

    def add_if_remote_only(self, job: _jobs.Job) -> None:
        """Add a job if only endpoints of other shards can run its tasks."""
        inventory = self._ledger.inventory
        fits_here = inventory.could_fit(job.demand)
        if not fits_here and inventory.fits_on_other_shards(job.demand):
            self._jobs[job.job_id] = job

    def rescan(self) -> None:
        """Check all jobs again after the endpoints have changed."""
        self._jobs.clear()
        for job in self._ledger.jobs.values():
            if not job.foreign:
                self.add_if_remote_only(job)

    def choose(self, now: float) -> _jobs.Job | None:
        """Return the next job to request remote capacity for, or None."""
        for _ in range(min(len(self._jobs), MAX_JOBS_CHECKED)):
            job_id, job = self._jobs.popitem(last=False)
            if self._ledger.jobs.get(job_id) is not job:
                continue
            self._jobs[job_id] = job
            if job.pending and now >= job.next_remote_attempt_at:
                return job
        return None
