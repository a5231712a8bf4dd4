"""Start a small deployment as separate processes, and call it as clients do.

The hosts are started with the command of the deploy file. Each has a loopback
address of its own, as the metrics have a fixed port.
"""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
SERVICE = 'comercial'
CLIENT_HOST = 'shop.example'
FRONT_PORT = 18149
READY_PORT = 18141
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 3.2

SETTINGS = """
Node={name}
Role=host
Class=front
Serves=front
Ip={ip}
Zone={zone}
Region=pt-norte
Zones.braga=pt-norte
Zones.guimaraes=pt-norte
Listen.Front={ip}:18149
Listen.Ready={ip}:18141
PortRange=17380,17395
Bootstrap=true
InTolerance=true
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Discovery=platform
Entry=vip
HeartbeatMs=1500
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
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.RequireFence=false
Bounds.LeaseMs=3000
Orders=request
platform.Addr=127.0.0.1:{store}
platform.form=log
platform.WritesPerS=600
platform.ReadsPerS=2000
platform.parts=12
platform.AppendMs=2.0
platform.RecordBytes=262144
platform.RequestBytes=2097152
platform.keep_s=300
"""


def free_port():
    """Return a port on which nothing listens."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


def queue(name, **fields):
    """Return a route of the operator's configuration."""
    return {
        'Name': name,
        'Host': CLIENT_HOST,
        'PathPrefix': f'/{name}/',
        'Kind': 'unsafe',
        'TimeoutMs': 3000,
        'TargetLatencyMs': 1000,
        'Priority': 1,
        'Service': SERVICE,
        'MaxAttempts': 4,
        'Stretch': 2.2,
        **fields,
    }


