"""Start, signal and stop the processes of one trial, and no others."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import typing

import curio

from hibiscusslip.host import options
from hibiscusslip.http import client
from hibiscusslip.http import exceptions
from hibiscusslip.platform import settings as platform_settings
from tests.platform import cell as samples
from tests.platform.soak import hosted
from tests.platform.soak import layout
from tests.platform.soak import proxy

ROOT = pathlib.Path(__file__).resolve().parents[3]
SECRET = '0123456789abcdef0123456789abcdef'
CONTROL_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 20.0
GRACE_S = 6.0


class Host:
    """Represent one host: its files, its proxy to the store, its process.

    `incarnation` counts how often the process was started.
    """

    def __init__(
        self, name: str, ip: str, folder: pathlib.Path, learning: bool
    ) -> None:
        self.name = name
        self.ip = ip
        self._learning = learning
        self.settings = folder / f'{name}.settings'
        self.clock_shift = folder / f'{name}.shift'
        self.log = folder / f'{name}.log'
        self.process: subprocess.Popen[bytes] | None = None
        self.incarnation = 0
        self.store: proxy.Proxy | None = None

    def start(self, bug: str) -> None:
        """Start the process unless it runs already."""
        if self.process is not None and self.process.poll() is None:
            return
        self.incarnation += 1
        env = {
            'PATH': os.environ.get('PATH', ''),
            'PYTHONPATH': str(ROOT),
            'HIBISCUSSLIP_NODE_FILE': str(self.settings),
            'HIBISCUSSLIP_PEER_SECRET': SECRET,
            hosted.SHIFT_VARIABLE: str(self.clock_shift),
            hosted.BUG_VARIABLE: bug,
            options.COPIES_VARIABLE: 'on' if layout.COPIES else 'off',
            options.RUN_TIMES_VARIABLE: (
                'learned' if self._learning else 'declared'
            ),
            options.SPEEDS_VARIABLE: 'on' if self._learning else 'off',
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'tests.platform.soak.hosted'],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)

    async def wait_for_exit(self, timeout: float) -> bool:
        """Wait for the process to exit; return whether it did.

        `timeout` is in seconds.
        """
        process = self.process
        if process is None:
            return True
        async with curio.ignore_after(timeout):
            while process.poll() is None:
                await curio.sleep(0.02)
        return process.poll() is not None


class Cell:
    """Run a platform, hosts and the proxies between them."""

    def __init__(self, seed: int, folder: pathlib.Path, bug: str) -> None:
        self.bug = bug
        self.learning = layout.is_learning(seed)
        self.ledger = folder / 'ledger'
        self._seed = seed
        self._folder = folder
        self._platform: subprocess.Popen[bytes] | None = None
        self._control: client.Pool | None = None
        self.endpoints: dict[str, proxy.Proxy] = {}
        pid = os.getpid()
        self.hosts = {}
        for number in range(layout.HOSTS):
            name = f'h{number}'
            ip = f'127.{128 + pid // 250 % 100}.{pid % 250}.{2 + number}'
            self.hosts[name] = Host(name, ip, folder, self.learning)

    async def start(self) -> None:
        """Start all processes and wait until all hosts are ready."""
        ports = self._start_platform()
        self._control = client.Pool('127.0.0.1', ports['control'])
        addresses = {}
        for number in range(layout.ENDPOINTS):
            name = f'e{number}'
            self.endpoints[name] = proxy.Proxy(ports[name])
            await self.endpoints[name].listen()
            addresses[name] = f'127.0.0.1:{self.endpoints[name].port}'
        await self.publish(1, ['q1'], layout.WITHDRAWN_KEY)
        await self.control('register', addresses=addresses)
        for host in self.hosts.values():
            host.store = proxy.Proxy(ports['store'])
            await host.store.listen()
            self._write_settings(host)
            host.start(self.bug)
        async with curio.timeout_after(READY_TIMEOUT_S):
            for host in self.hosts.values():
                while await self._query_readiness(host) != 200:
                    await curio.sleep(0.1)

    def _start_platform(self) -> dict[str, int]:
        self._platform = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'tests.platform.soak.platform',
                str(self._seed),
                str(self.ledger),
            ],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=(self._folder / 'platform.log').open('ab'),
        )
        assert self._platform.stdout is not None
        ports: dict[str, int] = json.loads(self._platform.stdout.readline())
        return ports

    def _write_settings(self, host: Host) -> None:
        assert host.store is not None
        host.clock_shift.write_text('0')
        text = samples.SETTINGS_FILE.format(
            name=host.name,
            ip=host.ip,
            store=f'127.0.0.1:{host.store.port}',
        )
        text += f'Contracts={platform_settings.ORGANISATIONS_CONTRACT}\n'
        text += f'Bounds.ConfigApplyMs={layout.CONFIG_APPLY_S * 1000}\n'
        text += f'Limits.MemoryMb={layout.MAX_MEMORY_MIB}\n'
        text += f'Bounds.QuotaOverage={layout.QUOTA_OVERAGE}\n'
        host.settings.write_text(text)

    async def _query_readiness(self, host: Host) -> int:
        pool = client.Pool(host.ip, 18141, max_connections=1)
        try:
            response = await pool.call('GET', '/v1/ready', timeout=1.0)
            return response.status
        except exceptions.HttpError:
            return 0
        finally:
            await pool.close()

    async def publish(
        self, version: int, queues: list[str], further_key: str
    ) -> None:
        """Write a configuration; `further_key` is one more key of o1."""
        keys = {name: [key] for name, key in layout.KEYS.items()}
        keys['o1'].append(further_key)
        await self.control('config', version=version, queues=queues, keys=keys)

    async def control(self, op: str, **fields: typing.Any) -> typing.Any:
        """Make a control call to the platform and return its result."""
        assert self._control is not None
        response = await self._control.call(
            'POST',
            '/',
            body=json.dumps({'op': op, **fields}).encode(),
            timeout=CONTROL_TIMEOUT_S,
        )
        return json.loads(response.content)

    async def close(self) -> None:
        """Kill all processes."""
        for host in self.hosts.values():
            host.send_signal(signal.SIGCONT)
            host.send_signal(signal.SIGKILL)
        if self._platform is not None:
            self._platform.kill()
            self._platform.wait()
        for host in self.hosts.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                if host.process is not None:
                    host.process.wait(GRACE_S)
