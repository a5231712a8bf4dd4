"""Learn how long workloads run and how much they use."""

import collections
import dataclasses

from hibiscusslip.model import work
from hibiscusslip.scheduler import _vector

SAMPLES = 64
MIN_SAMPLES = 5
MAX_WORKLOADS = 4096
FEW_ENDS = 16
REFRESH_EVERY = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Hold expected run times in seconds; declared until enough is seen."""

    median: float
    high: float
    learned: bool


class History:
    """Hold the latest runs of one workload."""

    def __init__(self) -> None:
        self.times: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )
        self.uses: collections.deque[_vector.Vector] = collections.deque(
            maxlen=SAMPLES
        )
        self.ends = 0
        self.succeeded = False
        self.estimate: Estimate | None = None

    def note_time(self, elapsed: float) -> None:
        """Add a run time."""
        self.times.append(elapsed)
        self.ends += 1
        few = self.ends < FEW_ENDS
        if len(self.times) >= MIN_SAMPLES and (
            few or self.ends % REFRESH_EVERY == 0
        ):
            ordered = sorted(self.times)
            size = len(ordered)
            self.estimate = Estimate(
                ordered[size // 2], ordered[size * 9 // 10], True
            )

    def high_use(self) -> _vector.Vector | None:
        """Return the use that nine runs of ten stay below."""
        if len(self.uses) < MIN_SAMPLES:
            return None
        rank = len(self.uses) * 9 // 10
        columns = zip(*self.uses, strict=True)
        cpu, memory, accelerators, slots, conns = (
            sorted(column)[rank] for column in columns
        )
        return (cpu, memory, accelerators, slots, conns)


class Learner:
    """Keep the histories of the workloads seen lately."""

    def __init__(self) -> None:
        self._known: collections.OrderedDict[str, History] = (
            collections.OrderedDict()
        )

    def history(self, spec: work.JobSpec) -> History:
        """Return a workload's history; without a name, its team's."""
        key = spec.workload or f'{spec.team}/{spec.kind}'
        found = self._known.get(key)
        if found is None:
            found = self._known[key] = History()
            if len(self._known) > MAX_WORKLOADS:
                self._known.popitem(last=False)
        else:
            self._known.move_to_end(key)
        return found

    def estimate(self, spec: work.JobSpec) -> Estimate:
        """Return how long a task of a job is expected to run."""
        if spec.form is work.Form.SERVICE:
            return Estimate(float('inf'), float('inf'), False)
        if spec.workload:
            learned = self.history(spec).estimate
            if learned is not None:
                return learned
        return Estimate(spec.run_time, spec.run_time, False)

    def demand(self, spec: work.JobSpec) -> _vector.Vector:
        """Return what to book: never less than was declared."""
        declared = _vector.of(spec.demand)
        if not spec.workload:
            return declared
        used = self.history(spec).high_use()
        return _vector.most(declared, used) if used else declared
