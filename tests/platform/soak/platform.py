"""Be the platform of one trial: a process of its own that keeps a ledger.

It prints its ports as one JSON line, takes control calls over HTTP, and
appends to the ledger what its endpoints were told and did. What is judged is
in `tests.platform.soak.oracle`.
"""

import json
import random
import sys
import time
import typing
import zlib

import curio
import msgspec

from hibiscusslip.http import messages
from hibiscusslip.http import server
from tests.platform import cell
from tests.platform import standin
from tests.platform.soak import layout

LATE_S = (0.5, 4.0)
FAILING_SHARE = 0.04
SLOW_S = 0.3


class Ledger:
    """Append what happened to a file, one JSON array a line."""

    def __init__(self, path: str) -> None:
        self._file = open(path, 'a', encoding='utf-8')  # noqa: SIM115

    def add(self, at: float, event: str, *fields: typing.Any) -> None:
        """Add an event; `at` is on the machine's monotonic clock."""
        self._file.write(json.dumps([at, event, *fields]) + '\n')
        self._file.flush()


class Store(standin.Store):
    """Be slow besides."""

    async def handle(self, req: messages.Request) -> messages.Response:
        """Serve a call."""
        if self.mode == 'slow':
            await curio.sleep(SLOW_S)
        return await super().handle(req)


class Endpoint(standin.Endpoint):
    """Run tasks for as long as their payload says, and tell the ledger.

    In mode 'late' a start is carried out seconds later and never answered.
    """

    def __init__(self, name: str, ledger: Ledger, rng: random.Random) -> None:
        super().__init__(name)
        self._ledger = ledger
        self._rng = rng
        self._takes: dict[tuple[str, int], float] = {}
        self._highest: dict[str, int] = {}

    async def handle(self, req: messages.Request) -> messages.Response:
        """Carry an order out, late or not at all in some modes."""
        late = self.mode == 'late' and req.path.endswith('run-start')
        if late:
            await curio.sleep(self._rng.uniform(*LATE_S))
        response = await super().handle(req)
        if late:
            await curio.sleep(3600)
        return response

    def _start(self, body: dict[str, typing.Any]) -> messages.Response:
        key = (body['Task'], body['Run'])
        if key not in self.running and key[1] <= self._highest.get(key[0], 0):
            return self._refuse('old')
        known = key in self.running
        self.run_s = self._takes[key] = float(body['Spec'])
        response = super()._start(body)
        self._shorten_lease()
        if key in self.running and not known:
            now = time.monotonic()
            self._ledger.add(now, 'start', self.name, *key)
        return response

    async def _hold(self, body: dict[str, typing.Any]) -> messages.Response:
        for number, task, run, how, _ in self.ended:
            if number <= body.get('AckCursor', 0):
                self._ledger.add(time.monotonic(), 'ack', task, run, how)
        response = await super()._hold(body)
        self._shorten_lease()
        return response

    def _shorten_lease(self) -> None:
        most = self.clock_ms() + layout.MOST_LEASE_MS
        self.lease = min(self.lease, most)

    def _percent(self, task: str, run: int) -> int:
        left = self.running[task, run].until - time.monotonic()
        whole = max(self._takes[task, run], 0.001)
        return max(0, min(99, int(100 * (1 - left / whole))))

    def _advance(self) -> None:
        now = time.monotonic()
        lease_end = self.began + self.lease / 1000
        for key, run in list(self.running.items()):
            if min(run.until, lease_end) > now:
                continue
            if run.until <= lease_end:
                self._end(key, _fate(*key), run.until)
            else:
                self._end(key, 'lapsed', lease_end)

    def _end(
        self, key: tuple[str, int], how: str, at: float | None = None
    ) -> None:
        if key in self.running:
            at = at or time.monotonic()
            self._ledger.add(at, 'end', self.name, *key, how)
            self._highest[key[0]] = max(self._highest.get(key[0], 0), key[1])
        super()._end(key, how)

    def crash(self) -> None:
        """Lose everything and come back under the same name."""
        self._advance()
        for key in list(self.running):
            self._end(key, 'crashed')
        self.ended = []
        self.number = 0
        self.fence = 0
        self.lease = 0.0
        self._highest = {}
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)


def _fate(task: str, run: int) -> str:
    luck = zlib.crc32(f'{task}/{run}'.encode()) / 2**32
    return 'failed' if luck < FAILING_SHARE else 'done'


class Control(server.Handler):
    """Do what the trial asks for."""

    def __init__(self, seed: int, path: str) -> None:
        self.ledger = Ledger(path)
        self.store = Store()
        rng = random.Random(seed)
        names = [f'e{number}' for number in range(layout.ENDPOINTS)]
        self.endpoints = {n: Endpoint(n, self.ledger, rng) for n in names}
        self._addresses: dict[str, str] = {}
        self._sequence = 1

    async def handle(self, req: messages.Request) -> messages.Response:
        """Carry out one control call."""
        call = json.loads(req.body)
        result = getattr(self, f'do_{call.pop("op")}')(**call)
        return messages.Response(200, {}, json.dumps(result).encode())

    def do_register(self, addresses: dict[str, str]) -> None:
        """List all endpoints, at the addresses where hosts reach them."""
        self._addresses = addresses
        for name in self.endpoints:
            self._list(name, 'ready')

    def do_config(self, version: int, queues: list[str]) -> None:
        """Write a configuration with these queues."""
        document = msgspec.json.decode(cell.config_document(version))
        (route,) = document['Routes']
        document['Routes'] = [
            {**route, 'Name': name, 'PathPrefix': f'/{name}/'}
            for name in queues
        ]
        self.store.put('keyed.op', 'config', msgspec.json.encode(document))

    def do_store(self, mode: str, away: list[int] | None = None) -> None:
        """Have the store misbehave, or some partitions of the progress."""
        self.store.mode = mode
        self.store.away = {('keyed.jobs', part) for part in away or []}

    def do_forget(self) -> None:
        """Drop the history of all topics."""
        for log in self.store.topics.values():
            log.drop_history()

    def do_endpoint(self, name: str, mode: str) -> None:
        """Have an endpoint misbehave."""
        self.endpoints[name].mode = mode

    def do_crash(self, name: str) -> None:
        """Restart an endpoint."""
        self.endpoints[name].crash()
        self._list(name, 'ready')

    def do_drain(self, name: str, state: str) -> None:
        """Have an endpoint say that it leaves, or that it stays."""
        self._list(name, state)

    def do_running(self) -> list[str]:
        """Return the names of all tasks that run."""
        for endpoint in self.endpoints.values():
            endpoint._advance()
        return [
            task
            for endpoint in self.endpoints.values()
            for task, _ in endpoint.running
        ]

    def _list(self, name: str, state: str) -> None:
        self._sequence += 1
        entry = self.endpoints[name].entry(
            self._addresses[name], cell.SERVICE, self._sequence, state
        )
        self.store.put('keyed.servers', name, entry)


async def serve(seed: int, path: str) -> None:
    """Serve until killed."""
    control = Control(seed, path)
    handlers = {'control': control, 'store': control.store}
    handlers |= control.endpoints
    ports = {}
    for name, handler in handlers.items():
        serving = server.Server(handler)
        ports[name] = await serving.listen('127.0.0.1', 0)
        await curio.spawn(serving.serve, daemon=True)
    print(json.dumps(ports), flush=True)
    await curio.sleep(layout.LONGEST_TRIAL_S)


if __name__ == '__main__':
    curio.run(serve(int(sys.argv[1]), sys.argv[2]))
