"""A stand-in of a worker, as the users' page on the protocol describes it."""

import dataclasses
import time

import curio
import msgspec

from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import messages
from hibiscusslip.http import server

MAX_HOLD_MS = 6000
MAX_WAIT_MS = 2000
MAX_ENDS = 500
STOP_S = 0.05
POLL_S = 0.005


@dataclasses.dataclass
class Run:
    """A run that is active on a worker."""

    ends_at: float
    how: str
    stopping: bool = False


class Worker(server.Handler):
    """Run tasks under leases; it starts whatever it is told to start.

    `plan(task, run)` returns how long a run takes and how it ends. `record`
    is called with each event. A worker keeps its name over its lives. With
    `needs_ticket` it rejects starts that carry no ticket for it.
    """

    def __init__(self, name, service, capacity, labels, plan, record):
        self.name = name
        self.service = service
        self.capacity = capacity
        self.labels = labels
        self.address = ''
        self.seq = 0
        self.up = False
        self.needs_ticket = False
        self._plan = plan
        self._record = record
        self._server = None
        self._task = None
        self.begin_life()

    def begin_life(self):
        """Forget everything, as a new process does."""
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.running = {}
        self.ended = []
        self.last_number = 0
        self.lease_ms = 0
        self.fence = 0
        self.highest = {}

    async def start(self, port=0):
        """Begin a life at a port, 0 for a free one."""
        self.begin_life()
        self._server = server.Server(self)
        port = await self._server.listen('127.0.0.1', port)
        self._task = await curio.spawn(self._server.serve, daemon=True)
        self.address = f'127.0.0.1:{port}'
        self.up = True
        self._note('up', address=self.address)
        return port

    async def crash(self):
        """End at once; all that runs here ends with it."""
        self.advance()
        self.up = False
        for task, run in self.running:
            self._note('lost', task=task, run=run)
        self.running = {}
        self._note('crashed')
        await self._task.cancel()

    def entry(self):
        """Return the worker's entry in the platform's list."""
        self.seq += 1
        return msgspec.json.encode(
            {
                'Service': self.service,
                'Addr': self.address,
                'Zone': 'z1',
                'Version': 'v1',
                'Slots': 8,
                'State': 'ready',
                'ColdLeftMs': 0,
                'Capacity': self.capacity,
                'Labels': self.labels,
                'ClockMs': self.clock_ms(),
                'Seq': self.seq,
                'born': self.born,
            }
        )

    def clock_ms(self):
        """Return the time on the worker's clock."""
        return int((time.monotonic() - self.started_at) * 1000)

    async def handle(self, req):
        """Answer a call."""
        if not self.up:
            raise http_exceptions.DropConnection('down')
        self.advance()
        if req.headers.get('x-expect-instance', self.name) != self.name:
            return _json(421)
        body = msgspec.json.decode(req.body)
        fence = body.get('Fence', 0)
        if fence < self.fence:
            return self._refuse('fence')
        self.fence = fence
        name = req.path.rpartition('/')[2]
        if name == 'run-start':
            return self._start(body)
        if name == 'run-stop':
            return self._stop(body)
        if name == 'hold':
            return await self._hold(body)
        return _json(200, {'ClockMs': self.clock_ms()})

    def _refuse(self, reason):
        return _json(409, {'ClockMs': self.clock_ms(), 'Reason': reason})

    def _extend(self, deadline_ms):
        limit = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit))

    def _start(self, body):
        task, run = body['Task'], body['Run']
        if body['DeadlineMs'] < self.clock_ms():
            return self._refuse('late')
        self._extend(body['DeadlineMs'])
        if (task, run) in self.running:
            return _json(200, {'ClockMs': self.clock_ms()})
        if run <= self.highest.get(task, 0):
            return self._refuse('old')
        if self.needs_ticket and not self._admits(task, body):
            return self._refuse('ticket')
        seconds, how = self._plan(task, run)
        self.running[task, run] = Run(time.monotonic() + seconds, how)
        self._note('start', task=task, run=run, fence=body['Fence'])
        return _json(200, {'ClockMs': self.clock_ms()})

    def _admits(self, task, body):
        step = task.rpartition('.')[0]
        return body.get('Ticket', '') == f'{step}@{self.name}'

    def _stop(self, body):
        task, run = body['Task'], body['Run']
        self.highest[task] = max(self.highest.get(task, 0), run)
        active = self.running.get((task, run))
        if active is not None and not active.stopping:
            active.stopping = True
            active.how = 'stopped'
            active.ends_at = min(active.ends_at, time.monotonic() + STOP_S)
        return _json(200, {'ClockMs': self.clock_ms()})

    async def _hold(self, body):
        self._extend(body.get('DeadlineMs', 0))
        cursor = body.get('AckCursor', 0)
        for number, task, run, how, _ in self.ended:
            if number <= cursor:
                self._note('noted', task=task, run=run, how=how)
        self.ended = [row for row in self.ended if row[0] > cursor]
        wait_ms = min(body.get('WaitMs', 0), MAX_WAIT_MS)
        give_up_at = time.monotonic() + wait_ms / 1000
        while not self.ended and time.monotonic() < give_up_at and self.up:
            await curio.sleep(POLL_S)
            self.advance()
        running = [
            [task, run, '', self._percent(task, run), 0]
            for task, run in self.running
        ]
        return _json(
            200,
            {
                'ClockMs': self.clock_ms(),
                'Running': running,
                'Ended': self.ended[:MAX_ENDS],
                'born': self.born,
            },
        )

    def _percent(self, task, run):
        # It changes with each report, as that of a run that makes progress.
        left = self.running[task, run].ends_at - time.monotonic()
        return max(0, min(99, int(100 - 5 * left)))

    def advance(self):
        """End the runs that are done or whose lease has expired."""
        now = time.monotonic()
        lease_end = self.started_at + self.lease_ms / 1000
        for key, run in list(self.running.items()):
            if min(run.ends_at, lease_end) > now:
                continue
            how = run.how if run.ends_at <= lease_end else 'lapsed'
            del self.running[key]
            task, number = key
            self.highest[task] = max(self.highest.get(task, 0), number)
            self.last_number += 1
            self.ended.append([self.last_number, task, number, how, ''])
            self._note('end', task=task, run=number, how=how)

    def _note(self, event, **fields):
        self._record(event, worker=self.name, **fields)


def _json(status, body=None):
    data = b'' if body is None else msgspec.json.encode(body)
    headers = {'content-type': 'application/json'}
    return messages.Response(status, headers, data)
