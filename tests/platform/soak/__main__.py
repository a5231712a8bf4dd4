"""Run soak trials by seed; exit with 1 if one violates a guarantee."""

import json
import math
import pathlib
import random
import shutil
import sys
import time

import curio
import cyclopts

from tests.platform.soak import access
from tests.platform.soak import callers
from tests.platform.soak import cell as cells
from tests.platform.soak import faults
from tests.platform.soak import hosted
from tests.platform.soak import intruders
from tests.platform.soak import layout
from tests.platform.soak import oracle
from tests.platform.soak import owner_loss
from tests.platform.soak import quotas

OUTPUT_DIR = pathlib.Path(__file__).resolve().parent / 'out'
PROBE_INTERVAL_S = 0.4
QUERY_INTERVAL_S = 0.3
S_PER_MINUTE = 60.0

app = cyclopts.App(name='soak', help=__doc__)


class Trial:
    """Run one trial: a cell, its callers and the faults injected into it."""

    def __init__(self, seed: int, folder: pathlib.Path, bug: str) -> None:
        rng = random.Random(seed)
        self._faults = sorted(
            faults.draw_faults(rng) + faults.draw_unconfigured(seed),
            key=lambda fault: fault.at,
        )
        self._cell = cells.Cell(seed, folder, bug)
        self._callers = callers.Callers(self._cell, rng)
        self._injector = faults.FaultInjector(self._cell, rng)
        self._intruders = intruders.Intruders(self._cell, seed)
        self._owner_loss = owner_loss.OwnerLoss(
            self._cell, self._callers, seed
        )
        self._probes: list[callers.CallResult] = []
        self._key_probes = access.KeyProbes()
        self._published_at = math.inf
        self._folder = folder

    async def run(self) -> list[str]:
        """Run the trial and return the violations that were found."""
        (self._folder / 'plan').write_text(
            '\n'.join(str(fault) for fault in self._faults)
        )
        try:
            await self._cell.start()
            await self._run_phases()
            return await self._check()
        finally:
            await self._cell.close()

    async def _run_phases(self) -> None:
        calling = await curio.spawn(self._callers.run, daemon=True)
        probing = await curio.spawn(self._probe, daemon=True)
        intruding = await curio.spawn(self._intruders.run, daemon=True)
        await self._cell.control('odd_entries')
        await self._injector.run(self._faults)
        self._callers.stopped = True
        await calling.join()
        await probing.cancel()
        await intruding.cancel()
        for wait in faults.heal(self._cell):
            await wait
        await self._owner_loss.run()
        await curio.sleep(callers.CALLER_TIMEOUT_S)
        await self._wait_for_completion()

    async def _probe(self) -> None:
        """Add a queue, change keys and limits, then query all hosts."""
        await curio.sleep(layout.FAULT_PHASE_S / 3)
        self._published_at = time.monotonic()
        await self._cell.publish(2, ['q1', 'q2'], layout.NEW_KEY)
        probes = self._key_probes
        probes.changed_at = time.monotonic()
        while True:
            await curio.sleep(PROBE_INTERVAL_S)
            self._probes += await self._query_queue()
            probes.withdrawn += await self._query_queue(
                '/q1/', layout.WITHDRAWN_KEY
            )
            probes.new += await self._query_queue('/q1/', layout.NEW_KEY)

    async def _query_queue(
        self, path: str = '/q2/', key: str = layout.KEYS['o1']
    ) -> list[callers.CallResult]:
        async with curio.TaskGroup(wait=all) as group:
            tasks = [
                await group.spawn(callers.call, host, 'GET', path, key)
                for host in self._cell.hosts.values()
            ]
        return [task.result for task in tasks]

    async def _wait_for_completion(self) -> None:
        """Query all accepted jobs until they have ended or the time is up.

        A job that crashes endpoints has longer if its first start came in
        time.
        """
        deadline = time.monotonic() + layout.COMPLETION_TIMEOUT_S
        jobs = self._callers.jobs.values()
        open_jobs = [job for job in jobs if job.accepted_at is not None]
        while open_jobs:
            for job in open_jobs:
                await self._callers.query_state(job)
            open_jobs = [
                job
                for job in open_jobs
                if job.queries[-1].state not in oracle.FINAL
                and time.monotonic() < deadline + self._extension_s(job)
            ]
            await curio.sleep(QUERY_INTERVAL_S)

    def _extension_s(self, job: callers.Job) -> float:
        started = f'"{job.job_id}.0.0.0"' in self._cell.ledger.read_text()
        return layout.CRASH_TRIALS_S if job.deadly and started else 0.0

    async def _check(self) -> list[str]:
        running = await self._cell.control('running')
        checker = oracle.Checker(self._callers.jobs, self._cell.ledger)
        checker.check_runs()
        checker.check_responses()
        checker.check_completion(running)
        checker.check_config(self._probes, await self._query_queue())
        checker.check_graceful_stops(self._injector.done)
        checker.check_holds(self._folder)
        checker.broken += self._owner_loss.check(checker.rows)
        checker.broken += self._intruders.check_memory()
        checker.broken += access.check_keys(
            self._key_probes, self._callers.jobs, self._injector.done
        )
        quota_checker = quotas.QuotaChecker(
            self._callers.jobs, self._published_at, self._lowered_at()
        )
        quota_checker.check_runs(checker.rows)
        checker.broken += quota_checker.broken
        jobs = self._callers.jobs.values()
        figures = {
            'learning': self._cell.learning,
            'jobs': len(jobs),
            'accepted': sum(job.accepted_at is not None for job in jobs),
            'refused': sum(job.refused for job in jobs),
            'deadly': sum(job.deadly for job in jobs),
            'lost_task_waited_s': self._owner_loss.wait_s(checker.rows),
            'starts': checker.starts,
            'copies': checker.copies,
            'peak_limit_use': round(quota_checker.peak_use, 2),
            'key_probes': len(self._key_probes.withdrawn),
            'platform_stall_s': checker.longest_stall_s,
            'longest_hold_ms': checker.longest_hold_ms,
            'faults': [done.fault.kind for done in self._injector.done],
        }
        (self._folder / 'figures').write_text(json.dumps(figures))
        return checker.broken

    def _lowered_at(self) -> float:
        """Return when no start counts by the first configuration any more.

        Faults may keep the owner from reading the second one, and a start
        may be carried out long after its decision.
        """
        settled_at = max(
            self._published_at,
            self._key_probes.changed_at,
            *(item.ended for item in self._injector.done),
        )
        return settled_at + layout.CONFIG_APPLY_S + layout.START_VALID_S


def run_trial(seed: int, bug: str) -> list[str]:
    """Run one trial and return its violations.

    Its folder is kept if there are any.
    """
    folder = OUTPUT_DIR / f'{seed}{bug and "-" + bug}'
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    broken: list[str] = curio.run(Trial(seed, folder, bug).run)
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
    """Run trials with consecutive seeds.

    Parameters
    ----------
    seed
        The first trial's seed.
    trials
        How many trials to run, if `minutes` is 0.
    minutes
        For how long to start new trials.
    plant
        A bug to inject into all hosts, to check that the soak finds it.
    """
    if plant and plant not in hosted.BUGS:
        sys.exit(
            f'no such bug to inject; choose from {", ".join(hosted.BUGS)}'
        )
    began = time.monotonic()
    failing_seeds = []
    number = 0
    while True:
        if run_trial(seed + number, plant):
            failing_seeds.append(seed + number)
        number += 1
        timed_out = time.monotonic() > began + minutes * S_PER_MINUTE
        if (minutes and timed_out) or (not minutes and number >= trials):
            break
    print(f'{number} trials, findings: {failing_seeds or "none"}')
    sys.exit(1 if failing_seeds else 0)


if __name__ == '__main__':
    app()
