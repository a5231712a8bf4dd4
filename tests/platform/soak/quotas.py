"""Check what organisations have running at endpoints against their limits."""

import collections
import math
import typing

from tests.platform.soak import callers
from tests.platform.soak import layout

RESOURCES = ('cpu', 'memory')

Amounts = tuple[float, ...]  # one for each of RESOURCES


class QuotaChecker:
    """Check each start of a run; `peak_use` is the highest use of a limit.

    The first configuration may be in force until `lowered_at`, the second
    one from `raised_at` on. While both may be, the higher limit counts.
    """

    def __init__(
        self, jobs: dict[str, callers.Job], raised_at: float, lowered_at: float
    ) -> None:
        self.broken: list[str] = []
        self.peak_use = 0.0
        self._jobs = jobs
        self._raised_at = raised_at
        self._lowered_at = lowered_at
        self._running: dict[str, dict[tuple[typing.Any, ...], Amounts]]
        self._running = collections.defaultdict(dict)

    def check_runs(self, rows: list[list[typing.Any]]) -> None:
        """Check the rows of a ledger, which are sorted by time.

        Only a start can exceed a limit: nothing is stopped when one is
        lowered.
        """
        for at, event, *fields in rows:
            if event not in ('start', 'end'):
                continue
            endpoint, task, run, *_ = fields
            job_id, _, step, _ = task.rsplit('.', 3)
            job = self._jobs.get(job_id)
            if job is None:
                continue
            runs = self._running[job.organisation]
            if event == 'end':
                runs.pop((endpoint, task, run), None)
                continue
            demand = (job.cpus[int(step)], layout.TASK_MEM_MB)
            runs[endpoint, task, run] = demand
            self._check_start(at, job.organisation, task)

    def _check_start(self, at: float, organisation: str, task: str) -> None:
        runs = self._running[organisation].values()
        limits = self._limits_at(at, organisation)
        for name, limit, *amounts in zip(
            RESOURCES, limits, *runs, strict=True
        ):
            used = sum(amounts)
            self.peak_use = max(self.peak_use, used / limit)
            # One task beyond the limit is tolerated, so a task that runs
            # alone may have any size.
            tolerated = limit * (1 + layout.QUOTA_OVERAGE) + max(amounts)
            if used > tolerated:
                self.broken.append(
                    f'{at:.3f} QUOTA: {organisation} {name} {used} of'
                    f' {limit} in {len(runs)} runs after {task}'
                )

    def _limits_at(self, at: float, organisation: str) -> Amounts:
        limits = []
        if at < self._lowered_at:
            limits.append(layout.LIMITS[1][organisation])
        if at >= self._raised_at:
            limits.append(layout.LIMITS[2][organisation])
        return tuple(
            max(amount or math.inf for amount in amounts)
            for amounts in zip(*limits, strict=True)
        )
