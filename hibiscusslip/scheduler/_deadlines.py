"""Find queued jobs that can't meet their deadline any more."""

import heapq

from hibiscusslip.model import work
from hibiscusslip.scheduler import _estimates
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import base


class Deadlines:
    """Check deadlines against the expected run time.

    `unix_offset` is added to `now` to get Unix time.
    """

    def __init__(
        self, estimator: _estimates.Estimator, unix_offset: float
    ) -> None:
        self._estimator = estimator
        self._offset = unix_offset
        self._heap: list[tuple[float, int, _jobs.Job]] = []

    def check(self, spec: work.JobSpec, now: float) -> base.Refused | None:
        """Refuse a job that would miss its deadline even if it started now."""
        latest = self._latest_start(spec)
        if latest is None or now <= latest:
            return None
        return refusal(f'{now - latest:.1f} s too late to start')

    def watch(self, job: _jobs.Job) -> None:
        """Track the deadline of a queued job."""
        latest = self._latest_start(job.spec)
        if latest is not None:
            heapq.heappush(self._heap, (latest, job.seq, job))

    def expired(self, now: float) -> list[_jobs.Job]:
        """Return tracked jobs whose latest start time has passed.

        The result may include jobs that have started meanwhile.
        """
        expired_jobs = []
        while self._heap and self._heap[0][0] < now:
            expired_jobs.append(heapq.heappop(self._heap)[2])
        return expired_jobs

    def next_time(self) -> float | None:
        """Return when the next tracked job becomes too late to start."""
        return self._heap[0][0] if self._heap else None

    def _latest_start(self, spec: work.JobSpec) -> float | None:
        if spec.deadline is None:
            return None
        expected = self._estimator.estimate(spec).median
        if expected == float('inf'):
            expected = 0.0
        return spec.deadline - self._offset - expected


def refusal(detail: str) -> base.Refused:
    """Return the refusal of a job that can't meet its deadline."""
    return base.Refused(
        base.RefusalReason.DEADLINE,
        f'the deadline can not be met, {detail}: ask with a later deadline',
    )
