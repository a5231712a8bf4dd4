"""The platform's process in a trial: a store, endpoints and a ledger.

It prints its ports as one JSON line, serves control calls over HTTP, and
appends to the ledger what its endpoints did and what was acknowledged to
them. `tests.platform.soak.oracle` checks the ledger.
"""

import collections.abc
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

LATE_START_DELAY_S = (0.5, 4.0)
FAILING_SHARE = 0.04
DEADLY_TASK = '.0.0.0'
SLOW_DELAY_S = 0.3
WATCH_INTERVAL_S = 0.1
MIN_STALL_S = 0.5


class Ledger:
    """Append events to a file, one JSON array a line."""

    def __init__(self, path: str) -> None:
        self._file = open(path, 'a', encoding='utf-8')  # noqa: SIM115

    def add(self, at: float, event: str, *fields: typing.Any) -> None:
        """Append an event; `at` is on the machine's monotonic clock."""
        self._file.write(json.dumps([at, event, *fields]) + '\n')
        self._file.flush()


class Store(standin.Store):
    """Store with one more mode: in 'slow' each response is delayed."""

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response to a call."""
        if self.mode == 'slow':
            await curio.sleep(SLOW_DELAY_S)
        return await super().handle(req)


class Endpoint(standin.Endpoint):
    """Run tasks for as long as their payload says, and record them.

    In mode 'late' a start request is handled seconds later and gets no
    response. A deadly task crashes it; it responds to nothing for a while and
    then calls `on_reboot`.
    """

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        rng: random.Random,
        on_reboot: collections.abc.Callable[[str], None],
    ) -> None:
        super().__init__(name)
        self._ledger = ledger
        self._rng = rng
        self._on_reboot = on_reboot
        self._down = False
        self._crashing = False
        self._durations: dict[tuple[str, int], float] = {}
        self._highest_runs: dict[str, int] = {}

    async def handle(self, req: messages.Request) -> messages.Response:
        """Handle a request, unless the endpoint is down.

        In mode 'late' delay a start and never respond.
        """
        late = self.mode == 'late' and req.path.endswith('run-start')
        if late:
            born = self.born
            await curio.sleep(self._rng.uniform(*LATE_START_DELAY_S))
            if born != self.born:  # what a process has read dies with it
                await curio.sleep(3600)
        if not self._down:
            response = await super().handle(req)
        if self._crashing:
            self._crashing = False
            await curio.spawn(self._reboot, daemon=True)
        if late or self._down:
            await curio.sleep(3600)
        return response

    async def _reboot(self) -> None:
        await curio.sleep(layout.CRASH_DOWN_S)
        self._down = False
        self.crash()
        self._on_reboot(self.name)

    def _start(self, body: dict[str, typing.Any]) -> messages.Response:
        key = (body['Task'], body['Run'])
        if key not in self.running and key[1] <= self._highest_runs.get(
            key[0], 0
        ):
            return self._refuse('old')
        was_running = key in self.running
        deadly = body['Spec'] == layout.DEADLY_SPEC
        self.run_s = 0.3 if deadly else float(body['Spec'])
        self._durations[key] = self.run_s
        response = super()._start(body)
        self._shorten_lease()
        if key in self.running and not was_running:
            now = time.monotonic()
            self._ledger.add(now, 'start', self.name, *key)
            if deadly and key[0].endswith(DEADLY_TASK):
                self._down = self._crashing = True
                self._end_all('crashed')
        return response

    async def _hold(self, body: dict[str, typing.Any]) -> messages.Response:
        for number, task, run, how, _ in self.ended:
            if number <= body.get('AckCursor', 0):
                self._ledger.add(time.monotonic(), 'ack', task, run, how)
        response = await super()._hold(body)
        self._shorten_lease()
        return response

    def _shorten_lease(self) -> None:
        max_lease_end = self.clock_ms() + layout.MAX_LEASE_MS
        self.lease = min(self.lease, max_lease_end)

    def _percent(self, task: str, run: int) -> int:
        left = self.running[task, run].ends_at - time.monotonic()
        run_s = max(self._durations[task, run], 0.001)
        return max(0, min(99, int(100 * (1 - left / run_s))))

    def _advance(self) -> None:
        now = time.monotonic()
        lease_end = self.started_at + self.lease / 1000
        for key, run in list(self.running.items()):
            if min(run.ends_at, lease_end) > now:
                continue
            if run.ends_at <= lease_end:
                self._end(key, _draw_outcome(*key), run.ends_at)
            else:
                self._end(key, 'lapsed', lease_end)

    def _end(
        self, key: tuple[str, int], how: str, at: float | None = None
    ) -> None:
        if key in self.running:
            at = at or time.monotonic()
            self._ledger.add(at, 'end', self.name, *key, how)
            self._highest_runs[key[0]] = max(
                self._highest_runs.get(key[0], 0), key[1]
            )
        super()._end(key, how)

    def _end_all(self, how: str) -> None:
        for key in list(self.running):
            self._end(key, how)

    def crash(self) -> None:
        """Restart as a new incarnation with the same name and no state."""
        self._advance()
        self._end_all('crashed')
        self.ended = []
        self.last_number = 0
        self.fence = 0
        self.lease = 0.0
        self._highest_runs = {}
        self.started_at = time.monotonic()
        self.born = int(time.time() * 1000)


def _draw_outcome(task: str, run: int) -> str:
    draw = zlib.crc32(f'{task}/{run}'.encode()) / 2**32
    return 'failed' if draw < FAILING_SHARE else 'done'


class Control(server.Handler):
    """Serve the control calls of the trial; each `do_` method is one."""

    def __init__(self, seed: int, path: str) -> None:
        self.ledger = Ledger(path)
        self.store = Store()
        rng = random.Random(seed)
        names = [f'e{number}' for number in range(layout.ENDPOINTS)]
        self.endpoints = {
            name: Endpoint(name, self.ledger, rng, self._list_ready)
            for name in names
        }
        self._addresses: dict[str, str] = {}
        self._sequence = 1

    async def handle(self, req: messages.Request) -> messages.Response:
        """Run the method that the call names and return its result."""
        call = json.loads(req.body)
        result = getattr(self, f'do_{call.pop("op")}')(**call)
        return messages.Response(200, {}, json.dumps(result).encode())

    def do_register(self, addresses: dict[str, str]) -> None:
        """List all endpoints, at the addresses where hosts reach them."""
        self._addresses = addresses
        for name in self.endpoints:
            self._write_entry(name, 'ready')

    def do_config(
        self, version: int, queues: list[str], keys: dict[str, list[str]]
    ) -> None:
        """Write a configuration with these queues and keys."""
        document = msgspec.json.decode(
            cell.organisations_document(version, keys)
        )
        (route,) = document['Routes']
        document['Routes'] = [
            {**route, 'Name': name, 'PathPrefix': f'/{name}/'}
            for name in queues
        ]
        self.store.put('keyed.op', 'config', msgspec.json.encode(document))

    def do_store(
        self, mode: str, unavailable: list[int] | None = None
    ) -> None:
        """Set the store's mode and the unavailable partitions of the jobs."""
        self.store.mode = mode
        self.store.unavailable = {
            ('keyed.jobs', part) for part in unavailable or []
        }

    def do_forget(self) -> None:
        """Drop the history of all topics."""
        for log in self.store.topics.values():
            log.drop_history()

    def do_endpoint(self, name: str, mode: str) -> None:
        """Set the mode of an endpoint."""
        self.endpoints[name].mode = mode

    def do_crash(self, name: str) -> None:
        """Restart an endpoint."""
        self.endpoints[name].crash()
        self._write_entry(name, 'ready')

    def do_drain(self, name: str, state: str) -> None:
        """List an endpoint with a state: 'ready' or 'draining'."""
        self._write_entry(name, state)

    def do_running(self) -> list[str]:
        """Return the names of all running tasks."""
        for endpoint in self.endpoints.values():
            endpoint._advance()
        return [
            task
            for endpoint in self.endpoints.values()
            for task, _ in endpoint.running
        ]

    def _list_ready(self, name: str) -> None:
        self._write_entry(name, 'ready')

    def _write_entry(self, name: str, state: str) -> None:
        self._sequence += 1
        entry = self.endpoints[name].entry(
            self._addresses[name], cell.SERVICE, self._sequence, state
        )
        self.store.put('keyed.servers', name, entry)


async def record_stalls(ledger: Ledger) -> None:
    """Record when this process didn't run: it then answered nobody."""
    while True:
        began = time.monotonic()
        await curio.sleep(WATCH_INTERVAL_S)
        now = time.monotonic()
        stalled = now - began - WATCH_INTERVAL_S
        if stalled >= MIN_STALL_S:
            ledger.add(now, 'stall', round(stalled, 3))


async def serve(seed: int, path: str) -> None:
    """Serve until killed."""
    control = Control(seed, path)
    await curio.spawn(record_stalls, control.ledger, daemon=True)
    handlers = {'control': control, 'store': control.store}
    handlers |= control.endpoints
    ports = {}
    for name, handler in handlers.items():
        http_server = server.Server(handler)
        ports[name] = await http_server.listen('127.0.0.1', 0)
        await curio.spawn(http_server.serve, daemon=True)
    print(json.dumps(ports), flush=True)
    await curio.sleep(layout.MAX_TRIAL_S)


if __name__ == '__main__':
    curio.run(serve(int(sys.argv[1]), sys.argv[2]))
