"""Delay tasks that must not start before a given time."""

import heapq

from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _ledger


class DelayedTasks:
    """Queue delayed tasks when their delay has passed."""

    def __init__(self, ledger: _ledger.Ledger) -> None:
        self._ledger = ledger
        self._heap: list[tuple[float, int, _jobs.Job, int]] = []
        self._seq = 0

    def add(self, job: _jobs.Job, index: int, until: float) -> None:
        """Delay a task until `until`."""
        self._ledger.delay(job, index, until)
        self._seq += 1
        heapq.heappush(self._heap, (until, self._seq, job, index))

    def release_due(self, now: float) -> None:
        """Queue the tasks whose delay has passed."""
        while self._heap and self._heap[0][0] <= now:
            until, _, job, index = heapq.heappop(self._heap)
            self.end(job, index, until)

    def end(self, job: _jobs.Job, index: int, until: float) -> bool:
        """Queue a task if its delay is the one that ends at `until`."""
        if job.delayed.get(index) != until:
            return False
        self._ledger.undelay(job, index)
        return True

    def next_time(self) -> float | None:
        """Return when the next delay ends."""
        return self._heap[0][0] if self._heap else None
