"""Play trials by seed until the time is over; exit with 1 for a finding."""

import json
import pathlib
import random
import shutil
import sys
import time

import curio
import cyclopts

from tests.platform.soak import callers
from tests.platform.soak import cell as cells
from tests.platform.soak import faults
from tests.platform.soak import hosted
from tests.platform.soak import layout
from tests.platform.soak import oracle

OUT = pathlib.Path(__file__).resolve().parent / 'out'
PROBE_GAP_S = 0.4
ASK_GAP_S = 0.3
S_PER_MINUTE = 60.0

app = cyclopts.App(name='soak', help=__doc__)


class Trial:
    """Hold one trial: a cell, its callers and what harms it."""

    def __init__(self, seed: int, folder: pathlib.Path, planted: str) -> None:
        rng = random.Random(seed)
        self._faults = faults.plan(rng)
        self._cell = cells.Cell(seed, folder, planted)
        self._callers = callers.Callers(self._cell, rng)
        self._harm = faults.Harm(self._cell, rng)
        self._probes: list[callers.Told] = []
        self._folder = folder

    async def play(self) -> list[str]:
        """Return the promises that were broken."""
        (self._folder / 'plan').write_text(
            '\n'.join(str(fault) for fault in self._faults)
        )
        try:
            await self._cell.start()
            await self._live()
            return await self._judge()
        finally:
            await self._cell.close()

    async def _live(self) -> None:
        calling = await curio.spawn(self._callers.run, daemon=True)
        probing = await curio.spawn(self._probe, daemon=True)
        await self._harm.run(self._faults)
        self._callers.stopped = True
        await calling.join()
        await probing.cancel()
        for wait in faults.heal(self._cell):
            await wait
        await curio.sleep(callers.PATIENCE_S)
        await self._until_ended()

    async def _probe(self) -> None:
        """Add a queue, and ask all hosts for it again and again."""
        await curio.sleep(layout.FAULTS_S / 3)
        await self._cell.control('config', version=2, queues=['q1', 'q2'])
        while True:
            await curio.sleep(PROBE_GAP_S)
            self._probes += await self._ask_for_queue()

    async def _ask_for_queue(self) -> list[callers.Told]:
        async with curio.TaskGroup(wait=all) as group:
            tasks = [
                await group.spawn(callers.call, host, 'GET', '/q2/')
                for host in self._cell.hosts.values()
            ]
        return [task.result for task in tasks]

    async def _until_ended(self) -> None:
        """Ask for all accepted jobs until they are over, or the time is."""
        give_up = time.monotonic() + layout.CALM_S
        jobs = self._callers.jobs.values()
        open_jobs = [job for job in jobs if job.accepted_at is not None]
        while open_jobs and time.monotonic() < give_up:
            for job in open_jobs:
                await self._callers.ask(job)
            open_jobs = [
                job
                for job in open_jobs
                if job.asks[-1].state not in oracle.FINAL
            ]
            await curio.sleep(ASK_GAP_S)

    async def _judge(self) -> list[str]:
        running = await self._cell.control('running')
        judge = oracle.Judge(self._callers.jobs, self._cell.ledger)
        judge.judge_runs()
        judge.judge_answers()
        judge.judge_end(running)
        judge.judge_config(self._probes, await self._ask_for_queue())
        judge.judge_stops(self._harm.done)
        jobs = self._callers.jobs.values()
        figures = {
            'jobs': len(jobs),
            'accepted': sum(job.accepted_at is not None for job in jobs),
            'refused': sum(job.refused for job in jobs),
            'starts': judge.starts,
            'faults': [done.fault.kind for done in self._harm.done],
        }
        (self._folder / 'figures').write_text(json.dumps(figures))
        return judge.broken


def play(seed: int, planted: str) -> list[str]:
    """Play one trial; keep its folder if a promise was broken."""
    folder = OUT / f'{seed}{planted and "-" + planted}'
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    broken: list[str] = curio.run(Trial(seed, folder, planted).play)
    figures = (folder / 'figures').read_text()
    print(f'seed {seed}: {len(broken)} broken, {figures}', flush=True)
    for line in broken[:10]:
        print(f'  {line}')
    (folder / 'broken').write_text('\n'.join(broken))
    if not broken:
        shutil.rmtree(folder)
    return broken


@app.default
def main(
    seed: int = 1, trials: int = 1, minutes: float = 0.0, plant: str = ''
) -> None:
    """Play trials of consecutive seeds.

    Parameters
    ----------
    seed
        The first trial's seed.
    trials
        How many trials to play, if `minutes` is 0.
    minutes
        For how long to begin new trials.
    plant
        A fault to plant in all hosts, to see that it is found.
    """
    if plant and plant not in hosted.PLANTS:
        sys.exit(f'no such plant; choose from {", ".join(hosted.PLANTS)}')
    began = time.monotonic()
    found = []
    number = 0
    while True:
        if play(seed + number, plant):
            found.append(seed + number)
        number += 1
        over = time.monotonic() > began + minutes * S_PER_MINUTE
        if (minutes and over) or (not minutes and number >= trials):
            break
    print(f'{number} trials, findings: {found or "none"}')
    sys.exit(1 if found else 0)


if __name__ == '__main__':
    app()
