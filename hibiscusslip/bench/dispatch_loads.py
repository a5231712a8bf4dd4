"""Define the loads that `dispatching` replays.

The figures are those of the users' grown deployments, with each step as a
job.
"""

import dataclasses
import random

from hibiscusslip.dispatch import model


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """Describe one kind of work.

    `tasks` is the mean number of tasks of a job, `cpu` a task's demand in
    cores and `run` its mean run time in seconds. A job is on time if it
    completes within `stretch` times the mean time for advice and run, plus
    a quarter of a second. Advice admits an `eligible` fraction of the
    endpoints. `failure_rate` is the fraction of the runs that fail,
    `tail_rate` of those that take `tail_factor` times as long. Jobs declare
    the mean run time times a factor within `declared`.
    """

    name: str
    service: str
    arrivals_per_s: float
    tasks: int
    cpu: float
    run: float
    priority: int
    stretch: float
    accelerators: int = 0
    gang: bool = False
    checkpoints: bool = False
    advice: model.Advice | None = None
    eligible: float = 1.0
    failure_rate: float = 0.005
    tail_rate: float = 0.0
    tail_factor: float = 1.0
    declared: tuple[float, float] = (0.6, 1.6)

    def duration(self, chance: float, tail_chance: float) -> float:
        """Return the run time of a task at speed 1, by two chances."""
        factor = self.tail_factor if tail_chance < self.tail_rate else 1.0
        return self.run * (0.7 + 0.6 * chance) * factor


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Describe the endpoints of a service.

    They have the `sizes`, relative to `cores`, and the `speeds` in turn.
    """

    service: str
    count: int
    cores: int
    accelerators: int = 0
    sizes: tuple[float, ...] = (1.0,)
    speeds: tuple[float, ...] = (1.0,)

    def capacity(self, number: int) -> model.Demand:
        """Return the capacity of one of its endpoints."""
        cpu = int(self.cores * self.sizes[number % len(self.sizes)] * 1000)
        return model.Demand(cpu, 512_000, self.accelerators)

    def speed(self, number: int) -> float:
        """Return the speed of one of its endpoints."""
        return self.speeds[number // len(self.sizes) % len(self.speeds)]


@dataclasses.dataclass(frozen=True, slots=True)
class Burst:
    """Multiply the arrivals of a kind between two times.

    `begin` and `end` are in seconds from the start of the replay.
    """

    kind: str
    factor: float
    begin: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Describe the kinds of work of a deployment and its endpoints."""

    kinds: tuple[Kind, ...]
    pools: tuple[Pool, ...]

    def scaled(self, factor: int) -> 'Load':
        """Return the load with more arrivals and as many more endpoints."""
        return Load(
            tuple(
                dataclasses.replace(
                    k, arrivals_per_s=k.arrivals_per_s * factor
                )
                for k in self.kinds
            ),
            tuple(
                dataclasses.replace(p, count=p.count * factor)
                for p in self.pools
            ),
        )


def make_spec(kind: Kind, rng: random.Random) -> model.JobSpec:
    """Return a job of a kind with a declared run time that is off."""
    declared = kind.run * rng.uniform(*kind.declared)
    step = model.Step(
        max(int(kind.tasks * rng.uniform(0.5, 1.5)), 1),
        model.Demand(int(kind.cpu * 1000), 1000, kind.accelerators),
        estimate=declared,
        checkpoints=kind.checkpoints,
        gang=kind.gang,
    )
    return model.JobSpec('', (step,))


_PLANNING_KINDS = (
    Kind(
        'timetable',
        'planner',
        29.0,
        10,
        11,
        0.7,
        0,
        1.5,
        advice=model.Advice(0.022, 0.0003, 2.0),
        eligible=0.7,
    ),
    Kind(
        'reflow',
        'planner',
        2.3,
        22,
        18,
        4.5,
        2,
        4.0,
        checkpoints=True,
        advice=model.Advice(0.21, 0.003, 2.0),
        eligible=0.45,
    ),
    Kind(
        'layout',
        'print',
        2.2,
        3,
        62,
        5.6,
        1,
        2.2,
        accelerators=3,
        gang=True,
        advice=model.Advice(0.72, 0.01, 2.0),
        eligible=0.3,
    ),
    Kind(
        'art',
        'print',
        2.5,
        13,
        11,
        3.8,
        2,
        4.0,
        accelerators=1,
        advice=model.Advice(0.2, 0.003, 2.0),
        eligible=0.45,
    ),
)
_RECHECK_KINDS = (
    Kind(
        'scan',
        'watch',
        60.5,
        3,
        9.9,
        0.54,
        0,
        1.5,
        advice=model.Advice(0.0065, 0.000093, 2.0),
        eligible=0.7,
    ),
    Kind(
        'recheck',
        'watch',
        2.5,
        20,
        18,
        4.2,
        1,
        2.2,
        gang=True,
        advice=model.Advice(0.559, 0.00806, 2.0),
        eligible=0.3,
    ),
    Kind(
        'digest',
        'watch',
        5.2,
        25,
        6.9,
        2.9,
        2,
        4.0,
        checkpoints=True,
        advice=model.Advice(0.156, 0.00234, 2.0),
        eligible=0.45,
        failure_rate=0.05,
    ),
)
# Endpoints of several speeds and sizes, stragglers and wrong declarations.
_UNEVEN_KINDS = (
    Kind('lookup', 'mixed', 32.0, 4, 3, 0.6, 0, 1.5),
    Kind('merge', 'mixed', 2.0, 6, 8, 2.5, 1, 2.2, gang=True),
    Kind('solve', 'mixed', 2.0, 1, 40, 3.0, 1, 2.2),
    Kind('sweep', 'mixed', 4.0, 12, 4, 4.0, 2, 4.0, checkpoints=True),
)
LOADS = {
    'uneven': Load(
        tuple(
            dataclasses.replace(
                kind,
                tail_rate=0.0 if kind.gang else 0.03,
                tail_factor=7.0,
                declared=(0.5, 2.0),
            )
            for kind in _UNEVEN_KINDS
        ),
        (
            Pool(
                'mixed',
                60,
                64,
                sizes=(0.25, 0.25, 0.5, 1.0),
                speeds=(0.55, 0.8, 1.0, 1.2),
            ),
        ),
    ),
    'planning': Load(
        _PLANNING_KINDS,
        (Pool('planner', 126, 64), Pool('print', 50, 128, 8)),
    ),
    'recheck': Load(_RECHECK_KINDS, (Pool('watch', 176, 64),)),
}
