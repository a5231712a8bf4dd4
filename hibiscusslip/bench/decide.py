"""Measure how long one decision takes as workers and queues grow."""

import collections
import collections.abc
import dataclasses
import gc
import random
import time

from hibiscusslip.bench import fleets
from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.model import work
import hibiscusslip.scheduler
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import limits

SEED = 1
DECISIONS = 10_000
WORKERS = (27, 250, 2_500, 25_000)
QUEUES = (1_000, 10_000, 100_000, 1_000_000)
MANY_WORKERS = 2_500
FEW_QUEUED = 10_000
SHARES = {'service': (0.3, 1.0), 'batch': (0.4, 1.0), 'render': (0.2, 1.0)}


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Hold the processor time of one setting, in microseconds."""

    workers: int
    queue: int
    mean: float
    p50: float
    p99: float
    maximum: float

    @property
    def per_second(self) -> float:
        """Return decisions per second of one core."""
        return 1e6 / self.mean


class Load:
    """Make jobs of mixed sizes, kinds, teams and urgencies."""

    def __init__(self, teams: int, rng: random.Random) -> None:
        self._teams = teams
        self._rng = rng
        self._count = 0

    def job(self) -> work.JobSpec:
        """Return the next job."""
        self._count += 1
        rng = self._rng
        kind = rng.choices(tuple(SHARES), (1, 8, 1))[0]
        accelerators = rng.choice((1, 2, 4)) if kind == 'render' else 0
        demand = resources.Resources(
            rng.choice((1, 2, 4, 8)) * fleets.CORE,
            rng.choice((2, 4, 8, 16)) * fleets.GIB,
            accelerators,
        )
        return work.JobSpec(
            f'j{self._count}',
            f'team{rng.randrange(self._teams)}',
            kind,
            urgency=rng.choice(tuple(work.Urgency)),
            demand=demand,
            run_time=rng.expovariate(1 / 20),
        )


def prepare(
    workers: int, queue: int, rng: random.Random
) -> tuple[base.Scheduler, Load, collections.deque[str]]:
    """Return a saturated scheduler with `queue` waiting jobs."""
    fleet = fleets.scaled(workers)
    bounds = limits.Limits(10**9, 10**9, 10**9)
    sched = hibiscusslip.scheduler.build(
        places.Shard('z', 0), fleets.policy(fleet, SHARES), bounds, rng
    )
    for info in fleets.endpoints(fleet):
        sched.set_endpoint(info, 0.0)
    load = Load(fleet.teams, rng)
    for _ in range(queue + workers * fleets.SLOTS):
        sched.submit(load.job(), 0.0)
    running: collections.deque[str] = collections.deque()
    while started := tasks_of(sched.decide(0.0, 4096)):
        running.extend(started)
    return sched, load, running


def tasks_of(decisions: list[base.Decision]) -> list[str]:
    """Return the tasks that the decisions start."""
    return [d.task for d in decisions if isinstance(d, base.Start)]


def measure(workers: int, queue: int, decisions: int = DECISIONS) -> Figures:
    """Return the processor time of decisions in a full shard.

    One step ends the oldest run, takes one new job and decides; its time
    is divided by the decisions it made.
    """
    sched, load, running = prepare(workers, queue, random.Random(SEED))
    costs = []
    made = 0
    now = 0.0
    gc.collect()
    gc.freeze()
    while made < decisions:
        now += 0.001
        job = load.job()
        task = running.popleft()
        begun = time.process_time_ns()
        sched.ended(task, base.RunOutcome.SUCCEEDED, now)
        sched.submit(job, now)
        started = tasks_of(sched.decide(now))
        cost = (time.process_time_ns() - begun) / 1e3
        costs.extend([cost / max(1, len(started))] * max(1, len(started)))
        made += max(1, len(started))
        running.extend(started)
    costs.sort()
    gc.unfreeze()
    return Figures(
        workers,
        queue,
        sum(costs) / len(costs),
        costs[len(costs) // 2],
        costs[len(costs) * 99 // 100],
        costs[-1],
    )


def rows() -> collections.abc.Iterator[Figures]:
    """Measure all sizes of fleet and of queue."""
    for workers in WORKERS:
        yield measure(workers, FEW_QUEUED)
    for queue in QUEUES:
        yield measure(MANY_WORKERS, queue)


def main() -> None:
    """Print the table."""
    print('workers    queue  decisions/s  mean us  p50 us  p99 us  max us')
    for row in rows():
        print(
            f'{row.workers:7} {row.queue:8} {row.per_second:12.0f} '
            f'{row.mean:8.1f} {row.p50:7.1f} {row.p99:7.1f} '
            f'{row.maximum:7.0f}',
            flush=True,
        )


if __name__ == '__main__':
    main()
