"""Submit a job that can't be placed as a whole, then others."""

import pathlib
import sys
import time

import curio

from review.rig import cell as cells
from review.rig import worker as workers

FEED = '/feed/'
BATCH = '/batch/'
CPU = 32000
WORKERS = 3
FINISH_S = 14.0  # `finish_s`
IDLE_S = 3.0
LASTING_S = 1000.0
BATCH_S = 1.0
POISON_CPU = 13000
FEED_CPU = 500
BATCH_CPU = 1000
BATCH_TASKS = 4
# One job in 21 can't be done as a whole, within 3 s: the site's `poison` has
# a share of 0.05 for 3 s.
FEEDS = 20
POISON_JOB = f'{1:016x}'
FEED_JOBS = [f'{number:016x}' for number in range(256, 256 + FEEDS)]
BATCH_JOBS = [f'{number:016x}' for number in range(16, 22)]


def plan(task, run):
    """Have tasks of the feeds last, and those of batches end soon."""
    batch = task[:16] in BATCH_JOBS
    return (BATCH_S if batch else LASTING_S), 'done'


def feed_step(count, cpu, spread=0):
    """Return a step of tasks that last."""
    step = {
        'Count': count,
        'Cpu': cpu,
        'MemMb': 100,
        'EstimateMs': 500,
        'LongRunning': True,
    }
    if spread:
        step['AntiAffinity'] = spread
    return step


async def submit(cell, path, step):
    """Hand a job in; it must be accepted."""
    if not await cell.submit(path, [step]):
        raise RuntimeError('a job was not accepted')


async def case(cell, trouble):
    """Return what was broken."""
    config = cells.configuration(
        1,
        [
            cells.route('r-feed', FEED, 'svc', Priority=1, MaxAttempts=4),
            cells.route('r-batch', BATCH, 'svc', Priority=2, MaxAttempts=4),
        ],
        ['svc'],
    )
    capacity = {'Cpu': CPU, 'MemMb': 131072, 'Gpu': 0}
    machines = [
        workers.Worker(
            f'w{number}', 'svc', capacity, ['a', 'r1'], plan, cell.record
        )
        for number in range(WORKERS)
    ]
    await cell.start(config, machines)
    await curio.sleep(2.0)
    for number, job in enumerate(FEED_JOBS):
        if trouble and number == FEEDS // 2:
            # Six tasks that last, one a worker, for three workers.
            poison = feed_step(6, POISON_CPU, spread=1)
            await submit(cell, FEED + POISON_JOB, poison)
            await curio.sleep(0.5)
        await submit(cell, FEED + job, feed_step(1, FEED_CPU))
    batch = {
        'Count': BATCH_TASKS,
        'Cpu': BATCH_CPU,
        'MemMb': 100,
        'EstimateMs': 1000,
    }
    for job in BATCH_JOBS:
        await submit(cell, BATCH + job, batch)
    await curio.sleep(FINISH_S)
    return await find_idle(cell, machines)


def used_cpu(task):
    """Return what a task takes of its worker."""
    job = task[:16]
    if job == POISON_JOB:
        return POISON_CPU
    return BATCH_CPU if job in BATCH_JOBS else FEED_CPU


async def find_idle(cell, machines):
    """Return the jobs that have nothing running for 3 s without cause."""
    total = CPU * len(machines)
    wanted = {FEED + job: FEED_CPU for job in FEED_JOBS}
    wanted.update({BATCH + job: BATCH_CPU * BATCH_TASKS for job in BATCH_JOBS})
    idle = set(wanted)
    give_up_at = time.monotonic() + IDLE_S
    while time.monotonic() < give_up_at:
        running = [task for item in machines for task, _ in item.running]
        used = sum(used_cpu(task) for task in running)
        free = total - used
        for path, demand in wanted.items():
            job = path.rpartition('/')[2]
            enough = free >= 2 * demand and used < total / 2
            if not enough or any(task.startswith(job) for task in running):
                idle.discard(path)
        await curio.sleep(0.1)
    cell.record('room', used=used, free=free)
    breaks = []
    for path in sorted(idle):
        state = await cell.state(path)
        cell.record('final', path=path, state=state)
        if state in ('queued', 'running'):
            breaks.append(
                f'LOST: {path} is {state!r} and has nothing running'
                f' {FINISH_S:.0f} s after the last job was handed in, with'
                f' {free} of {total} mCPU free'
            )
    return breaks


if __name__ == '__main__':
    folder = pathlib.Path(__file__).parent
    sys.exit(cells.run(case, folder / 'record.txt'))
