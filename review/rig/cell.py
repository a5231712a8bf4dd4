"""Run hosts as processes against a store and workers in this process."""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import curio
import msgspec

from hibiscusslip.http import client
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import server
from tests.platform import standin

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
HOST_NAME = 'a.example'
SECRET = 'hosts-of-one-cell-share-this'
READY_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 3.5

SETTINGS = """\
Node={name}
Role=host
Class=front
Serves=front
Ip={ip}
Zone=z1
Region=r1
Zones.z1=r1
Listen.Front={ip}:8149
Listen.Ready={ip}:8141
PortRange=7380,7395
Bootstrap={bootstrap}
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=vip
HeartbeatMs=1500
Contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
Bounds.ContactMs=3000
Bounds.AckMs=4000
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.ConfigApplyMs=2000
Bounds.MaxHoldMs=6000
Bounds.StopTimeoutMs=900
Bounds.GangWaitMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.finish_s=14
Bounds.status_s=120
Bounds.FarFactor=2
Bounds.CheckpointS=2
Bounds.RestoreMs=100
Bounds.NoticeMs=4500
Orders=request
Advice={advice}
platform.Addr={store}
platform.form=log
platform.WritesPerS=600
platform.ReadsPerS=2000
platform.parts=12
platform.RecordBytes=262144
platform.RequestBytes=2097152
platform.keep_s=300
"""


class Record:
    """Write what was sent, answered and run to a file, and keep it."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')  # noqa: SIM115
        self._began = time.monotonic()
        self.rows = []

    def __call__(self, event, **fields):
        at = round(time.monotonic() - self._began, 3)
        self.rows.append({'at': at, 'event': event, **fields})
        shown = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._file.write(f'{at:8.3f} {event} {shown}\n')
        self._file.flush()

    def of(self, event):
        """Return all rows of one event."""
        return [row for row in self.rows if row['event'] == event]


class Host:
    """One host: its settings file, its log and its process."""

    def __init__(self, cell, name, ip):
        self.name = name
        self.ip = ip
        self._settings = cell.folder / f'{name}.conf'
        self._log = cell.folder / f'{name}.log'
        self._cell = cell
        self.advice = ''
        self.process = None

    def start(self, bootstrap=False):
        """Start the process as the deploy file says."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            store=self._cell.store_address,
            bootstrap='true' if bootstrap else 'false',
            advice=self.advice,
        )
        self._settings.write_text(text)
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'PYTHONPATH': f'{ROOT}/target/deps',
            'HIBISCUSSLIP_NODE_FILE': str(self._settings),
            'HIBISCUSSLIP_PEER_SECRET': SECRET,
        }
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'hibiscusslip.host'],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self._cell.record('host_started', host=self.name)

    def signal(self, number):
        """Send a signal to the process."""
        self._cell.record('signal', host=self.name, number=int(number))
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    def events(self):
        """Return the JSON lines of the log."""
        rows = []
        for line in self._log.read_text(errors='replace').splitlines():
            with contextlib.suppress(ValueError):
                rows.append(json.loads(line))
        return rows


