"""Choose which queued job is tried next."""

import abc
import collections
import enum

from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _vector


class BlockReason(enum.Enum):
    """List why a job can't start; the reason decides what else is skipped.

    CAPACITY: no endpoint has enough free capacity. REMOTE: the job needs
    capacity on other shards. JOB: only this job has to wait.
    """

    CAPACITY = 'room'
    SHARE = 'share'
    QUOTA = 'quota'
    JOB = 'job'
    REMOTE = 'elsewhere'


class QueueOrder(abc.ABC):
    """Order the queued jobs and choose the next one to try."""

    @abc.abstractmethod
    def push(self, job: _jobs.Job) -> None:
        """Add a job that has pending tasks."""

    @abc.abstractmethod
    def discard(self, job: _jobs.Job) -> None:
        """Remove a job; do nothing if it isn't queued."""

    @abc.abstractmethod
    def begin_pass(self, now: float) -> None:
        """Start a scheduling pass."""

    @abc.abstractmethod
    def choose(self, now: float) -> _jobs.Job | None:
        """Return the job to try next, or None if none may start now."""

    @abc.abstractmethod
    def block(self, job: _jobs.Job, reason: BlockReason) -> None:
        """Skip a job, and those like it, until the reason may have changed."""

    @abc.abstractmethod
    def handle_usage_change(self, kind: str, team: str) -> None:
        """Reorder after a change of what a team holds of a kind."""

    @abc.abstractmethod
    def first_jobs(self, kind: str) -> list[_jobs.Job]:
        """Return the oldest jobs of a kind, one of each urgency."""

    @abc.abstractmethod
    def handle_freed(
        self, name: str, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> None:
        """Unblock jobs that may fit an endpoint's free capacity now.

        `cpu_only_free` is the part that work without accelerators may use.
        """

    @abc.abstractmethod
    def handle_allocated(
        self, name: str, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> None:
        """Update after an endpoint's free capacity has decreased."""

    @abc.abstractmethod
    def unblock_all(self) -> None:
        """Unblock all jobs, after endpoints or shares have changed."""


class FifoOrder(QueueOrder):
    """Choose jobs strictly in the order of arrival."""

    def __init__(self) -> None:
        self._jobs: collections.OrderedDict[str, _jobs.Job] = (
            collections.OrderedDict()
        )
        self._blocked = False

    def push(self, job: _jobs.Job) -> None:
        """Append a job."""
        self._jobs[job.job_id] = job

    def discard(self, job: _jobs.Job) -> None:
        """Remove a job."""
        self._jobs.pop(job.job_id, None)

    def begin_pass(self, now: float) -> None:
        """Unblock the first job."""
        self._blocked = False

    def choose(self, now: float) -> _jobs.Job | None:
        """Return the oldest job unless it is blocked."""
        if self._blocked or not self._jobs:
            return None
        return next(iter(self._jobs.values()))

    def block(self, job: _jobs.Job, reason: BlockReason) -> None:
        """Block the queue until the first job is unblocked."""
        self._blocked = True

    def handle_usage_change(self, kind: str, team: str) -> None:
        """Do nothing: the order is that of arrival."""

    def first_jobs(self, kind: str) -> list[_jobs.Job]:
        """Return an empty list: this order reclaims nothing."""
        return []

    def handle_freed(
        self, name: str, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> None:
        """Unblock the first job."""
        self._blocked = False

    def handle_allocated(
        self, name: str, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> None:
        """Do nothing: only the first job is tried."""

    def unblock_all(self) -> None:
        """Unblock the first job."""
        self._blocked = False
