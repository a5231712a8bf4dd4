"""Run one worker as a process of its own, as the users' pages describe it.

A task works for as many seconds as its `Spec` says; one whose `Spec` is
`lasts` runs until it is stopped. The process appends each start and each end
of a run to the ledger, one JSON array a line: the monotonic time, `start` or
`end`, the worker, the task, the run and how it ended.
"""

import json
import sys
import time

import curio
import msgspec

from hibiscusslip.http import client
from hibiscusslip.http import server
from tests.platform import standin

HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
TICK_S = 0.01
LASTS = 'lasts'
MAX_LIFE_S = 150.0


class Worker(server.Handler):
    """Run tasks under a lease."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.name = cfg['name']
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.fence = 0
        self.lease_ms = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.numbers = 0
        self.ledger = open(cfg['ledger'], 'a', encoding='utf-8')  # noqa: SIM115

    def clock_ms(self):
        """Return the time on the worker's own clock."""
        return int((time.monotonic() - self.started_at) * 1000)

    def entry(self, address):
        """Return the worker's report about itself."""
        self.seq += 1
        return {
            'Service': self.cfg['service'],
            'Addr': address,
            'Zone': self.cfg['zone'],
            'Version': 'v1',
            'Slots': 8,
            'State': 'ready',
            'ColdLeftMs': 0,
            'Capacity': {'Cpu': 32000, 'MemMb': 131072, 'Gpu': 0},
            'Labels': ['a', self.cfg['rack']],
            'ClockMs': self.clock_ms(),
            'Seq': self.seq,
            'born': self.born,
        }

    def note(self, *fields):
        """Append an event to the ledger."""
        row = [round(time.monotonic(), 3), *fields]
        self.ledger.write(json.dumps(row) + '\n')
        self.ledger.flush()

    async def handle(self, req):
        """Return the response to a call of the system."""
        self.advance()
        if req.headers.get('x-expect-instance') != self.name:
            return standin.json_response(421)
        body = msgspec.json.decode(req.body)
        fence = body.get('Fence', 0)
        if fence < self.fence:
            return self.refuse('fence')
        self.fence = fence
        name = req.path.rpartition('/')[2]
        if name == 'run-start':
            return self.start(body)
        if name == 'run-stop':
            key = (body['Task'], body['Run'])
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            self.end(key, 'stopped')
        elif name == 'hold':
            return await self.hold(body)
        return standin.json_response(200, {'ClockMs': self.clock_ms()})

    def refuse(self, reason):
        """Return a 409."""
        body = {'ClockMs': self.clock_ms(), 'Reason': reason}
        return standin.json_response(409, body)

    def extend(self, deadline_ms):
        """Extend the lease of all runs; it never shortens."""
        longest = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    def start(self, body):
        """Start a run, unless it is late or old."""
        task, run = body['Task'], body['Run']
        if body['DeadlineMs'] < self.clock_ms():
            return self.refuse('late')
        self.extend(body['DeadlineMs'])
        if (task, run) not in self.running:
            if run <= self.highest.get(task, 0):
                return self.refuse('old')
            self.running[task, run] = (time.monotonic(), body['Spec'])
            self.note('start', self.name, task, run, '')
        return standin.json_response(200, {'ClockMs': self.clock_ms()})

    async def hold(self, body):
        """Extend the lease; report the runs, at the latest after WaitMs."""
        self.extend(body.get('DeadlineMs', 0))
        cursor = body.get('AckCursor', 0)
        self.ended = [row for row in self.ended if row[0] > cursor]
        give_up_at = time.monotonic() + body.get('WaitMs', 0) / 1000
        while not self.ended and time.monotonic() < give_up_at:
            await curio.sleep(TICK_S)
            self.advance()
        rows = [
            [task, run, '', self.percent(*work), 0]
            for (task, run), work in self.running.items()
        ]
        return standin.json_response(
            200,
            {
                'ClockMs': self.clock_ms(),
                'Running': rows,
                'Ended': self.ended[:500],
                'born': self.born,
            },
        )

    def percent(self, began, spec):
        """Return how much of a run is done; a lasting one is at work."""
        if spec == LASTS:
            return 100
        return min(99, int(100 * (time.monotonic() - began) / float(spec)))

    def advance(self):
        """End the runs that are done, or whose lease has expired."""
        now = time.monotonic()
        lapsed = self.clock_ms() > self.lease_ms
        for key, (began, spec) in list(self.running.items()):
            if spec != LASTS and now >= began + float(spec):
                self.end(key, 'done')
            elif lapsed:
                self.end(key, 'lapsed')

    def end(self, key, how):
        """End a run if it is there."""
        if self.running.pop(key, None) is None:
            return
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.numbers += 1
        self.ended.append([self.numbers, *key, how, ''])
        self.note('end', self.name, *key, how)

    async def tick(self):
        """Advance the runs until cancelled."""
        while True:
            await curio.sleep(TICK_S)
            self.advance()


async def beat(worker, address, store_port):
    """Write the worker's entry every heartbeat interval."""
    pool = client.Pool('127.0.0.1', store_port)
    while True:
        body = {'name': worker.name, 'entry': worker.entry(address)}
        await pool.call(
            'POST', '/beat', body=msgspec.json.encode(body), timeout=1.0
        )
        await curio.sleep(HEARTBEAT_S)


async def serve(cfg):
    """Serve until killed."""
    worker = Worker(cfg)
    http_server = server.Server(worker)
    await http_server.listen('127.0.0.1', cfg['port'])
    await curio.spawn(http_server.serve, daemon=True)
    await curio.spawn(worker.tick, daemon=True)
    address = f'127.0.0.1:{cfg["port"]}'
    await curio.spawn(beat, worker, address, cfg['store'], daemon=True)
    await curio.sleep(MAX_LIFE_S)


if __name__ == '__main__':
    curio.run(serve(json.loads(sys.argv[1])))