class Cell:
    """A store, workers and hosts."""

    def __init__(self, record, hosts=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store = standin.Store()
        self.store.page_items = 500
        self.store_address = ''
        self.workers = {}
        pid = os.getpid()
        self.hosts = [
            Host(
                self,
                f'h{n}',
                f'127.{60 + pid // 250 % 60}.{pid % 250}.{n + 2}',
            )
            for n in range(hosts)
        ]

    async def start(self, config, workers, advice=None):
        """Start everything and wait until all hosts are ready."""
        http_server = server.Server(self.store)
        port = await http_server.listen('127.0.0.1', 0)
        await curio.spawn(http_server.serve, daemon=True)
        self.store_address = f'127.0.0.1:{port}'
        self.publish(config)
        for worker in workers:
            self.workers[worker.name] = worker
            await worker.start()
            self.list(worker)
        await curio.spawn(self._beat, daemon=True)
        for host in self.hosts:
            if advice is not None:
                host.advice = await advice.serve()
            host.start(bootstrap=True)
        await self.wait_ready()

    def publish(self, config):
        """Write a version of the configuration, as the operator does."""
        self.store.put('keyed.op', 'config', msgspec.json.encode(config))
        names = [route['Name'] for route in config['Routes']]
        self.record('config', version=config['Version'], routes=names)

    def list(self, worker):
        """Write a worker's entry."""
        self.store.put('keyed.servers', worker.name, worker.entry())

    async def _beat(self):
        """Have workers write their entries; drop those that are silent."""
        silent = dict.fromkeys(self.workers, 0)
        while True:
            await curio.sleep(HEARTBEAT_S)
            for name, worker in self.workers.items():
                if worker.up:
                    silent[name] = 0
                    self.list(worker)
                    continue
                silent[name] = silent.get(name, 0) + 1
                if silent[name] == 3:
                    self.store.put('keyed.servers', name, b'')

    async def wait_ready(self):
        """Wait until all hosts answer their readiness probes."""
        async with curio.timeout_after(READY_TIMEOUT_S):
            for host in self.hosts:
                while await self._probe(host) != 200:
                    await curio.sleep(0.1)

    async def _probe(self, host):
        pool = client.Pool(host.ip, 8141, max_connections=1)
        try:
            return (await pool.call('GET', '/v1/ready', timeout=1.0)).status
        except http_exceptions.HttpError:
            return 0
        finally:
            await pool.close()

    async def call(self, host, method, path, body=b''):
        """Call a host as a client; return status and body, 0 for none."""
        pool = client.Pool(host.ip, 8149, max_connections=1)
        headers = {
            'host': HOST_NAME,
            'x-deadline-ms': '3000',
            'content-type': 'application/json',
        }
        try:
            response = await pool.call(
                method,
                path,
                body=body,
                headers=headers,
                timeout=CALL_TIMEOUT_S,
            )
            status, answer = response.status, response.content
        except http_exceptions.HttpError:
            status, answer = 0, b''
        finally:
            await pool.close()
        self.record(
            'call',
            host=host.name,
            method=method,
            path=path,
            status=status,
            answer=answer.decode(errors='replace')[:80],
        )
        return status, answer

    async def submit(self, path, steps):
        """Hand a job in at one host after the other until it is accepted."""
        body = msgspec.json.encode({'Spec': 'x', 'Steps': steps})
        for attempt in range(8):
            host = self.hosts[attempt % len(self.hosts)]
            status, _ = await self.call(host, 'POST', path, body)
            if 200 <= status < 300:
                return True
            await curio.sleep(0.3)
        return False

    async def state(self, path, attempts=10):
        """Return a job's state, or the last status if none was told."""
        status = 0
        for attempt in range(attempts):
            host = self.hosts[attempt % len(self.hosts)]
            status, answer = await self.call(host, 'GET', path)
            if status == 200:
                return msgspec.json.decode(answer)['State']
            await curio.sleep(0.3)
        return str(status)

    async def wait_final(self, path, timeout):
        """Wait for the final state of a job; return the last one told."""
        give_up_at = time.monotonic() + timeout
        state = ''
        while time.monotonic() < give_up_at:
            state = await self.state(path, 3)
            if state in ('completed', 'failed', 'cancelled'):
                break
            await curio.sleep(0.5)
        return state

    def close(self):
        """End all processes that were started; remove the files."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        keep = os.environ.get('KEEP')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, **fields):
    """Return a route of the configuration."""
    return {
        'Name': name,
        'Host': HOST_NAME,
        'PathPrefix': prefix,
        'Kind': 'unsafe',
        'TimeoutMs': 3000,
        'TargetLatencyMs': 1000,
        'Priority': 0,
        'Service': service,
        'MaxAttempts': 2,
        'Stretch': 2.0,
        **fields,
    }


def configuration(version, routes, services):
    """Return a configuration."""
    return {
        'Version': version,
        'Routes': routes,
        'Services': [
            {'Name': name, 'HealthPath': '/health', 'RejectsOverload': False}
            for name in services
        ],
        'Limits': {'MaxBodyBytes': 262144},
    }


def run(case, path, hosts=3, limit_s=110.0):
    """Run a case; return 1 if the rule was broken, 0 if it held, else 2.

    `case(cell, trouble)` returns the breaks that it has seen.
    """
    record = Record(path)
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record('begin', trouble=trouble)
    cell = Cell(record, hosts)

    async def main():
        async with curio.timeout_after(limit_s):
            return await case(cell, trouble)

    try:
        breaks = curio.run(main)
    except Exception as exc:
        record('not_run', error=repr(exc))
        print(f'could not run: {exc!r}')
        return 2
    finally:
        cell.close()
    for text in breaks:
        record('BROKEN', what=text)
        print(text)
    record('verdict', broken=bool(breaks))
    return 1 if breaks else 0
