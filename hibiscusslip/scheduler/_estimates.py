"""Estimate run times and resource usage of workloads from past runs."""

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
    """Represent expected run times in seconds.

    They are the declared ones until enough runs are known (`learned`).
    """

    median: float
    p90: float
    learned: bool


class History:
    """Store the latest runs of one workload."""

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
        """Record a run time and update the estimate.

        The estimate is updated after each of the first `FREQUENT_UPDATE_RUNS`
        runs, then once in `UPDATE_INTERVAL_RUNS`.
        """
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
        """Return the 90th percentile of usage in each dimension."""
        if len(self.usages) < MIN_SAMPLES:
            return None
        rank = len(self.usages) * 9 // 10
        columns = zip(*self.usages, strict=True)
        cpu, memory, accelerators, slots, conns = (
            sorted(column)[rank] for column in columns
        )
        return (cpu, memory, accelerators, slots, conns)


class Estimator:
    """Store the histories of recent workloads and estimate from them."""

    def __init__(self) -> None:
        self._histories: collections.OrderedDict[str, History] = (
            collections.OrderedDict()
        )

    def history(self, spec: work.JobSpec) -> History:
        """Return the history of a job's workload.

        Jobs without a workload share the history of their team and kind.
        """
        key = spec.workload or f'{spec.team}/{spec.kind}'
        history = self._histories.get(key)
        if history is None:
            history = self._histories[key] = History()
            if len(self._histories) > MAX_WORKLOADS:
                self._histories.popitem(last=False)
        else:
            self._histories.move_to_end(key)
        return history

    def estimate(self, spec: work.JobSpec) -> Estimate:
        """Return the expected run time of a task of a job."""
        if spec.form is work.Form.SERVICE:
            return Estimate(float('inf'), float('inf'), False)
        if spec.workload:
            learned = self.history(spec).estimate
            if learned is not None:
                return learned
        return Estimate(spec.run_time, spec.run_time, False)

    def demand(self, spec: work.JobSpec) -> _vector.Vector:
        """Return what to allocate for a task, at least what was declared."""
        declared = _vector.from_resources(spec.demand)
        if not spec.workload:
            return declared
        used = self.history(spec).high_usage()
        return _vector.maximum(declared, used) if used else declared
