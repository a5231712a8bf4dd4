"""Lose the owner and an endpoint at once, while nothing else is wrong.

Runs on the endpoint may be at work behind a partition, so they are given up
only when their leases have ended; how late that is shows here.
"""

import json
import math
import signal
import time
import typing

import curio

from tests.platform.soak import callers
from tests.platform.soak import cell as cells
from tests.platform.soak import faults
from tests.platform.soak import oracle
from tests.platform.soak import proxy

SEEDS = 3  # of so many seeds one has this loss
CALM_S = 13.0  # before it, in which no late start is left
OWNER_DOWN_S = 1.0
LASTS_S = 20.0
TASKS = 8
TASK_S = 10.0
START_S = 2.0  # until they are at work
MAX_WAIT_S = 11.0  # until the first lost task is started again
CLAIMED = '"event":"owner_won"'


class OwnerLoss:
    """Lose owner and endpoint once in some trials, after all other faults."""

    def __init__(
        self, cell: cells.Cell, calls: callers.Callers, seed: int
    ) -> None:
        self._cell = cell
        self._callers = calls
        self._is_due = seed % SEEDS == 0
        self._endpoint = ''
        self._at = 0.0  # of the loss, on the monotonic clock

    async def run(self) -> None:
        """Lose both; return when they are back."""
        if not self._is_due:
            return
        for wait in faults.heal(self._cell):
            await wait
        await curio.sleep(CALM_S)
        await self._callers.submit_long(TASKS, TASK_S)
        await curio.sleep(START_S)
        self._endpoint = self._busiest_endpoint()
        owner = self._find_owner()
        if not self._endpoint or owner is None:
            return
        self._at = time.monotonic()
        owner.send_signal(signal.SIGKILL)
        endpoint_proxy = self._cell.endpoints[self._endpoint]
        await endpoint_proxy.set_mode('silent')
        # What it ended but couldn't tell would look like a second start.
        await self._cell.control('crash', name=self._endpoint)
        await curio.sleep(OWNER_DOWN_S)
        owner.start(self._cell.bug)
        await curio.sleep(LASTS_S - OWNER_DOWN_S)
        await endpoint_proxy.set_mode(proxy.PASS)

    def _busiest_endpoint(self) -> str:
        rows = oracle.read_ledger(self._cell.ledger)
        active = _active(rows, time.monotonic())
        counts = {name: 0 for name, _ in active}
        for name, _ in active:
            counts[name] += 1
        return max(counts, key=lambda name: counts[name], default='')

    def _find_owner(self) -> cells.Host | None:
        """Return the host with the newest claim in its log."""
        newest, owner = 0, None
        for host in self._cell.hosts.values():
            for line in host.log.read_text(errors='replace').splitlines():
                if CLAIMED in line and json.loads(line)['epoch'] > newest:
                    newest, owner = json.loads(line)['epoch'], host
        return owner

    def wait_s(self, rows: list[list[typing.Any]]) -> float | None:
        """Return when the first lost task was started again, in s.

        None if no task was lost, infinity if none was started again.
        """
        lost = {
            task
            for name, task in _active(rows, self._at)
            if name == self._endpoint
        }
        if not lost:
            return None
        starts = [
            round(row[0] - self._at, 1)
            for row in rows
            if row[1] == 'start' and row[3] in lost and row[0] > self._at
        ]
        return min(starts, default=math.inf)

    def check(self, rows: list[list[typing.Any]]) -> list[str]:
        """Return a violation if no lost task was started again in time."""
        wait = self.wait_s(rows)
        if wait is None or wait <= MAX_WAIT_S:
            return []
        return [f'{self._at:.3f} LOST: no task restarted for {wait} s']


def _active(rows: list[list[typing.Any]], at: float) -> set[tuple[str, str]]:
    """Return the endpoints and tasks of the runs that are active then."""
    active = set()
    for row_at, event, *fields in rows:
        if row_at > at:
            break
        if event == 'start':
            active.add((fields[0], fields[1]))
        elif event == 'end':
            active.discard((fields[0], fields[1]))
    return active
