"""Submit jobs, query them and cancel some, with short timeouts."""

import dataclasses
import itertools
import json
import random
import time
import typing

import curio

from hibiscusslip.http import client
from hibiscusslip.http import exceptions
from tests.platform import cell as samples
from tests.platform.soak import cell as cells
from tests.platform.soak import layout

CALLER_TIMEOUT_S = 3.0
REFUSED_STATUSES = (429, 503)
NO_RESPONSE = 0
NOT_REACHED = -1
CANCELLED_SHARE = 0.1
DEADLY_SHARE = 0.01
SPECULATIVE_SHARE = 0.5
SUBMIT_INTERVAL_S = 0.12


@dataclasses.dataclass
class CallResult:
    """Represent the result of one call to a host.

    `sent` and `at` are when the call was sent and when it was over, on the
    monotonic clock; `life` is the number of the host's incarnation that was
    called.
    """

    sent: float
    at: float
    host: str
    life: int
    status: int
    state: str = ''


@dataclasses.dataclass
class Job:
    """Represent a job and the results of all calls about it.

    With `times` it is a scheduled one, all times of which are past. Its tasks
    take `seconds`, 0 for a time that is drawn.
    """

    job_id: str
    counts: list[int]
    cpus: list[int]
    deadly: bool = False
    speculative: bool = False
    times: int = 0
    seconds: float = 0.0
    submissions: list[CallResult] = dataclasses.field(default_factory=list)
    queries: list[CallResult] = dataclasses.field(default_factory=list)
    cancellations: list[CallResult] = dataclasses.field(default_factory=list)

    @property
    def organisation(self) -> str:
        """Return the name of the organisation that submits the job."""
        # Drawn apart, so that the seeds play the same faults as ever.
        return random.Random(f'key {self.job_id}').choice(list(layout.KEYS))

    @property
    def kind(self) -> str:
        """Return the label that the job requires, '' for none."""
        rng = random.Random(f'kind {self.job_id}')
        if self.times or rng.random() >= layout.KIND_SHARE:
            return ''
        return rng.choice(layout.KINDS)

    @property
    def key(self) -> str:
        """Return the key of the organisation that submits the job."""
        return layout.KEYS[self.organisation]

    @property
    def accepted_at(self) -> float | None:
        """Return when a submission first succeeded, None if none did."""
        times = [
            result.at for result in self.submissions if result.status == 200
        ]
        return min(times, default=None)

    @property
    def refused(self) -> bool:
        """Return True if every submission was refused: it must not run."""
        return bool(self.submissions) and all(
            result.status in REFUSED_STATUSES for result in self.submissions
        )


