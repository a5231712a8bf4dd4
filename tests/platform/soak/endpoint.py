"""Run tasks as an endpoint does, with injected faults, and record them."""

import collections.abc
import json
import random
import time
import typing
import zlib

import curio
import msgspec

from hibiscusslip.http import messages
from tests.platform import standin
from tests.platform.soak import layout

LATE_START_DELAY_S = (0.5, 4.0)
FAILING_SHARE = 0.04
DEADLY_TASK = '.0.0.0'


class Ledger:
    """Append events to a file, one JSON array a line."""

    def __init__(self, path: str) -> None:
        self._file = open(path, 'a', encoding='utf-8')  # noqa: SIM115

    def add(self, at: float, event: str, *fields: typing.Any) -> None:
        """Append an event; `at` is on the machine's monotonic clock."""
        self._file.write(json.dumps([at, event, *fields]) + '\n')
        self._file.flush()


class Endpoint(standin.Endpoint):
    """Run tasks for as long as their payload says at speed 1; record them.

    In mode 'late' a start request is handled seconds later and gets no
    response. A deadly task crashes it; it responds to nothing for a while and
    then calls `on_reboot`.
    """

    page_ends = layout.MAX_LISTED_ENDS

    def __init__(
        self,
        number: int,
        ledger: Ledger,
        rng: random.Random,
        on_reboot: collections.abc.Callable[[str], None],
    ) -> None:
        super().__init__(f'e{number}')
        self._ledger = ledger
        self._rng = rng
        self._on_reboot = on_reboot
        self._cpu = layout.ENDPOINT_CPU[number]
        self._speed = layout.ENDPOINT_SPEEDS[number]
        self._down = False
        self._crashing = False
        self._durations: dict[tuple[str, int], float] = {}
        self._highest_runs: dict[str, int] = {}
        self._kinds = layout.ENDPOINT_KINDS[number]
        self._restarts = 0
        self._record_kind()

    def entry(self, *args: typing.Any) -> bytes:
        """Return the endpoint's entry, with its capacity and machine kind."""
        entry = msgspec.json.decode(super().entry(*args))
        entry['Capacity']['Cpu'] = self._cpu
        entry['Labels'] = [f'speed-{self._speed}', 'r1', self._kind]
        return msgspec.json.encode(entry)

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
        duration = 0.3 if deadly else float(body['Spec'])
        self.run_s = duration / self._speed
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
        self._restarts += 1
        self._record_kind()

    @property
    def _kind(self) -> str:
        return self._kinds[self._restarts % len(self._kinds)]

    def _record_kind(self) -> None:
        self._ledger.add(time.monotonic(), 'kind', self.name, self._kind)


def _draw_outcome(task: str, run: int) -> str:
    draw = zlib.crc32(f'{task}/{run}'.encode()) / 2**32
    return 'failed' if draw < FAILING_SHARE else 'done'
