"""Inject seeded faults into a cell; they may overlap and repeat."""

import dataclasses
import random
import signal
import time
import typing

import curio

from tests.platform.soak import cell as cells
from tests.platform.soak import layout
from tests.platform.soak import proxy

MAX_FAULTS = 9
RESTART_DELAY_S = (0.1, 1.5)
FAULT_DURATION_S = (0.5, 5.0)


@dataclasses.dataclass(frozen=True)
class Fault:
    """Represent a fault of a trial.

    `at` is in seconds after the start of the fault phase, `lasts` is the
    fault's duration in seconds.
    """

    at: float
    kind: str
    target: str
    lasts: float


@dataclasses.dataclass(frozen=True)
class InjectedFault:
    """Represent an injected fault; times are on the monotonic clock."""

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


# All hosts are killed while the configuration can't be read: the owner knows
# the jobs and not their queues.
UNCONFIGURED = 'kill_all_unconfigured'


def draw_unconfigured(seed: int) -> list[Fault]:
    """Draw the outage of the configuration, in trials of odd seeds."""
    if not seed % 2:
        return []
    # Drawn apart, so that the seeds play the same other faults as ever.
    rng = random.Random(f'configuration {seed}')
    at = rng.uniform(layout.FAULT_PHASE_S / 3, layout.FAULT_PHASE_S)
    return [Fault(at, UNCONFIGURED, '', rng.uniform(2.0, 6.0))]


def draw_faults(rng: random.Random) -> list[Fault]:
    """Draw the faults of one trial."""
    faults = []
    for _ in range(rng.randint(4, MAX_FAULTS)):
        group = rng.choice(
            (HOST_KINDS, HOST_KINDS, ENDPOINT_KINDS, STORE_KINDS)
        )
        target = ''
        if group is HOST_KINDS:
            target = f'h{rng.randrange(layout.HOSTS)}'
        elif group is ENDPOINT_KINDS:
            target = f'e{rng.randrange(layout.ENDPOINTS)}'
        faults.append(
            Fault(
                rng.uniform(1.0, layout.FAULT_PHASE_S),
                rng.choice(group),
                target,
                rng.uniform(*FAULT_DURATION_S),
            )
        )
    return sorted(faults, key=lambda fault: fault.at)


class FaultInjector:
    """Inject the faults of a trial; `done` are those that have ended."""

    def __init__(self, cell: cells.Cell, rng: random.Random) -> None:
        self._cell = cell
        self._rng = rng
        self.done: list[InjectedFault] = []

    async def run(self, faults: list[Fault]) -> None:
        """Inject all faults, each at its time; return when all have ended."""
        began = time.monotonic()
        async with curio.TaskGroup(wait=all) as group:
            for fault in faults:
                await group.spawn(self._inject, fault, began)

    async def _inject(self, fault: Fault, began: float) -> None:
        await curio.sleep(max(began + fault.at - time.monotonic(), 0.0))
        at = time.monotonic()
        if fault.kind in HOST_KINDS:
            await self._inject_at_host(fault, self._cell.hosts[fault.target])
        elif fault.kind in ENDPOINT_KINDS:
            await self._inject_at_endpoint(fault)
        else:
            await self._inject_everywhere(fault)
        self.done.append(InjectedFault(fault, at, time.monotonic()))

    async def _inject_at_host(self, fault: Fault, host: cells.Host) -> None:
        if fault.kind in ('kill', 'term'):
            await self._restart(host, fault.kind == 'kill')
        elif fault.kind == 'freeze':
            host.send_signal(signal.SIGSTOP)
            await curio.sleep(fault.lasts)
            host.send_signal(signal.SIGCONT)
        elif fault.kind == 'hup':
            host.settings.touch()
            host.send_signal(signal.SIGHUP)
        elif fault.kind == 'clock':
            host.clock_shift.write_text(str(self._rng.uniform(-5.0, 5.0)))
            await curio.sleep(fault.lasts)
            host.clock_shift.write_text('0')
        else:
            assert host.store is not None
            await host.store.set_mode(fault.kind.removeprefix('store_'))
            await curio.sleep(fault.lasts)
            await host.store.set_mode(proxy.PASS)

    async def _restart(self, host: cells.Host, hard: bool) -> None:
        host.send_signal(signal.SIGCONT)
        host.send_signal(signal.SIGKILL if hard else signal.SIGTERM)
        if not await host.wait_for_exit(cells.GRACE_S):
            host.send_signal(signal.SIGKILL)
            await host.wait_for_exit(cells.GRACE_S)
        await curio.sleep(self._rng.uniform(*RESTART_DELAY_S))
        host.start(self._cell.bug)

    async def _inject_at_endpoint(self, fault: Fault) -> None:
        cell = self._cell
        mode = fault.kind.removeprefix('endpoint_')
        if mode == 'crash':
            await cell.control('crash', name=fault.target)
        elif mode == 'drain':
            await cell.control('drain', name=fault.target, state='draining')
            await curio.sleep(fault.lasts)
            await cell.control('drain', name=fault.target, state='ready')
        elif mode in ('deaf', 'late'):
            await cell.control('endpoint', name=fault.target, mode=mode)
            await curio.sleep(fault.lasts)
            await cell.control('endpoint', name=fault.target, mode='')
        else:
            await cell.endpoints[fault.target].set_mode(mode)
            await curio.sleep(fault.lasts)
            await cell.endpoints[fault.target].set_mode(proxy.PASS)

    async def _inject_everywhere(self, fault: Fault) -> None:
        cell = self._cell
        if fault.kind == 'kill_all':
            await self._kill_all()
        elif fault.kind == UNCONFIGURED:
            await cell.control('hide_config', hidden=True)
            await self._kill_all()
            await curio.sleep(fault.lasts)
            await cell.control('hide_config', hidden=False)
        elif fault.kind == 'all_forget':
            await cell.control('forget')
        elif fault.kind == 'some_parts':
            await cell.control(
                'store', mode='', unavailable=[self._rng.randrange(2)]
            )
            await curio.sleep(fault.lasts)
            await cell.control('store', mode='')
        else:
            mode = fault.kind.removeprefix('all_')
            await cell.control('store', mode=mode)
            await curio.sleep(fault.lasts)
            await cell.control('store', mode='')

    async def _kill_all(self) -> None:
        async with curio.TaskGroup(wait=all) as group:
            for host in self._cell.hosts.values():
                await group.spawn(self._restart, host, True)


def heal(cell: cells.Cell) -> list[typing.Any]:
    """Restart what was stopped; return awaitables that end all faults."""
    waits: list[typing.Any] = [
        cell.control('store', mode=''),
        cell.control('hide_config', hidden=False),
    ]
    for name, endpoint_proxy in cell.endpoints.items():
        waits.append(endpoint_proxy.set_mode(proxy.PASS))
        waits.append(cell.control('endpoint', name=name, mode=''))
        waits.append(cell.control('drain', name=name, state='ready'))
    for host in cell.hosts.values():
        host.send_signal(signal.SIGCONT)
        host.start(cell.bug)
        assert host.store is not None
        waits.append(host.store.set_mode(proxy.PASS))
    return waits