class Cell:
    """A platform, workers and hosts, each in a process of its own.

    What is sent, answered and run is written to `record.txt` in `folder`.
    """

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.temp = tempfile.TemporaryDirectory()
        self.ledger = pathlib.Path(self.temp.name, 'ledger')
        self.ledger.touch()
        self.began = time.monotonic()
        self.lines = []
        self.processes = {}
        self.workers = {}
        self.addresses = {}
        self.started_hosts = 1
        self.store = 0
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        (self.role,) = deploy['roles'].values()

    def note(self, text, at=None):
        """Add a line to the record."""
        at = time.monotonic() if at is None else at
        self.lines.append((at, f'{at - self.began:8.3f}  {text}'))
        print(self.lines[-1][1], flush=True)

    def _spawn(self, name, args, env=None, stdout=None):
        path = f'{ROOT / "target/deps"}:{ROOT}'
        log = pathlib.Path(self.temp.name, f'{name}.log')
        with log.open('ab') as out:
            process = subprocess.Popen(
                args,
                cwd=ROOT,
                env={**os.environ, 'PYTHONPATH': path, **(env or {})},
                stdout=stdout or out,
                stderr=out,
            )
        self.processes[name] = process
        return process

    def start_platform(self, routes, tenants=None):
        """Start the store, and write the first configuration."""
        process = self._spawn(
            'platform',
            [sys.executable, '-m', 'review.rig3.platform'],
            stdout=subprocess.PIPE,
        )
        self.store = int(process.stdout.readline())
        document = {
            'Version': 3,
            'Routes': routes,
            'Services': [{'Name': SERVICE, 'HealthPath': '/h'}],
            'Limits': {'MaxBodyBytes': 262144},
        }
        if tenants is not None:
            document['Tenants'] = tenants
        body = json.dumps(document)
        self._request('127.0.0.1', self.store, 'POST', '/config', body)

    def start_worker(self, name, zone, rack, port=None):
        """Start a worker; at the port of a former one if that is given."""
        cfg = {
            'name': name,
            'port': port or free_port(),
            'store': self.store,
            'service': SERVICE,
            'zone': zone,
            'rack': rack,
            'ledger': str(self.ledger),
        }
        args = [sys.executable, '-m', 'review.rig3.worker', json.dumps(cfg)]
        self._spawn(name, args)
        self.workers[name] = cfg
        self.note(f'worker {name} is started')

    def start_host(self, name, zone):
        """Start a host of the system with the command of the deploy file."""
        self.started_hosts += 1
        pid = os.getpid()
        ip = f'127.{20 + pid // 250 % 200}.{pid % 250}.{self.started_hosts}'
        settings = pathlib.Path(self.temp.name, f'{name}.conf')
        settings.write_text(
            SETTINGS.format(name=name, ip=ip, zone=zone, store=self.store)
        )
        env = {**self.role['env'], 'HIBISCUSSLIP_NODE_FILE': str(settings)}
        self._spawn(name, self.role['run'].split(), env)
        self.addresses[name] = ip
        self.note(f'host {name} is started')

    def wait_ready(self):
        """Wait until all hosts say that they are ready."""
        for name, ip in self.addresses.items():
            self.wait(
                lambda ip=ip: (
                    self._request(ip, READY_PORT, 'GET', '/v1/ready')[0] == 200
                ),
                START_TIMEOUT_S,
            )
            self.note(f'host {name} is ready')

    def wait(self, condition, timeout):
        """Return True once a condition holds, False after a timeout."""
        give_up_at = time.monotonic() + timeout
        while time.monotonic() < give_up_at:
            if condition():
                return True
            time.sleep(0.02)
        return False

    def kill(self, name, number=signal.SIGKILL):
        """Send a signal to a process that this script started."""
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].wait()
        self.note(f'{signal.Signals(number).name} to {name}')

    def _request(self, ip, port, method, path, body=None, headers=None):
        conn = http.client.HTTPConnection(ip, port, timeout=CALL_TIMEOUT_S)
        try:
            conn.request(method, path, body, headers or {})
            response = conn.getresponse()
            return response.status, response.read().decode()
        except OSError as exc:
            return 0, type(exc).__name__
        finally:
            conn.close()

    def call(self, name, method, path, body=None, key=None):
        """Call a host as a client does; return status and body."""
        headers = {'Host': CLIENT_HOST, 'X-Deadline-Ms': '3000'}
        if key:
            headers['Authorization'] = f'Bearer {key}'
        data = None if body is None else json.dumps(body)
        if data:
            headers['Content-Type'] = 'application/json'
        sent = time.monotonic()
        status, text = self._request(
            self.addresses[name], FRONT_PORT, method, path, data, headers
        )
        who = f' with {key}' if key else ''
        self.note(f'{method} {path}{who} at {name}: sent', sent)
        self.note(f'{method} {path}{who} at {name}: {status} {text}')
        return status, text

    def state(self, name, path, key=None):
        """Return the state of a job as a client sees it, or the status."""
        status, text = self.call(name, 'GET', path, key=key)
        return json.loads(text)['State'] if status == 200 else str(status)

    def runs(self):
        """Return the events of the ledger."""
        rows = self.ledger.read_text().splitlines()
        return [json.loads(row) for row in rows]

    def running_on(self, task):
        """Return the worker that started the task last, if it still runs."""
        worker = None
        for _, event, name, this, _, _ in self.runs():
            if this == task:
                worker = name if event == 'start' else None
        alive = worker and self.processes[worker].poll() is None
        return worker if alive else None

    def host_events(self, *events):
        """Return log lines of the hosts with one of these events."""
        found = []
        for name in self.addresses:
            log = pathlib.Path(self.temp.name, f'{name}.log')
            for line in log.read_text().splitlines():
                if any(f'"event":"{event}"' in line for event in events):
                    found.append(line)
        return found

    def close(self, result):
        """End all processes, and write the record."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        for at, event, worker, task, run, how in self.runs():
            text = f'worker {worker}: {event} {task} run {run} {how}'
            self.lines.append((at, f'{at - self.began:8.3f}  {text}'))
        self.lines.sort()
        text = '\n'.join(line for _, line in self.lines)
        (self.folder / 'record.txt').write_text(f'{text}\n{result}\n')
        print(result, flush=True)
        self.temp.cleanup()
