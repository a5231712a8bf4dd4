"""Choose which queued job is tried next."""

import abc
import collections
import enum

from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _vector


class BlockReason(enum.Enum):
    """Name why a job could not start, which tells what else is skipped."""

    ROOM = 'room'
    SHARE = 'share'
    QUOTA = 'quota'
    JOB = 'job'
    ELSEWHERE = 'elsewhere'


class QueueOrder(abc.ABC):
    """Keep queued jobs and say which one is tried next."""

    @abc.abstractmethod
    def push(self, job: _jobs.Job) -> None:
        """Add a job that has pending tasks."""

    @abc.abstractmethod
    def discard(self, job: _jobs.Job) -> None:
        """Take a job out; nothing happens when it isn't queued."""

    @abc.abstractmethod
    def begin_pass(self, now: float) -> None:
        """Start a round of decisions."""

    @abc.abstractmethod
    def choose(self, now: float) -> _jobs.Job | None:
        """Return the job to try next, None when none may start now."""

    @abc.abstractmethod
    def block(self, job: _jobs.Job, reason: BlockReason) -> None:
        """Skip a job, and those like it, until that may change."""

    @abc.abstractmethod
    def handle_usage_change(self, kind: str, team: str) -> None:
        """Reorder after what a team holds of a kind has changed."""

    @abc.abstractmethod
    def first_jobs(self, kind: str) -> list[_jobs.Job]:
        """Return the oldest jobs of a kind, one of each urgency."""

    @abc.abstractmethod
    def handle_freed(
        self, name: str, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> None:
        """Try again what may fit into an endpoint's free room.

        `plain` is what work without accelerators may use of it.
        """

    @abc.abstractmethod
    def handle_allocated(
        self, name: str, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> None:
        """Note that an endpoint has less free room than before."""

    @abc.abstractmethod
    def unblock_all(self) -> None:
        """Try everything again, after endpoints or shares have changed."""


class FifoOrder(QueueOrder):
    """Take jobs strictly in the order of arrival."""

    def __init__(self) -> None:
        self._jobs: collections.OrderedDict[str, _jobs.Job] = (
            collections.OrderedDict()
        )
        self._blocked = False

    def push(self, job: _jobs.Job) -> None:
        """Add a job at the end."""
        self._jobs[job.job_id] = job

    def discard(self, job: _jobs.Job) -> None:
        """Take a job out."""
        self._jobs.pop(job.job_id, None)

    def begin_pass(self, now: float) -> None:
        """Try the head again."""
        self._blocked = False

    def choose(self, now: float) -> _jobs.Job | None:
        """Return the oldest job unless it has just found no room."""
        if self._blocked or not self._jobs:
            return None
        return next(iter(self._jobs.values()))

    def block(self, job: _jobs.Job, reason: BlockReason) -> None:
        """Wait for the head, whatever it lacks."""
        self._blocked = True

    def handle_usage_change(self, kind: str, team: str) -> None:
        """Do nothing: the order is that of arrival."""

    def first_jobs(self, kind: str) -> list[_jobs.Job]:
        """Return nothing: nothing is taken back for anybody."""
        return []

    def handle_freed(
        self, name: str, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> None:
        """Try the head again."""
        self._blocked = False

    def handle_allocated(
        self, name: str, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> None:
        """Do nothing: only the head is tried."""

    def unblock_all(self) -> None:
        """Try the head again."""
        self._blocked = False
