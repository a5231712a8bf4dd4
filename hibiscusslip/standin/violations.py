"""Count the violations of guarantees on a set of workers."""

import collections
import dataclasses

from hibiscusslip.model import resources

MAX_TRACKED_TASKS = 200_000
MAX_EXAMPLES = 20


@dataclasses.dataclass(slots=True)
class Counters:
    """Count starts, ended runs and violations.

    `overlaps` counts starts of a task while another run of it is active,
    `repeated_starts` second starts of tasks that aren't repeatable,
    `overcommits` starts that exceed the capacity of a worker, by dimension.
    `overcommit_peak` is the largest excess by dimension.
    """

    starts: int = 0
    running: int = 0
    overlaps: int = 0
    repeated_starts: int = 0
    overcommits: dict[str, int] = dataclasses.field(default_factory=dict)
    overcommit_peak: dict[str, int] = dataclasses.field(default_factory=dict)
    ended: dict[str, int] = dataclasses.field(default_factory=dict)
    examples: list[str] = dataclasses.field(default_factory=list)

    @property
    def violations(self) -> int:
        """Return the total number of violations."""
        return (
            self.overlaps
            + self.repeated_starts
            + sum(self.overcommits.values())
        )


class ViolationMonitor:
    """Check the starts and ends of runs on all workers of a process."""

    def __init__(self) -> None:
        self.counters = Counters()
        self.start_counts: dict[str, int] = {}
        self._active: collections.Counter[str] = collections.Counter()

    def record_start(
        self, worker: str, task: str, identity: str, repeatable: bool
    ) -> None:
        """Record the start of a run.

        `identity` is the name by which the caller knows the task: equal for
        two runs of one request even when their task ids differ.
        """
        count = self.counters
        count.starts += 1
        count.running += 1
        if self._active[task] > 0:
            count.overlaps += 1
            self._add_example(f'{task} started on {worker} while it runs')
        self._active[task] += 1
        before = self._count_start(identity)
        if before and not repeatable:
            count.repeated_starts += 1
            self._add_example(f'{identity} started again on {worker}')

    def record_end(self, task: str, state: str) -> None:
        """Record the end of a run."""
        count = self.counters
        count.running -= 1
        count.ended[state] = count.ended.get(state, 0) + 1
        self._active[task] -= 1
        if self._active[task] <= 0:
            del self._active[task]

    def record_allocation(
        self,
        worker: str,
        used: resources.Resources,
        capacity: resources.Resources,
    ) -> None:
        """Count every dimension in which `used` exceeds `capacity`."""
        if used.fits_in(capacity):
            return
        count = self.counters
        for field in dataclasses.fields(used):
            name = field.name
            excess = getattr(used, name) - getattr(capacity, name)
            if excess <= 0:
                continue
            count.overcommits[name] = count.overcommits.get(name, 0) + 1
            peak = count.overcommit_peak.get(name, 0)
            count.overcommit_peak[name] = max(peak, excess)
            self._add_example(f'{worker} has {excess} {name} too much')

    def _count_start(self, identity: str) -> int:
        before = self.start_counts.get(identity, 0)
        if not before and len(self.start_counts) >= MAX_TRACKED_TASKS:
            del self.start_counts[next(iter(self.start_counts))]
        self.start_counts[identity] = before + 1
        return before

    def _add_example(self, text: str) -> None:
        if len(self.counters.examples) < MAX_EXAMPLES:
            self.counters.examples.append(text)
