"""The platform's process in a trial: a store, endpoints and a ledger.

It prints its ports as one JSON line, serves control calls over HTTP, and
appends to the ledger what its endpoints did and what was acknowledged to
them. `tests.platform.soak.oracle` checks the ledger.
"""

import json
import random
import sys
import time

import curio
import msgspec

from hibiscusslip.http import messages
from hibiscusslip.http import server
from tests.platform import cell
from tests.platform import standin
from tests.platform import test_odd_entries
from tests.platform.soak import endpoint
from tests.platform.soak import layout

SLOW_DELAY_S = 0.3
WATCH_INTERVAL_S = 0.1
MIN_STALL_S = 0.5


class Store(standin.Store):
    """Store with one more mode: in 'slow' each response is delayed."""

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response to a call."""
        if self.mode == 'slow':
            await curio.sleep(SLOW_DELAY_S)
        return await super().handle(req)


class Control(server.Handler):
    """Serve the control calls of the trial; each `do_` method is one."""

    def __init__(self, seed: int, path: str) -> None:
        self.ledger = endpoint.Ledger(path)
        self.store = Store()
        rng = random.Random(seed)
        self.endpoints = {
            f'e{number}': endpoint.Endpoint(
                number, self.ledger, rng, self._list_ready
            )
            for number in range(layout.ENDPOINTS)
        }
        self._addresses: dict[str, str] = {}
        self._restarted: list[tuple[float, str]] = []
        self._sequence = 1
        self._unavailable_jobs: set[tuple[str, int]] = set()
        self._hidden: set[tuple[str, int]] = set()

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
        """Write a configuration with these queues and keys.

        Its version selects the limits of the organisations.
        """
        document = msgspec.json.decode(
            cell.organisations_document(version, keys)
        )
        (route,) = document['Routes']
        document['Routes'] = [
            {**route, 'Name': name, 'PathPrefix': f'/{name}/'}
            for name in queues
        ]
        for entry in document['Tenants']:
            cpu, memory = layout.LIMITS[version][entry['Name']]
            entry['AtMost'] = {'Cpu': cpu, 'MemMb': memory}
            entry['Weight'] = layout.WEIGHTS[entry['Name']]
        self.store.put('keyed.op', 'config', msgspec.json.encode(document))

    def do_store(
        self, mode: str, unavailable: list[int] | None = None
    ) -> None:
        """Set the store's mode and the unavailable partitions of the jobs."""
        self.store.mode = mode
        self._unavailable_jobs = {
            ('keyed.jobs', part) for part in unavailable or []
        }
        self._set_unavailable()

    def do_hide_config(self, hidden: bool) -> None:
        """Set whether the partition of the configuration is unavailable."""
        self._hidden = {('keyed.op', 0)} if hidden else set()
        self._set_unavailable()

    def _set_unavailable(self) -> None:
        self.store.unavailable = self._unavailable_jobs | self._hidden

    def do_odd_entries(self) -> None:
        """List entries that name no endpoint, as another writer does."""
        for number, value in enumerate(test_odd_entries.REFUSED):
            self.store.put('keyed.servers', f'odd-{number}', value)

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
        self._list_ready(name)

    def do_drain(self, name: str, state: str) -> None:
        """List an endpoint with a state: 'ready' or 'draining'."""
        self._write_entry(name, state)

    def do_running(self) -> list[str]:
        """Return the names of all running tasks."""
        for item in self.endpoints.values():
            item._advance()
        return [
            task
            for item in self.endpoints.values()
            for task, _ in item.running
        ]

    def _list_ready(self, name: str) -> None:
        """List an endpoint that has restarted, a little later."""
        self._restarted.append((time.monotonic() + layout.ENTRY_LAG_S, name))

    async def list_restarted(self) -> None:
        """Write the entries of restarted endpoints until cancelled."""
        while True:
            await curio.sleep(WATCH_INTERVAL_S)
            while self._restarted and self._restarted[0][0] < time.monotonic():
                self._write_entry(self._restarted.pop(0)[1], 'ready')

    def _write_entry(self, name: str, state: str) -> None:
        self._sequence += 1
        entry = self.endpoints[name].entry(
            self._addresses[name], cell.SERVICE, self._sequence, state
        )
        self.store.put('keyed.servers', name, entry)


async def record_stalls(ledger: endpoint.Ledger) -> None:
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
    await curio.spawn(control.list_restarted, daemon=True)
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
