"""Harm a cell by a seed: several things at a time, some of them twice."""

import dataclasses
import random
import signal
import time
import typing

import curio

from tests.platform.soak import cell as cells
from tests.platform.soak import layout
from tests.platform.soak import proxy

MOST_FAULTS = 9
RESTART_S = (0.1, 1.5)
LASTS_S = (0.5, 5.0)


@dataclasses.dataclass(frozen=True)
class Fault:
    """Hold one fault of a plan; times are seconds from its start."""

    at: float
    kind: str
    target: str
    lasts: float


@dataclasses.dataclass(frozen=True)
class Done:
    """Hold a fault that was done, on the monotonic clock."""

    fault: Fault
    began: float
    ended: float


HOST_KINDS = (
    'kill',
    'term',
    'freeze',
    'hup',
    'clock',
    'store_silent',
    'store_reset',
    'store_slow',
    'store_one_way',
)
ENDPOINT_KINDS = (
    'endpoint_silent',
    'endpoint_reset',
    'endpoint_slow',
    'endpoint_deaf',
    'endpoint_late',
    'endpoint_crash',
    'endpoint_drain',
)
STORE_KINDS = (
    'all_refuse',
    'all_silent',
    'all_lost',
    'all_slow',
    'all_forget',
    'some_parts',
    'kill_all',
)


def plan(rng: random.Random) -> list[Fault]:
    """Draw the faults of one trial."""
    found = []
    for _ in range(rng.randint(4, MOST_FAULTS)):
        group = rng.choice(
            (HOST_KINDS, HOST_KINDS, ENDPOINT_KINDS, STORE_KINDS)
        )
        target = ''
        if group is HOST_KINDS:
            target = f'h{rng.randrange(layout.HOSTS)}'
        elif group is ENDPOINT_KINDS:
            target = f'e{rng.randrange(layout.ENDPOINTS)}'
        found.append(
            Fault(
                rng.uniform(1.0, layout.FAULTS_S),
                rng.choice(group),
                target,
                rng.uniform(*LASTS_S),
            )
        )
    return sorted(found, key=lambda fault: fault.at)


class Harm:
    """Carry a plan out."""

    def __init__(self, cell: cells.Cell, rng: random.Random) -> None:
        self._cell = cell
        self._rng = rng
        self.done: list[Done] = []

    async def run(self, faults: list[Fault]) -> None:
        """Do all faults, each at its time; return when all have ended."""
        began = time.monotonic()
        async with curio.TaskGroup(wait=all) as group:
            for fault in faults:
                await group.spawn(self._do, fault, began)

    async def _do(self, fault: Fault, began: float) -> None:
        await curio.sleep(max(began + fault.at - time.monotonic(), 0.0))
        at = time.monotonic()
        if fault.kind in HOST_KINDS:
            await self._on_host(fault, self._cell.hosts[fault.target])
        elif fault.kind in ENDPOINT_KINDS:
            await self._on_endpoint(fault)
        else:
            await self._on_all(fault)
        self.done.append(Done(fault, at, time.monotonic()))

    async def _on_host(self, fault: Fault, host: cells.Host) -> None:
        if fault.kind in ('kill', 'term'):
            await self._restart(host, fault.kind == 'kill')
        elif fault.kind == 'freeze':
            host.send(signal.SIGSTOP)
            await curio.sleep(fault.lasts)
            host.send(signal.SIGCONT)
        elif fault.kind == 'hup':
            host.settings.touch()
            host.send(signal.SIGHUP)
        elif fault.kind == 'clock':
            host.shift.write_text(str(self._rng.uniform(-5.0, 5.0)))
            await curio.sleep(fault.lasts)
            host.shift.write_text('0')
        else:
            assert host.store is not None
            await host.store.harm(fault.kind.removeprefix('store_'))
            await curio.sleep(fault.lasts)
            await host.store.harm(proxy.PASS)

    async def _restart(self, host: cells.Host, hard: bool) -> None:
        host.send(signal.SIGCONT)
        host.send(signal.SIGKILL if hard else signal.SIGTERM)
        if not await host.ended(cells.GRACE_S):
            host.send(signal.SIGKILL)
            await host.ended(cells.GRACE_S)
        await curio.sleep(self._rng.uniform(*RESTART_S))
        host.start(self._cell.planted)

    async def _on_endpoint(self, fault: Fault) -> None:
        cell = self._cell
        way = fault.kind.removeprefix('endpoint_')
        if way == 'crash':
            await cell.control('crash', name=fault.target)
        elif way == 'drain':
            await cell.control('drain', name=fault.target, state='draining')
            await curio.sleep(fault.lasts)
            await cell.control('drain', name=fault.target, state='ready')
        elif way in ('deaf', 'late'):
            await cell.control('endpoint', name=fault.target, mode=way)
            await curio.sleep(fault.lasts)
            await cell.control('endpoint', name=fault.target, mode='')
        else:
            await cell.endpoints[fault.target].harm(way)
            await curio.sleep(fault.lasts)
            await cell.endpoints[fault.target].harm(proxy.PASS)

    async def _on_all(self, fault: Fault) -> None:
        cell = self._cell
        if fault.kind == 'kill_all':
            async with curio.TaskGroup(wait=all) as group:
                for host in cell.hosts.values():
                    await group.spawn(self._restart, host, True)
        elif fault.kind == 'all_forget':
            await cell.control('forget')
        elif fault.kind == 'some_parts':
            await cell.control('store', mode='', away=[self._rng.randrange(2)])
            await curio.sleep(fault.lasts)
            await cell.control('store', mode='')
        else:
            mode = fault.kind.removeprefix('all_')
            await cell.control('store', mode=mode)
            await curio.sleep(fault.lasts)
            await cell.control('store', mode='')


def heal(cell: cells.Cell) -> list[typing.Any]:
    """Return what is to be awaited so that nothing harms the cell."""
    waits: list[typing.Any] = [cell.control('store', mode='')]
    for name, way in cell.endpoints.items():
        waits.append(way.harm(proxy.PASS))
        waits.append(cell.control('endpoint', name=name, mode=''))
        waits.append(cell.control('drain', name=name, state='ready'))
    for host in cell.hosts.values():
        host.send(signal.SIGCONT)
        host.start(cell.planted)
        assert host.store is not None
        waits.append(host.store.harm(proxy.PASS))
    return waits
