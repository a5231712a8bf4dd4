"""Start hosts as the deploy file says, with a store and workers beside them.

The store and the workers run in the process of the script, each host in its
own process on a loopback address of its own.
"""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

import curio
import msgspec

from hibiscusslip.http import client
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import server
from hibiscusslip.platform import store as store_client
from tests.platform import standin

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = 'svc-one'
OTHER_SERVICE = 'svc-two'
QUEUE_HOST = 'q.example'
PREFIX = '/urgent/'
HEARTBEAT_S = 1.5
PARTITIONS = 12
PAGE_ITEMS = 500
SETTINGS = """
Node={name}
Role=host
Class=front
Serves=front
Ip={ip}
Zone={zone}
Region=r
Zones.z1=r
Zones.z2=r
Listen.Front={ip}:{front}
Listen.Ready={ip}:{ready}
PortRange={first},{last}
Seeds=
Bootstrap=true
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
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
Bounds.MaintenanceS=2
Bounds.InterferenceMs=4000
Orders=request
platform.Addr={store}
platform.form=log
platform.WritesPerS=600
platform.ReadsPerS=2000
platform.parts={partitions}
platform.RecordBytes=262144
platform.RequestBytes=2097152
platform.keep_s=20
"""


class Store(standin.Store):
    """The project's stand-in, with the page's limit of a record."""

    RECORD_BYTES = 262144

    def __init__(self):
        super().__init__()
        self.page_items = PAGE_ITEMS

    def _append(self, req, part):
        if any(
            len(record) > self.RECORD_BYTES
            for record in standin._split(req.body)
        ):
            return standin.json_response(413)
        return super()._append(req, part)


class Cell:
    """A store, workers and hosts for one script."""

    def __init__(self, recorder):
        self.recorder = recorder
        self.store = Store()
        self.workers = []
        self.hosts = {}
        self.addresses = {}
        self._store_address = ''
        self._folder = tempfile.mkdtemp(prefix='review-')
        signal.signal(signal.SIGTERM, self._end)
        self._subnet = f'127.{10 + os.getpid() // 200 % 200}'
        self._subnet += f'.{os.getpid() % 200}'

    async def start(self, hosts=2, max_attempts=2, stretch=2.0, more=()):
        """Start the store, the workers' entries and the hosts.

        `more` are further queues: pairs of a prefix and a priority.
        """
        http_server = server.Server(self.store)
        port = await http_server.listen('127.0.0.1', 0)
        await curio.spawn(http_server.serve, daemon=True)
        self._store_address = f'127.0.0.1:{port}'
        queues = ((PREFIX, 0), *more)
        config = {
            'Version': 3,
            'Routes': [
                {
                    'Name': f'r-{number}',
                    'Host': QUEUE_HOST,
                    'PathPrefix': prefix,
                    'Kind': 'unsafe',
                    'TimeoutMs': 3000,
                    'TargetLatencyMs': 1000,
                    'Priority': priority,
                    'Service': SERVICE,
                    'MaxAttempts': max_attempts,
                    'Stretch': stretch,
                }
                for number, (prefix, priority) in enumerate(queues)
            ],
            'Services': [
                {'Name': name, 'HealthPath': '/h', 'MaxConns': 64}
                for name in (SERVICE, OTHER_SERVICE)
            ],
            'Limits': {'MaxBodyBytes': 262144},
        }
        self.store.put(
            store_client.CONFIG_TOPIC, 'config', msgspec.json.encode(config)
        )
        await curio.spawn(self._heartbeats, daemon=True)
        for number in range(hosts):
            self.start_host(f'host-{number + 1}')
        await self.await_ready()

    async def _heartbeats(self):
        while True:
            for worker in self.workers:
                self.announce(worker)
            await curio.sleep(HEARTBEAT_S)

    def announce(self, worker):
        """Write a worker's entry, as long as it is up."""
        if worker.up and not self.store.mode:
            self.store.put(
                store_client.ENDPOINTS_TOPIC,
                worker.ident,
                worker.entry(worker.service),
            )

    def start_host(self, name):
        """Start a host with the command of the deploy file."""
        number = len(self.addresses) + 1
        ip = self.addresses.setdefault(name, f'{self._subnet}.{number}')
        path = pathlib.Path(self._folder) / f'{name}.conf'
        path.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone='z1',
                front=18149,
                ready=18141,
                first=17380,
                last=17395,
                store=self._store_address,
                partitions=PARTITIONS,
            ),
            encoding='utf-8',
        )
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['host']
        command = role['run'].split()
        command[0] = sys.executable if command[0] == 'python3' else command[0]
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/tmp'),
            'PYTHONPATH': 'target/deps',
            'PYTHONDONTWRITEBYTECODE': '1',
            'HIBISCUSSLIP_NODE_FILE': str(path),
            **role['env'],
        }
        log = open(pathlib.Path(self._folder) / f'{name}.log', 'ab')  # noqa: SIM115
        self.hosts[name] = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.recorder.note(name, 'started at', ip)

    def log_lines(self, event):
        """Return the lines of all hosts' logs with an event."""
        lines = []
        for path in sorted(pathlib.Path(self._folder).glob('*.log')):
            lines += [
                line.strip()
                for line in path.read_text(errors='replace').splitlines()
                if f'"event":"{event}"' in line
            ]
        return lines

    async def await_ready(self):
        """Wait until all hosts are ready and one of them owns the cell."""
        give_up_at = time.monotonic() + 20
        while time.monotonic() < give_up_at:
            statuses = [
                (await self.call(name, 'GET', '/v1/ready', port=18141))[0]
                for name in self.hosts
            ]
            owned = bool(self.log_lines('owner_ready'))
            if owned and all(status == 200 for status in statuses):
                return
            await curio.sleep(0.1)
        raise RuntimeError('the hosts are not ready')

    async def call(self, name, method, path, body=b'', port=18149):
        """Send one request to a host; return status and body, (0, b'')."""
        pool = client.Pool(self.addresses[name], port)
        try:
            response = await pool.call(
                method,
                path,
                body=body,
                headers={'host': QUEUE_HOST, 'x-deadline-ms': '3000'},
                timeout=3.5,
            )
            return response.status, response.content
        except http_exceptions.HttpError:
            return 0, b''
        finally:
            await pool.close()

    async def submit(self, name, job_id, job, prefix=PREFIX, quiet=False):
        """Hand a job in until it is accepted; return the last status."""
        body = msgspec.json.encode(job)
        for _ in range(8):
            status, _ = await self.call(name, 'POST', prefix + job_id, body)
            if not quiet or status != 200:
                self.recorder.note('client: POST', job_id, '->', status)
            if status == 200:
                return status
            await curio.sleep(0.3)
        return status

    async def state(self, name, job_id):
        """Return the state that a host tells, or the status as text."""
        status, body = await self.call(name, 'GET', PREFIX + job_id)
        if status != 200:
            return str(status)
        return msgspec.json.decode(body)['State']

    def owner(self):
        """Return the name of the host that became the owner last."""
        lines = self.log_lines('owner_ready')
        rows = [msgspec.json.decode(line) for line in lines]
        return max(rows, key=lambda row: row['at'])['host'] if rows else ''

    def _end(self, number, frame):
        """End all hosts and the script, which takes too long."""
        self.stop()
        os._exit(2)

    def stop(self):
        """End all hosts."""
        for process in self.hosts.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.hosts.values():
            process.wait()
