"""Hand in jobs, ask for them and cancel some, as impatient callers do."""

import dataclasses
import json
import random
import time

import curio

from hibiscusslip.http import client
from hibiscusslip.http import exceptions
from tests.platform import cell as samples
from tests.platform.soak import cell as cells

PATIENCE_S = 3.0
NOT_RUN = (429, 503)
NO_ANSWER = 0
NOT_REACHED = -1
CANCELLED_SHARE = 0.1
GAP_S = 0.12


@dataclasses.dataclass
class Told:
    """Hold one answer: to what, when, by which life of which host."""

    sent: float
    at: float
    host: str
    life: int
    status: int
    state: str = ''


@dataclasses.dataclass
class Job:
    """Hold one job and all that callers were told of it."""

    ident: str
    counts: list[int]
    cpus: list[int]
    submits: list[Told] = dataclasses.field(default_factory=list)
    asks: list[Told] = dataclasses.field(default_factory=list)
    cancels: list[Told] = dataclasses.field(default_factory=list)

    @property
    def accepted_at(self) -> float | None:
        """Return when it was first answered with success."""
        times = [told.at for told in self.submits if told.status == 200]
        return min(times, default=None)

    @property
    def refused(self) -> bool:
        """Tell whether each try was answered with `not run`."""
        return bool(self.submits) and all(
            told.status in NOT_RUN for told in self.submits
        )


class Callers:
    """Call the hosts of a cell and keep what they tell."""

    def __init__(self, cell: cells.Cell, rng: random.Random) -> None:
        self._cell = cell
        self._rng = rng
        self.jobs: dict[str, Job] = {}
        self.stopped = False

    async def run(self) -> None:
        """Hand in jobs until stopped."""
        while not self.stopped:
            await curio.spawn(self._one, daemon=True)
            await curio.sleep(self._rng.uniform(0.5, 1.5) * GAP_S)

    async def _one(self) -> None:
        rng = self._rng
        counts = [rng.randint(1, 4) for _ in range(rng.choice((1, 1, 2)))]
        cpus = [rng.choice((500, 1000, 2000)) for _ in counts]
        job = Job(f'{rng.getrandbits(64):016x}', counts, cpus)
        self.jobs[job.ident] = job
        await self._submit(job)
        if job.accepted_at is None:
            return
        if rng.random() < CANCELLED_SHARE:
            await curio.sleep(rng.uniform(0.0, 1.0))
            job.cancels.append(await self._call('DELETE', job))
        for _ in range(3):
            await curio.sleep(rng.uniform(0.1, 2.0))
            await self.ask(job)

    async def _submit(self, job: Job) -> None:
        rng = self._rng
        steps = [
            {
                'Count': count,
                'Cpu': job.cpus[number],
                'MemMb': 10,
                'EstimateMs': rng.choice((100, 400, 1500)),
                **({'DependsOn': [number - 1]} if number else {}),
            }
            for number, count in enumerate(job.counts)
        ]
        takes = rng.choice((0.05, 0.3, 0.8, 2.0))
        body = json.dumps({'Spec': str(takes), 'Steps': steps}).encode()
        for _ in range(4):
            told = await self._call('POST', job, body)
            job.submits.append(told)
            if told.status == 200 or told.status in (400, 404):
                return
            await curio.sleep(rng.uniform(0.2, 1.0))

    async def ask(self, job: Job) -> Told:
        """Ask a host for a job's state."""
        told = await self._call('GET', job)
        job.asks.append(told)
        return told

    async def _call(self, method: str, job: Job, body: bytes = b'') -> Told:
        host = self._cell.hosts[self._rng.choice(list(self._cell.hosts))]
        return await call(host, method, f'/q1/{job.ident}', body)


async def call(
    host: cells.Host, method: str, path: str, body: bytes = b''
) -> Told:
    """Call a host once, on a connection of its own."""
    sent = time.monotonic()
    life = host.lives
    pool = client.Pool(host.ip, 18149, max_connections=1)
    status, state = NO_ANSWER, ''
    try:
        response = await pool.call(
            method,
            path,
            body=body,
            headers={
                'host': samples.HOST,
                'x-deadline-ms': str(int(PATIENCE_S * 1000)),
            },
            timeout=PATIENCE_S + 0.5,
        )
        status = response.status
        if method == 'GET' and status == 200:
            state = json.loads(response.content).get('State', '')
    except exceptions.NotSent:
        status = NOT_REACHED
    except exceptions.HttpError:
        pass  # no answer, as the status tells
    finally:
        await pool.close()
    return Told(sent, time.monotonic(), host.name, life, status, state)
