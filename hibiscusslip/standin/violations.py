"""Count the promises that were broken on a set of workers."""

import collections
import dataclasses

from hibiscusslip.model import resources

MAX_REMEMBERED_TASKS = 200_000
MAX_EXAMPLES = 20


@dataclasses.dataclass(slots=True)
class Counters:
    """Count starts, ends and violations.

    `overlaps` counts starts of a task while another run of it is active,
    `repeated_starts` second starts of tasks that aren't repeatable,
    `overcommits` starts that put a worker over its capacity, by dimension,
    and `overcommit_peak` by how much at most.
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
        """Return how many promises were broken."""
        return (
            self.overlaps
            + self.repeated_starts
            + sum(self.overcommits.values())
        )


class Violations:
    """Watch the starts and ends of all workers of a process."""

    def __init__(self) -> None:
        self.counters = Counters()
        self.started: dict[str, int] = {}
        self._active: collections.Counter[str] = collections.Counter()

    def note_start(
        self, worker: str, task: str, identity: str, repeatable: bool
    ) -> None:
        """Count the start of a run.

        `identity` names the task to callers: equal for two runs of the
        same request even when their task ids differ.
        """
        count = self.counters
        count.starts += 1
        count.running += 1
        if self._active[task] > 0:
            count.overlaps += 1
            self._keep_example(f'{task} started on {worker} while it runs')
        self._active[task] += 1
        before = self._remember(identity)
        if before and not repeatable:
            count.repeated_starts += 1
            self._keep_example(f'{identity} started again on {worker}')

    def note_end(self, task: str, state: str) -> None:
        """Count the end of a run."""
        count = self.counters
        count.running -= 1
        count.ended[state] = count.ended.get(state, 0) + 1
        self._active[task] -= 1
        if self._active[task] <= 0:
            del self._active[task]

    def note_use(
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
            over = getattr(used, name) - getattr(capacity, name)
            if over <= 0:
                continue
            count.overcommits[name] = count.overcommits.get(name, 0) + 1
            peak = count.overcommit_peak.get(name, 0)
            count.overcommit_peak[name] = max(peak, over)
            self._keep_example(f'{worker} has {over} {name} too much')

    def _remember(self, identity: str) -> int:
        before = self.started.get(identity, 0)
        if not before and len(self.started) >= MAX_REMEMBERED_TASKS:
            del self.started[next(iter(self.started))]
        self.started[identity] = before + 1
        return before

    def _keep_example(self, text: str) -> None:
        if len(self.counters.examples) < MAX_EXAMPLES:
            self.counters.examples.append(text)
