"""Add a few clients that don't behave to a trial."""

import contextlib
import pathlib
import random
import typing

import curio

from hibiscusslip.host import host as hosts
from tests.platform import cell as samples
from tests.platform.soak import cell as cells
from tests.platform.soak import layout

CROWD = 16  # connections at a time, all to one host
MAX_HOLD_S = 3.0
MAX_PAUSE_S = 0.5
CONNECT_TIMEOUT_S = 1.0
KIB_PER_MIB = 1024
PORTS = (18149, 18141, 17380, hosts.METRICS_PORT)

_HEAD = b'POST /q1/0123456789abcdef HTTP/1.1\r\nhost: %s\r\n' % (
    samples.HOST.encode()
)
_CHUNK = b'10000\r\n' + b' ' * 0x10000 + b'\r\n'
_GET = b'GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n'
SENT = (
    b'',
    b'G',
    _HEAD + b'content-length: 8388608\r\n\r\n' + b' ' * 8_388_607,
    _HEAD + b'content-length: 262144\r\n\r\n' + b' ' * 262_143,
    _HEAD + b'transfer-encoding: chunked\r\n\r\n' + _CHUNK * 120,
    _HEAD + b'expect: 100-continue\r\ncontent-length: 9\r\n\r\n',
    _HEAD + b'a:\r\n' * 3000,
    _GET * 2000,
)


class Intruders:
    """Connect to the hosts of a cell, send something and stay on."""

    def __init__(self, cell: cells.Cell, seed: int) -> None:
        self._cell = cell
        # Drawn apart, so that the seeds play the same faults as ever.
        self._rng = random.Random(f'intruders {seed}')

    async def run(self) -> None:
        """Send one crowd after another until cancelled."""
        rng = self._rng
        while True:
            host = rng.choice(list(self._cell.hosts.values()))
            port, data = rng.choice(PORTS), rng.choice(SENT)
            hold = rng.uniform(0.0, MAX_HOLD_S)
            async with curio.TaskGroup() as group:
                for _ in range(CROWD):
                    await group.spawn(_intrude, host.ip, port, data, hold)
            await curio.sleep(rng.uniform(0.0, MAX_PAUSE_S))

    def check_memory(self) -> list[str]:
        """Return the hosts that had more memory than their machine has."""
        broken = []
        for host in self._cell.hosts.values():
            process: typing.Any = host.process
            if process is None or process.poll() is not None:
                continue
            peak = _peak_memory_mib(process.pid)
            if peak > layout.MAX_MEMORY_MIB:
                broken.append(f'MEMORY: {host.name} had {peak:.0f} MiB')
        return broken


async def _intrude(ip: str, port: int, data: bytes, hold: float) -> None:
    """Connect, send and stay on for `hold` seconds."""
    with contextlib.suppress(OSError, curio.TaskTimeout):
        async with curio.timeout_after(CONNECT_TIMEOUT_S):
            sock = await curio.open_connection(ip, port)
        async with sock:
            async with curio.timeout_after(hold):
                await sock.sendall(data)
                await curio.sleep(hold)


def _peak_memory_mib(pid: int) -> float:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (line,) = [x for x in status.splitlines() if x.startswith('VmHWM')]
    return int(line.split()[1]) / KIB_PER_MIB
