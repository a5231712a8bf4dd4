"""A worker starts again under its id while its address goes to another."""

import os
import pathlib
import sys
import time

import curio

from review.rig2 import cell as cells
from review.rig2 import judge
from review.rig2 import worker as workers

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RUN_S = 5.0
JOBS = 24
TASKS = 6
WORKERS = 7  # one of them is 0.143 of all, the largest share is 0.15
DOWN_S = 1.0
REUSE_S = 2.0  # AddrReuseS
LIMIT_S = 60.0


def make_job(number):
    """Return the id and the body of a job."""
    job = {
        'Spec': f'job {number}',
        'Steps': [
            {
                'Count': TASKS,
                'Cpu': 1000,
                'MemMb': 512,
                'EstimateMs': 5000,
                'AntiAffinity': 1,
            }
        ],
    }
    return f'{0xA0000000000000 + number:016x}', job


async def run(recorder):
    """Return the exit status."""
    cell = cells.Cell(recorder)
    for number in range(WORKERS):
        worker = workers.Worker(
            f'w-{number}',
            f'z{1 + number % 2}',
            RUN_S,
            recorder,
            (32000, 131072, 0),
            False,
        )
        await worker.start()
        cell.workers.append(worker)
    try:
        await cell.start(hosts=2)
        return await play(cell, recorder)
    finally:
        cell.stop()


async def disturb(cell, recorder):
    """Crash a worker; it starts again elsewhere, and its address is reused."""
    worker = cell.workers[0]
    ip, _, port = worker.address.rpartition(':')
    await worker.crash()
    await curio.sleep(DOWN_S)
    await worker.restart()
    cell.announce(worker)
    await curio.sleep(REUSE_S - DOWN_S + 0.1)
    other = workers.Worker(
        'w-other', worker.zone, RUN_S, recorder, (32000, 131072, 0), False
    )
    other.service = cells.OTHER_SERVICE
    await other.start(ip, int(port))
    cell.workers.append(other)
    cell.announce(other)


async def play(cell, recorder):
    """Hand jobs in, one after the other, and judge."""
    began = time.monotonic()
    if TROUBLE:
        await curio.spawn(disturb, cell, recorder, daemon=True)
    ids = []
    for number in range(JOBS):
        job_id, job = make_job(number)
        if await cell.submit('host-1', job_id, job) != 200:
            return 2
        ids.append(job_id)
        await curio.sleep(0.3)
    states = {}
    while time.monotonic() < began + LIMIT_S:
        states = {i: await cell.state('host-2', i) for i in ids}
        if all(state == 'completed' for state in states.values()):
            break
        await curio.sleep(0.5)
    recorder.note('the jobs are shown as', sorted(set(states.values())))
    return finish(cell, recorder)


def finish(cell, recorder):
    """Write what was run, and judge."""
    for event in ('endpoint_replaced', 'endpoint_restarted', 'run_lost'):
        lines = cell.log_lines(event)
        recorder.note(len(lines), 'log lines', event, *lines[:2])
    runs = [run for worker in cell.workers for run in worker.runs]
    breaks = judge.find_twice(runs)
    recorder.note(len(runs), 'runs;', len(breaks), 'breaks')
    for line in breaks[:40]:
        recorder.note('TWICE', line)
    return 1 if breaks else 0


if __name__ == '__main__':
    folder = pathlib.Path(__file__).parent
    sys.exit(curio.run(run, workers.Recorder(folder / 'record.txt')))