class Callers:
    """Call the hosts of a cell and record the results."""

    def __init__(self, cell: cells.Cell, rng: random.Random) -> None:
        self._cell = cell
        self._rng = rng
        self.jobs: dict[str, Job] = {}
        self.stopped = False

    async def run(self) -> None:
        """Submit jobs until stopped."""
        await curio.spawn(self._run_scheduled, daemon=True)
        while not self.stopped:
            await curio.spawn(self._run_job, daemon=True)
            await curio.sleep(self._rng.uniform(0.5, 1.5) * SUBMIT_INTERVAL_S)

    async def _run_scheduled(self) -> None:
        """Submit a job of an organisation whose limit is in CPU only."""
        await curio.sleep(layout.SCHEDULED_AT_S)
        job = Job(
            '', [1], [layout.SCHEDULED_CPU], times=layout.SCHEDULED_TIMES
        )
        while job.organisation != 'o2':
            job.job_id += '5'
        job.job_id = job.job_id.rjust(16, '0')
        self.jobs[job.job_id] = job
        await self._submit(job)

    async def submit_long(self, tasks: int, seconds: float) -> None:
        """Submit a job of long tasks, without a limit in CPU or a label."""
        job = Job('', [tasks], [500], seconds=seconds)
        for number in itertools.count(1):
            job.job_id = f'{number:016x}'
            if job.organisation == 'o3' and not job.kind:
                break
        self.jobs[job.job_id] = job
        await self._submit(job)

    async def _run_job(self) -> None:
        rng = self._rng
        counts = [rng.randint(1, 4) for _ in range(rng.choice((1, 1, 2)))]
        cpus = [rng.choice((500, 1000, 2000)) for _ in counts]
        job = Job(f'{rng.getrandbits(64):016x}', counts, cpus)
        # Drawn apart, so that the seeds play the same faults as ever.
        job.deadly = random.Random(job.job_id).random() < DEADLY_SHARE
        if layout.COPIES:
            draw = random.Random(f'copies {job.job_id}').random()
            job.speculative = draw < SPECULATIVE_SHARE
        self.jobs[job.job_id] = job
        await self._submit(job)
        if job.accepted_at is None:
            return
        if rng.random() < CANCELLED_SHARE:
            await curio.sleep(rng.uniform(0.0, 1.0))
            job.cancellations.append(await self._call('DELETE', job))
        for _ in range(3):
            await curio.sleep(rng.uniform(0.1, 2.0))
            await self.query_state(job)

    async def _submit(self, job: Job) -> None:
        rng = self._rng
        steps: list[dict[str, typing.Any]] = [
            {
                'Count': count,
                'Cpu': job.cpus[number],
                'MemMb': layout.TASK_MEM_MB,
                'EstimateMs': int(job.seconds * 1000)
                or rng.choice((100, 400, 1500)),
                **({'Speculative': True} if job.speculative else {}),
                **({'Requires': job.kind} if job.kind else {}),
                **({'DependsOn': [number - 1]} if number else {}),
            }
            for number, count in enumerate(job.counts)
        ]
        duration = str(rng.choice((0.05, 0.3, 0.8, 2.0)))
        if self._cell.learning:
            for step in steps:
                step['Image'] = duration
        spec = layout.DEADLY_SPEC if job.deadly else duration
        document: dict[str, typing.Any] = {'Spec': spec, 'Steps': steps}
        if job.times:
            document.update(Times=job.times, StartMs=0, IntervalMs=1000)
            document['Spec'] = layout.SCHEDULED_SPEC
        if job.seconds:
            document['Spec'] = str(job.seconds)
        body = json.dumps(document).encode()
        for _ in range(4):
            result = await self._call('POST', job, body)
            job.submissions.append(result)
            if result.status == 200 or result.status in (400, 404):
                return
            await curio.sleep(rng.uniform(0.2, 1.0))

    async def query_state(self, job: Job) -> CallResult:
        """Query a job's state at a random host and record the result."""
        result = await self._call('GET', job)
        job.queries.append(result)
        return result

    async def _call(
        self, method: str, job: Job, body: bytes = b''
    ) -> CallResult:
        host = self._cell.hosts[self._rng.choice(list(self._cell.hosts))]
        return await call(host, method, f'/q1/{job.job_id}', job.key, body)


async def call(
    host: cells.Host, method: str, path: str, key: str, body: bytes = b''
) -> CallResult:
    """Call a host once, on a new connection, with an organisation's key."""
    sent = time.monotonic()
    incarnation = host.incarnation
    pool = client.Pool(host.ip, 18149, max_connections=1)
    status, state = NO_RESPONSE, ''
    try:
        response = await pool.call(
            method,
            path,
            body=body,
            headers={
                'host': samples.HOST,
                'authorization': f'Bearer {key}',
                'x-deadline-ms': str(int(CALLER_TIMEOUT_S * 1000)),
            },
            timeout=CALLER_TIMEOUT_S + 0.5,
        )
        status = response.status
        if method == 'GET' and status == 200:
            state = json.loads(response.content).get('State', '')
    except exceptions.NotSent:
        status = NOT_REACHED
    except exceptions.HttpError:
        pass  # the status stays NO_RESPONSE
    finally:
        await pool.close()
    return CallResult(
        sent, time.monotonic(), host.name, incarnation, status, state
    )
