"""Measure the processor time of a placement decision.

The number of workers and the length of the queue vary, one at a time.
"""

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
WORKER_COUNTS = (27, 250, 2_500, 25_000)
QUEUE_LENGTHS = (1_000, 10_000, 100_000, 1_000_000)
FIXED_WORKERS = 2_500
FIXED_QUEUE_LENGTH = 10_000
SHARES = {'service': (0.3, 1.0), 'batch': (0.4, 1.0), 'render': (0.2, 1.0)}


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionTimes:
    """Represent the processor times of a decision, in microseconds."""

    workers: int
    queue: int
    mean: float
    p50: float
    p99: float
    maximum: float

    @property
    def per_second(self) -> float:
        """Return the decisions per second of processor time."""
        return 1e6 / self.mean


class JobSource:
    """Generate jobs of mixed sizes, kinds, teams and urgencies."""

    def __init__(self, teams: int, rng: random.Random) -> None:
        self._teams = teams
        self._rng = rng
        self._count = 0

    def next_job(self) -> work.JobSpec:
        """Return the next job."""
        self._count += 1
        rng = self._rng
        kind = rng.choices(tuple(SHARES), (1, 8, 1))[0]
        accelerators = rng.choice((1, 2, 4)) if kind == 'render' else 0
        demand = resources.Resources(
            rng.choice((1, 2, 4, 8)) * fleets.CPU_MILLI_PER_CORE,
            rng.choice((2, 4, 8, 16)) * fleets.MIB_PER_GIB,
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


def saturate(
    workers: int, queue: int, rng: random.Random
) -> tuple[base.Scheduler, JobSource, collections.deque[str]]:
    """Return a saturated scheduler, its job source and the running tasks.

    The endpoints are full and about `queue` jobs wait.
    """
    fleet = fleets.scaled_fleet(workers)
    bounds = limits.Limits(10**9, 10**9, 10**9)
    sched = hibiscusslip.scheduler.build(
        places.Shard('z', 0), fleets.policy(fleet, SHARES), bounds, rng
    )
    for info in fleets.endpoints(fleet):
        sched.set_endpoint(info, 0.0)
    source = JobSource(fleet.teams, rng)
    for _ in range(queue + workers * fleets.SLOTS_PER_ENDPOINT):
        sched.submit(source.next_job(), 0.0)
    running: collections.deque[str] = collections.deque()
    while started := started_tasks(sched.decide(0.0, 4096)):
        running.extend(started)
    return sched, source, running


def started_tasks(decisions: list[base.Decision]) -> list[str]:
    """Return the tasks that the decisions start."""
    return [d.task for d in decisions if isinstance(d, base.Start)]


def measure(
    workers: int, queue: int, decisions: int = DECISIONS
) -> DecisionTimes:
    """Return the processor time of decisions in a saturated shard.

    Each iteration ends the oldest run, submits a job and decides. Its
    processor time is divided by the number of tasks that it starts.
    """
    sched, source, running = saturate(workers, queue, random.Random(SEED))
    times_us = []
    decided = 0
    now = 0.0
    gc.collect()
    gc.freeze()
    while decided < decisions:
        now += 0.001
        job = source.next_job()
        task = running.popleft()
        cpu_start = time.process_time_ns()
        sched.ended(task, base.RunOutcome.SUCCEEDED, now)
        sched.submit(job, now)
        started = started_tasks(sched.decide(now))
        time_us = (time.process_time_ns() - cpu_start) / 1e3
        times_us.extend(
            [time_us / max(1, len(started))] * max(1, len(started))
        )
        decided += max(1, len(started))
        running.extend(started)
    times_us.sort()
    gc.unfreeze()
    return DecisionTimes(
        workers,
        queue,
        sum(times_us) / len(times_us),
        times_us[len(times_us) // 2],
        times_us[len(times_us) * 99 // 100],
        times_us[-1],
    )


def measure_all() -> collections.abc.Iterator[DecisionTimes]:
    """Yield the times for each number of workers and each queue length."""
    for workers in WORKER_COUNTS:
        yield measure(workers, FIXED_QUEUE_LENGTH)
    for queue in QUEUE_LENGTHS:
        yield measure(FIXED_WORKERS, queue)


def main() -> None:
    """Print the table of processor times."""
    print('workers    queue  decisions/s  mean us  p50 us  p99 us  max us')
    for row in measure_all():
        print(
            f'{row.workers:7} {row.queue:8} {row.per_second:12.0f} '
            f'{row.mean:8.1f} {row.p50:7.1f} {row.p99:7.1f} '
            f'{row.maximum:7.0f}',
            flush=True,
        )


if __name__ == '__main__':
    main()
