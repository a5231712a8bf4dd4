"""Kill all hosts while the partition of the configuration isn't served."""

import pathlib
import signal
import sys

import curio

from review.rig import cell as cells
from review.rig import worker as workers

PREFIX = '/small/'
MAX_ATTEMPTS = 3
JOBS = [f'{number:016x}' for number in range(1, 9)]
TASK_S = 2.0
# The site's `platform_down`: a part of the partitions, busy, for 4.5 s.
OUTAGE_S = 4.5
# The site's closing `kill_all`: processes start again after 0.94 s.
DOWN_S = 0.94
FINISH_S = 30.0


def plan(task, run):
    """Have the first run of each job's first task fail; all others succeed."""
    fails = run == 1 and task.endswith('.0.0.0')
    return TASK_S, 'failed' if fails else 'done'


async def case(cell, trouble):
    """Return what was broken."""
    config = cells.configuration(
        1,
        [cells.route('r-small', PREFIX, 'svc', MaxAttempts=MAX_ATTEMPTS)],
        ['svc'],
    )
    capacity = {'Cpu': 8000, 'MemMb': 8000, 'Gpu': 0}
    await cell.start(
        config,
        [
            workers.Worker(
                f'w{number}', 'svc', capacity, ['a', 'r1'], plan, cell.record
            )
            for number in range(4)
        ],
    )
    await curio.sleep(2.0)
    step = {'Count': 2, 'Cpu': 1000, 'MemMb': 10, 'EstimateMs': 2000}
    for job in JOBS:
        if not await cell.submit(PREFIX + job, [step]):
            raise RuntimeError('a job was not accepted')
    if trouble:
        await disturb(cell)
    await curio.sleep(OUTAGE_S)
    breaks = []
    for job in JOBS:
        state = await cell.wait_final(PREFIX + job, FINISH_S)
        failed = [
            row
            for row in cell.record.of('end')
            if row['task'].startswith(job) and row['how'] == 'failed'
        ]
        cell.record('final', job=job, state=state, failed_ends=len(failed))
        if state == 'failed' and len(failed) < MAX_ATTEMPTS:
            breaks.append(
                f'LOST: {job} is shown as failed after {len(failed)} of'
                f' {MAX_ATTEMPTS} attempts'
            )
        elif state != 'completed':
            breaks.append(f'LOST: {job} is {state!r} at the end')
    return breaks


async def disturb(cell):
    """Kill all hosts; the configuration can't be read for a while."""
    cell.store.unavailable.add(('keyed.op', 0))
    cell.record('store', unavailable='keyed.op/0')
    await curio.spawn(end_outage, cell, daemon=True)
    for host in cell.hosts:
        host.signal(signal.SIGKILL)
    await curio.sleep(DOWN_S)
    for host in cell.hosts:
        host.start()


async def end_outage(cell):
    """Have the store serve all partitions again."""
    await curio.sleep(OUTAGE_S)
    cell.store.unavailable.clear()
    cell.record('store', unavailable='')


if __name__ == '__main__':
    folder = pathlib.Path(__file__).parent
    sys.exit(cells.run(case, folder / 'record.txt'))
