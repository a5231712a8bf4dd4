"""Generate open-loop load of different kinds of work for a fleet."""

import collections.abc
import dataclasses
import random

from hibiscusslip.bench import fleets
from hibiscusslip.model import resources
from hibiscusslip.model import work

ENDLESS_S = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Describe the demands and run times of one kind of work.

    `load` is the fraction of the fleet's bottleneck resource that the kind
    demands on average. `cores` and `accelerators` are the possible values
    of a task, `memory` is in GiB per core, `run_time` is the mean in
    seconds.
    """

    name: str
    load: float
    cores: tuple[int, ...]
    memory: int
    run_time: float
    urgencies: tuple[work.Urgency, ...]
    accelerators: tuple[int, ...] = (0,)
    form: work.Form = work.Form.BATCH


URGENT, HIGH, NORMAL, LOW = work.Urgency
SERVICE = Kind(
    'service', 0.15, (4, 8), 4, ENDLESS_S, (NORMAL,), form=work.Form.SERVICE
)
QUOTE = Kind('quote', 0.10, (2, 4), 2, 2.0, (URGENT,))
BATCH = Kind('batch', 0.35, (4, 8, 16), 3, 20.0, (HIGH, NORMAL, LOW))
RENDER = Kind('render', 0.55, (8, 16), 1, 30.0, (HIGH, NORMAL), (1, 2, 4))
MIX = (SERVICE, QUOTE, BATCH, RENDER)
SHARES = {
    'service': (0.15, 0.5),
    'quote': (0.20, 1.0),
    'batch': (0.30, 1.0),
    'render': (0.25, 1.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """Represent the arrival of a job.

    `run_time` is the real run time of a task; that of `spec` is declared.
    """

    at: float
    spec: work.JobSpec
    run_time: float


class Source:
    """Generate the arrivals of one kind as a Poisson process."""

    def __init__(
        self, kind: Kind, fleet: fleets.Fleet, rng: random.Random
    ) -> None:
        self.kind = kind
        self._fleet = fleet
        self._rng = rng
        self._count = 0
        mean = kind.run_time * fleet.run_time_factor
        self.rate = kind.load * self._saturating_tasks() / mean

    def arrivals(
        self, start: float, end: float, factor: float = 1.0
    ) -> collections.abc.Iterator[Arrival]:
        """Yield arrivals between two times at `factor` times the rate."""
        at = start
        while True:
            at += self._rng.expovariate(self.rate * factor)
            if at >= end:
                return
            yield self.arrival(at)

    def steady_state(self) -> list[Arrival]:
        """Return as many arrivals at time 0 as run on average."""
        number = round(self.kind.load * self._saturating_tasks())
        return [self.arrival(0.0) for _ in range(number)]

    def arrival(self, at: float, **changes: object) -> Arrival:
        """Return one arrival; `changes` replace fields of its job."""
        kind = self.kind
        rng = self._rng
        self._count += 1
        cores = rng.choice(kind.cores)
        demand = resources.Resources(
            cores * fleets.CPU_MILLI_PER_CORE,
            cores * kind.memory * fleets.MIB_PER_GIB,
            rng.choice(kind.accelerators),
        )
        run_time = kind.run_time
        if run_time < ENDLESS_S:
            run_time *= (
                rng.lognormvariate(-0.32, 0.8) * self._fleet.run_time_factor
            )
        size = rng.randrange(8)
        spec = work.JobSpec(
            f'{kind.name}-{self._count}',
            f'team{rng.randrange(self._fleet.teams)}',
            kind.name,
            form=kind.form,
            urgency=rng.choice(kind.urgencies),
            demand=demand,
            run_time=run_time,
            workload=f'{kind.name}{size}',
        )
        changed = dataclasses.replace(spec, **changes)  # type: ignore
        return Arrival(at, changed, run_time)

    def _saturating_tasks(self) -> float:
        """Return how many tasks exhaust the fleet's bottleneck resource."""
        kind = self.kind
        cores = sum(p.number * p.cores for p in self._fleet.pools)
        by_cores = cores / (sum(kind.cores) / len(kind.cores))
        if kind.accelerators == (0,):
            slots = (
                sum(p.number for p in self._fleet.pools)
                * fleets.SLOTS_PER_ENDPOINT
            )
            return min(by_cores, slots)
        whole = sum(p.number * p.accelerators for p in self._fleet.pools)
        mean = sum(kind.accelerators) / len(kind.accelerators)
        return min(by_cores, whole / mean)
