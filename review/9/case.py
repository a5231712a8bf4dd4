"""Tasks that last aren't started again, as room is kept for urgent work."""

import os
import pathlib
import sys
import time

import curio

from review.rig2 import cell as cells
from review.rig2 import worker as workers

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
WORKERS = 7  # one of them is 0.143 of all, the largest share is 0.15
CPU = 32000
LAST_PREFIX = '/last/'
LAST_ID = '5c0e7a21d94b36f8'
LAST_CPU = 4000
LASTING = 20
URGENT_RUN_S = 1.0
URGENT_CPU = 2000
URGENT_TASKS = 9
URGENT_PERIOD_S = 0.2
WARM_UP_S = 20.0
WATCH_S = 30.0
CALM_S = 7.0  # 3 s and the 4 s before them
AGAIN_S = 6.0  # from its last run
IDLE_S = 3.0
LAST_JOB = {
    'Spec': 'lasts',
    'Steps': [
        {
            'Count': LASTING,
            'Cpu': LAST_CPU,
            'MemMb': 512,
            'EstimateMs': 500,
            'LongRunning': True,
        }
    ],
}
URGENT_JOB = {
    'Spec': 'urgent',
    'Steps': [
        {
            'Count': URGENT_TASKS,
            'Cpu': URGENT_CPU,
            'MemMb': 512,
            'EstimateMs': 1000,
        }
    ],
}


async def run(recorder):
    """Return the exit status."""
    cell = cells.Cell(recorder)
    for number in range(WORKERS):
        worker = workers.Worker(
            f'w-{number}',
            f'z{1 + number % 2}',
            URGENT_RUN_S,
            recorder,
            (CPU, 131072, 0),
            False,
        )
        worker.log_starts = False
        worker.lasting_s = 600.0
        await worker.start()
        cell.workers.append(worker)
    try:
        await cell.start(hosts=2, more=((LAST_PREFIX, 1),))
        return await play(cell, recorder)
    finally:
        cell.stop()


async def send_urgent(cell):
    """Hand urgent jobs in at a steady rate."""
    number = 0
    due = time.monotonic()
    while True:
        number += 1
        job_id = f'{0xB0000000000000 + number:016x}'
        await curio.spawn(
            cell.submit,
            'host-1',
            job_id,
            URGENT_JOB,
            cells.PREFIX,
            True,
            daemon=True,
        )
        due += URGENT_PERIOD_S
        await curio.sleep(max(due - time.monotonic(), 0.0))


def used_by(worker):
    """Return the CPU in use on a worker."""
    return sum(
        LAST_CPU if task.startswith(LAST_ID) else URGENT_CPU
        for task, _ in worker.running
    )


def lasting_at(worker):
    """Return the lasting tasks that run on a worker."""
    return {task for task, _ in worker.running if task.startswith(LAST_ID)}


class Watch:
    """Record since when each lasting task could run and doesn't."""

    def __init__(self, recorder, now):
        self.recorder = recorder
        self.last_run = {
            f'{LAST_ID}.0.0.{index}': now for index in range(LASTING)
        }
        self.roomy_since = now
        self.broken = {}
        self.longest = 0.0

    def look(self, cell, now, calm_from):
        """Look at all workers once."""
        up = [worker for worker in cell.workers if worker.up]
        running = set().union(*(lasting_at(worker) for worker in up))
        fitting = sum((CPU - used_by(w)) // LAST_CPU for w in up)
        if fitting < 2:  # capacity for it twice over
            self.roomy_since = now
        for task, seen_at in self.last_run.items():
            if task in running:
                self.last_run[task] = now
                continue
            idle = now - max(
                seen_at + AGAIN_S, self.roomy_since, calm_from - IDLE_S
            )
            self.longest = max(self.longest, now - seen_at)
            if idle >= IDLE_S and task not in self.broken:
                self.broken[task] = now
                self.recorder.note(
                    'LOST', task, f'not at work for {now - seen_at:.1f} s;',
                    'room now for', fitting, 'such tasks, in use',
                    sum(used_by(w) for w in up), 'of', CPU * len(up),
                )  # fmt: skip


async def play(cell, recorder):
    """Load the service, lose a worker for good, and judge."""
    status = await cell.submit('host-1', LAST_ID, LAST_JOB, LAST_PREFIX)
    if status != 200:
        return 2
    await curio.spawn(send_urgent, cell, daemon=True)
    await curio.sleep(WARM_UP_S)
    at_work = sum(len(lasting_at(worker)) for worker in cell.workers)
    recorder.note(at_work, 'of', LASTING, 'lasting tasks at work; in use',
                  sum(used_by(w) for w in cell.workers), 'of',
                  CPU * WORKERS)  # fmt: skip
    if at_work < LASTING:
        return 2
    began = time.monotonic()
    if TROUBLE:
        lost = max(cell.workers, key=lambda w: len(lasting_at(w)))
        recorder.note('srv_crash (gone):', lost.ident, 'with',
                      len(lasting_at(lost)), 'lasting tasks')  # fmt: skip
        await lost.crash()
        await curio.spawn(unlist, cell, lost, daemon=True)
    watch = Watch(recorder, began)
    while (now := time.monotonic()) < began + WATCH_S:
        watch.look(cell, now, began + CALM_S)
        await curio.sleep(0.1)
    recorder.note('longest time that a lasting task was not at work:',
                  f'{watch.longest:.1f} s')  # fmt: skip
    for event in ('run_lost', 'cell_load'):
        lines = cell.log_lines(event)
        recorder.note(len(lines), 'log lines', event, *lines[-2:])
    recorder.note(len(watch.broken), 'breaks of LOST')
    return 1 if watch.broken else 0


async def unlist(cell, worker):
    """Remove a worker's entry after three heartbeats of silence."""
    await curio.sleep(3 * cells.HEARTBEAT_S)
    cell.store.put('keyed.servers', worker.ident, b'')


if __name__ == '__main__':
    folder = pathlib.Path(__file__).parent
    sys.exit(curio.run(run, workers.Recorder(folder / 'record.txt')))
