"""Learn how long workloads run and how much they use."""

import collections
import dataclasses

from hibiscusslip.model import work
from hibiscusslip.scheduler import _vector

MAX_SAMPLES = 64
MIN_SAMPLES = 5
MAX_WORKLOADS = 4096
FREQUENT_UPDATE_RUNS = 16
UPDATE_INTERVAL_RUNS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Hold expected run times in seconds; declared until enough is seen."""

    median: float
    p90: float
    learned: bool


class History:
    """Hold the latest runs of one workload."""

    def __init__(self) -> None:
        self.times: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self.usages: collections.deque[_vector.Vector] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self.run_count = 0
        self.succeeded = False
        self.estimate: Estimate | None = None

    def add_run_time(self, elapsed: float) -> None:
        """Add a run time."""
        self.times.append(elapsed)
        self.run_count += 1
        few = self.run_count < FREQUENT_UPDATE_RUNS
        if len(self.times) >= MIN_SAMPLES and (
            few or self.run_count % UPDATE_INTERVAL_RUNS == 0
        ):
            ordered = sorted(self.times)
            size = len(ordered)
            self.estimate = Estimate(
                ordered[size // 2], ordered[size * 9 // 10], True
            )

    def high_usage(self) -> _vector.Vector | None:
        """Return the use that nine runs of ten stay below."""
        if len(self.usages) < MIN_SAMPLES:
            return None
        rank = len(self.usages) * 9 // 10
        columns = zip(*self.usages, strict=True)
        cpu, memory, accelerators, slots, conns = (
            sorted(column)[rank] for column in columns
        )
        return (cpu, memory, accelerators, slots, conns)


class Estimator:
    """Keep the histories of the workloads seen lately."""

    def __init__(self) -> None:
        self._histories: collections.OrderedDict[str, History] = (
            collections.OrderedDict()
        )

    def history(self, spec: work.JobSpec) -> History:
        """Return a workload's history; without a name, its team's."""
        key = spec.workload or f'{spec.team}/{spec.kind}'
        found = self._histories.get(key)
        if found is None:
            found = self._histories[key] = History()
            if len(self._histories) > MAX_WORKLOADS:
                self._histories.popitem(last=False)
        else:
            self._histories.move_to_end(key)
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
        declared = _vector.from_resources(spec.demand)
        if not spec.workload:
            return declared
        used = self.history(spec).high_usage()
        return _vector.maximum(declared, used) if used else declared
