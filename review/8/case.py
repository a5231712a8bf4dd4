"""One scheduled job whose times are all past stops the work of all others."""

import os
import pathlib
import sys
import time

import curio

from review.rig2 import cell as cells
from review.rig2 import worker as workers

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
WORKERS = 4
CPU = 32000
RUN_S = 1.0
TIMES = 10000 if TROUBLE else 100
INTERVAL_MS = 60_000
JOBS = 10
JOB_CPU = 1000
TASK_CPU = 100
FINISH_S = 14.0  # finish_s, from the end of the traffic
WATCH_S = 12.0
IDLE_S = 3.0
ASKED = 3  # jobs whose state is asked for at the end
SCHEDULED_ID = '5c0e7a21d94b36f8'
JOB = {
    'Spec': 'an ordinary job',
    'Steps': [{'Count': 2, 'Cpu': JOB_CPU, 'MemMb': 64, 'EstimateMs': 1000}],
}


def scheduled_job():
    """Return a job of which all times are past; the last one just now."""
    past_ms = TIMES * INTERVAL_MS
    return {
        'Spec': 'a job for each minute',
        'Times': TIMES,
        'StartMs': int(time.time() * 1000) - past_ms,
        'IntervalMs': INTERVAL_MS,
        'Steps': [
            {'Count': 1, 'Cpu': TASK_CPU, 'MemMb': 16, 'EstimateMs': 1000}
        ],
    }


async def run(recorder):
    """Return the exit status."""
    cell = cells.Cell(recorder)
    for number in range(WORKERS):
        worker = workers.Worker(
            f'w-{number}',
            f'z{1 + number % 2}',
            RUN_S,
            recorder,
            (CPU, 131072, 0),
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


def used_by(worker):
    """Return the CPU in use on a worker."""
    return sum(
        TASK_CPU if task.startswith(SCHEDULED_ID) else JOB_CPU
        for task, _ in worker.running
    )


async def play(cell, recorder):
    """Hand in the scheduled job and others, and judge these."""
    status = await cell.submit('host-1', SCHEDULED_ID, scheduled_job())
    if status != 200:
        return 2
    ids = [f'{0xB0000000000000 + number:016x}' for number in range(JOBS)]
    accepted = []
    for number, job_id in enumerate(ids):
        if await cell.submit(f'host-{1 + number % 2}', job_id, JOB) == 200:
            accepted.append(job_id)
        await curio.sleep(0.1)
    if len(accepted) < JOBS:
        recorder.note('only', len(accepted), 'jobs were accepted')
    ended = time.monotonic()
    await curio.sleep(FINISH_S)
    idle_since = dict.fromkeys(accepted, time.monotonic())
    longest = dict.fromkeys(accepted, 0.0)
    while (now := time.monotonic()) < ended + FINISH_S + WATCH_S:
        used = sum(used_by(worker) for worker in cell.workers)
        done = {
            run.task
            for worker in cell.workers
            for run in worker.runs
            if run.how == 'done'
        }
        running = {
            task.partition('.')[0]
            for worker in cell.workers
            for task, _ in worker.running
        }
        for job_id in accepted:
            complete = all(f'{job_id}.0.0.{i}' in done for i in range(2))
            half_in_use = 2 * used >= CPU * WORKERS
            if complete or half_in_use or job_id in running:
                idle_since[job_id] = now
            longest[job_id] = max(longest[job_id], now - idle_since[job_id])
        await curio.sleep(0.2)
    return await finish(cell, recorder, accepted, longest)


async def finish(cell, recorder, accepted, longest):
    """Write what was seen, and judge."""
    for number, job_id in enumerate(accepted):
        state = 'not asked'
        if number < ASKED:
            state = await cell.state('host-1', job_id)
        recorder.note(
            'client: GET',
            job_id,
            '->',
            f'{state}; nothing ran for {longest[job_id]:.1f} s on end',
        )
    runs = [run for worker in cell.workers for run in worker.runs]
    recorder.note(
        len(runs),
        'runs in all; in use at the end',
        sum(used_by(worker) for worker in cell.workers),
        'of',
        CPU * WORKERS,
    )
    for event in ('owner_ready', 'loop_crashed', 'start_refused'):
        lines = cell.log_lines(event)
        recorder.note(len(lines), 'log lines', event, *lines[-1:])
    lost = [job_id for job_id in accepted if longest[job_id] >= IDLE_S]
    recorder.note('LOST:', len(lost), 'of', len(accepted), 'accepted jobs')
    return 1 if lost else 0


if __name__ == '__main__':
    folder = pathlib.Path(__file__).parent
    sys.exit(curio.run(run, workers.Recorder(folder / 'record.txt')))
