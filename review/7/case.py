"""More than 500 runs end on one worker while the owner's process is killed."""

import os
import pathlib
import sys
import time

import curio

from review.rig2 import cell as cells
from review.rig2 import judge
from review.rig2 import worker as workers

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
JOB_ID = '5c0e7a21d94b36f8'
TASKS = 900
RUN_S = 7.0
KILL_BEFORE_ENDS_S = 0.2
RESTART_S = 1.0
LIMIT_S = 80.0
JOB = {
    'Spec': 'many small tasks',
    'Steps': [
        {
            'Count': TASKS,
            'Cpu': 30,
            'MemMb': 64,
            'EstimateMs': int(RUN_S * 1e3),
        }
    ],
}


async def run(recorder):
    """Return the exit status."""
    cell = cells.Cell(recorder)
    for number in range(3):
        worker = workers.Worker(
            f'w-{number}',
            f'z{1 + number % 2}',
            RUN_S,
            recorder,
            (32000, 131072, 0),
            False,
        )
        worker.log_starts = False
        await worker.start()
        cell.workers.append(worker)
    try:
        await cell.start(hosts=2)
        return await play(cell, recorder)
    finally:
        cell.stop()


async def play(cell, recorder):
    """Hand the job in, kill the owner before its tasks end, judge."""
    if await cell.submit('host-1', JOB_ID, JOB) != 200:
        recorder.note('the job was not accepted')
        return 2
    began = time.monotonic()
    runs = []
    while len(runs) < TASKS and time.monotonic() < began + RUN_S:
        await curio.sleep(0.02)
        runs = [run for worker in cell.workers for run in worker.runs]
    first = min(run.started_at for run in runs)
    recorder.note(
        len(runs),
        'runs started within',
        f'{time.monotonic() - first:.2f} s, by worker:',
        [len(worker.runs) for worker in cell.workers],
    )
    if TROUBLE:
        await curio.sleep(
            max(first + RUN_S - KILL_BEFORE_ENDS_S - time.monotonic(), 0)
        )
        owner = cell.owner()
        cell.hosts[owner].kill()
        recorder.note('node_kill: SIGKILL of', owner)
        await curio.sleep(RESTART_S)
        recorder.note(
            'ends that are not taken note of, by worker:',
            [len(worker.ended) for worker in cell.workers],
        )
        cell.start_host(owner)
    state = ''
    while state != 'completed' and time.monotonic() < began + LIMIT_S:
        await curio.sleep(0.5)
        for name in cell.hosts:
            state = await cell.state(name, JOB_ID)
            if state == 'completed':
                break
    recorder.note('the job is shown as', state)
    await curio.sleep(1.0)
    return finish(cell, recorder)


def finish(cell, recorder):
    """Write what was run, and judge."""
    runs = [run for worker in cell.workers for run in worker.runs]
    for run in sorted(runs, key=lambda run: (run.task, run.started_at)):
        if run.run > 1:
            recorder.note(
                run.worker,
                run.task,
                'run',
                run.run,
                'started',
                f'{recorder.since_start(run.started_at):.3f}',
                run.how,
            )
    for event in ('run_lost', 'owner_ready', 'store_lost'):
        lines = cell.log_lines(event)
        recorder.note(len(lines), 'log lines', event, *lines[:1])
    breaks = judge.find_twice(runs)
    recorder.note(len(runs), 'runs of', TASKS, 'tasks;', len(breaks), 'breaks')
    for line in breaks[:20]:
        recorder.note('TWICE', line)
    return 1 if breaks else 0


if __name__ == '__main__':
    folder = pathlib.Path(__file__).parent
    sys.exit(curio.run(run, workers.Recorder(folder / 'record.txt')))
