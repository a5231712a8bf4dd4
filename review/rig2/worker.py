"""A worker as the users' pages describe it, behind an HTTP server."""

import dataclasses
import time

import curio
import msgspec

from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import messages
from hibiscusslip.http import server

MAX_HOLD_MS = 6000
ENDS_AT_A_TIME = 500
STOP_S = 0.05
POLL_S = 0.005
CHECKPOINT_S = 2.0


@dataclasses.dataclass
class Run:
    """One run of a task; times are on the steady clock, in seconds."""

    task: str
    run: int
    started_at: float
    ends_at: float
    ended_at: float | None = None
    how: str = ''
    noted_at: float | None = None
    life: int = 0
    worker: str = ''


class Recorder:
    """Write lines with the time since its creation to the record."""

    def __init__(self, path):
        self._began = time.monotonic()
        self._file = open(path, 'w', encoding='utf-8')  # noqa: SIM115

    def note(self, *words):
        """Write one line."""
        at = time.monotonic() - self._began
        print(f'{at:9.3f}', *words, file=self._file, flush=True)

    def since_start(self, at):
        """Return a reading of the steady clock relative to the first one."""
        return at - self._began


class Worker(server.Handler):
    """Run tasks under leases; it starts whatever it is told to start.

    `runs` are all runs of all its lives. `answer_late` is called with each
    start and returns how long it is to stay unanswered before it is carried
    out, 0 for an ordinary answer. With `lasting_s` runs whose Spec is 'lasts'
    take that long, in seconds.
    """

    def __init__(self, ident, zone, run_s, recorder, capacity, checkpoints):
        self.ident = ident
        self.zone = zone
        self.run_s = run_s
        self.recorder = recorder
        self.capacity = capacity
        self.checkpoints = checkpoints
        self.address = ''
        self.service = 'svc-one'
        self.up = False
        self.runs = []
        self.life = 0
        self.log_starts = True
        self.lasting_s = None
        self.answer_late = lambda body: 0.0
        self._server = None
        self._begin_life()

    def _begin_life(self):
        """Forget everything, as a new incarnation does."""
        self.life += 1
        self.seq = 0
        self.fence = 0
        self.lease_ms = 0
        self.last_number = 0
        self.running = {}
        self.ended = []
        self.highest_ended = {}
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)

    async def start(self, ip='127.0.0.1', port=0):
        """Listen, by default at a new port."""
        self._server = server.Server(self)
        bound = await self._server.listen(ip, port)
        self.address = f'{ip}:{bound}'
        self.up = True
        await curio.spawn(self._server.serve, daemon=True)
        await curio.spawn(self._expire, self.life, daemon=True)
        self.recorder.note(self.ident, 'life', self.life, 'at', self.address)

    async def crash(self):
        """End at once; all that runs there is gone."""
        self.up = False
        now = time.monotonic()
        for run in self.running.values():
            run.ended_at, run.how = now, 'crash'
        self.recorder.note(self.ident, 'crashes with', len(self.running))
        self.running = {}
        await self._server.drain(0.0)

    async def restart(self, ip='127.0.0.1', port=0):
        """Start again under the same id; it knows nothing of before."""
        self._begin_life()
        await self.start(ip, port)

    def entry(self, service, state='ready'):
        """Return the next entry for the platform's list of workers."""
        self.seq += 1
        cpu, mem_mb, gpu = self.capacity
        return msgspec.json.encode(
            {
                'Service': service,
                'Addr': self.address,
                'Zone': self.zone,
                'Version': 'v1',
                'Slots': 8,
                'State': state,
                'ColdLeftMs': 0,
                'Capacity': {'Cpu': cpu, 'MemMb': mem_mb, 'Gpu': gpu},
                'Labels': ['a', 'rack-1'],
                'ClockMs': self.clock_ms(),
                'Seq': self.seq,
                'born': self.born,
            }
        )

    def clock_ms(self):
        """Return the worker's steady clock, which begins with each life."""
        return int((time.monotonic() - self.began) * 1000)

    async def _expire(self, life):
        while self.up and self.life == life:
            self._advance()
            await curio.sleep(POLL_S)

    async def handle(self, req):
        """Answer one order."""
        if not self.up:
            raise http_exceptions.DropConnection('down')
        if req.headers.get('x-expect-instance') != self.ident:
            return respond(421, {'ClockMs': self.clock_ms()})
        body = msgspec.json.decode(req.body)
        if req.path == '/v1/run-start':
            delay = self.answer_late(body)
            if delay:
                await curio.spawn(self._carry_out, body, delay, daemon=True)
                await curio.sleep(3600)
        return await self._obey(req.path, body)

    async def _carry_out(self, body, delay):
        """Carry out a start that got no answer, seconds later."""
        self.recorder.note(
            self.ident, 'leaves unanswered', body['Task'], body['Run']
        )
        await curio.sleep(delay)
        if self.up:  # it may be another life under the same id
            response = await self._obey('/v1/run-start', body)
            self.recorder.note(
                self.ident,
                'carries out late',
                body['Task'],
                body['Run'],
                response.status,
                response.body.decode(),
            )

    async def _obey(self, path, body):
        self._advance()
        if body.get('Fence', 0) < self.fence:
            return self._refuse('fence')
        self.fence = body.get('Fence', 0)
        if path == '/v1/run-start':
            return self._start(body)
        if path == '/v1/run-stop':
            return self._stop(body)
        if path == '/v1/hold':
            return await self._hold(body)
        return respond(200, {'ClockMs': self.clock_ms()})

    def _refuse(self, reason):
        return respond(409, {'ClockMs': self.clock_ms(), 'Reason': reason})

    def _extend(self, body):
        asked = body.get('DeadlineMs', 0)
        longest = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(asked, longest))

    def _start(self, body):
        task, run = body['Task'], body['Run']
        if body['DeadlineMs'] < self.clock_ms():
            return self._refuse('late')
        self._extend(body)
        if run <= self.highest_ended.get(task, 0):
            return self._refuse('old')
        if (task, run) not in self.running:
            now = time.monotonic()
            lasts = self.lasting_s is not None and body['Spec'] == 'lasts'
            entry = Run(
                task,
                run,
                now,
                now + (self.lasting_s if lasts else self.run_s),
                life=self.life,
                worker=self.ident,
            )
            self.running[task, run] = entry
            self.runs.append(entry)
            if self.log_starts:
                self.recorder.note(self.ident, 'starts', task, run)
        return respond(200, {'ClockMs': self.clock_ms()})

    def _stop(self, body):
        task, run = body['Task'], body['Run']
        known = self.highest_ended.get(task, 0)
        self.highest_ended[task] = max(known, run)
        if (task, run) in self.running:
            self._end(task, run, 'stopped')
        return respond(200, {'ClockMs': self.clock_ms()})

    async def _hold(self, body):
        self._extend(body)
        cursor = body.get('AckCursor', 0)
        now = time.monotonic()
        for number, run in self.ended:
            if number <= cursor:
                run.noted_at = now
        self.ended = [row for row in self.ended if row[0] > cursor]
        life = self.life
        give_up_at = now + body.get('WaitMs', 0) / 1000
        while not self.ended and time.monotonic() < give_up_at:
            await curio.sleep(POLL_S)
        if not self.up or life != self.life:
            raise http_exceptions.DropConnection('down')
        self._advance()
        running = [
            [r.task, r.run, self._saved(r), self._percent(r), 0]
            for r in self.running.values()
        ]
        ended = [
            [number, r.task, r.run, r.how, self._saved(r, r.ended_at)]
            for number, r in self.ended[:ENDS_AT_A_TIME]
        ]
        return respond(
            200,
            {
                'ClockMs': self.clock_ms(),
                'Running': running,
                'Ended': ended,
                'born': self.born,
            },
        )

    def _saved(self, run, at=None):
        """Return the newest checkpoint, 16 characters, '' for none."""
        if not self.checkpoints:
            return ''
        at = time.monotonic() if at is None else at
        count = int((at - run.started_at) / CHECKPOINT_S)
        digest = hash((run.task, run.run, count)) & (2**64 - 1)
        return f'{digest:016x}' if count else ''

    def _percent(self, run):
        done = time.monotonic() - run.started_at
        whole = max(run.ends_at - run.started_at, 0.001)
        return max(0, min(99, int(100 * done / whole)))

    def _advance(self):
        """End the runs that are due.

        They end in the order of their starts, if none lasts longer.
        """
        now = time.monotonic()
        lapsed = self.clock_ms() > self.lease_ms
        for task, run in list(self.running) if lapsed else self._first():
            if self.running[task, run].ends_at <= now:
                self._end(task, run, 'done')
            elif lapsed:
                self._end(task, run, 'lapsed')

    def _first(self):
        """Yield the runs that may be due, while they are."""
        now = time.monotonic()
        for key, run in list(self.running.items()):
            if run.ends_at <= now:
                yield key
            elif self.lasting_s is None:
                return

    def _end(self, task, run, how):
        entry = self.running.pop((task, run))
        entry.ended_at, entry.how = time.monotonic(), how
        known = self.highest_ended.get(task, 0)
        self.highest_ended[task] = max(known, run)
        self.last_number += 1
        self.ended.append((self.last_number, entry))
        if self.log_starts:
            self.recorder.note(self.ident, 'ends', task, run, how)


def respond(status, body=None):
    """Return a JSON response."""
    data = b'' if body is None else msgspec.json.encode(body)
    return messages.Response(
        status, {'content-type': 'application/json'}, data
    )
