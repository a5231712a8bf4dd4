"""Run a host as a process and watch it from outside."""

import contextlib
import http.client
import os
import pathlib
import subprocess
import sys
import time

import msgspec

from tests.platform import cell

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT, READY, PEERS, METRICS = 18149, 18141, 17380, 9102
KIB_PER_MIB = 1024
START_TIMEOUT_S = 60.0
CALL_TIMEOUT_S = 10.0
RETRY_PAUSE_S = 0.5
GIVE_UP_S = 60.0
PREFIX = cell.PREFIX
HOST = cell.HOST


def read_peak_memory_mib(pid):
    """Return the most memory that a process has had resident."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (line,) = [x for x in status.splitlines() if x.startswith('VmHWM')]
    return int(line.split()[1]) / KIB_PER_MIB


class Host:
    """Represent the process of a host, and of the platform that it uses."""

    def __init__(self, platform, platform_port, process, ip, limits):
        self._platform = platform
        self._platform_port = platform_port
        self._process = process
        self.ip = ip
        self.max_memory_mib, self.max_descriptors = limits
        self.headers = {'Host': HOST}

    @property
    def alive(self):
        """Return True if the process runs."""
        return self._process.poll() is None

    def peak_memory_mib(self):
        """Return the most memory that the process has had resident."""
        return read_peak_memory_mib(self._process.pid)

    def open_descriptors(self):
        """Return how many files and sockets the process has open."""
        return len(os.listdir(f'/proc/{self._process.pid}/fd'))

    def signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    def wait_for_end(self):
        """Return the status with which the process ends by itself."""
        return self._process.wait(CALL_TIMEOUT_S)

    def call(self, port, method, path, body=None):
        """Return the status and the body of one response."""
        conn = http.client.HTTPConnection(
            self.ip, port, timeout=CALL_TIMEOUT_S
        )
        try:
            conn.request(method, path, body, self.headers)
            response = conn.getresponse()
            return response.status, response.read()
        finally:
            conn.close()

    def try_call(self, *args, **kwargs):
        """Return the response of a call, None if there was none."""
        try:
            return self.call(*args, **kwargs)
        except OSError:
            return None
        except http.client.HTTPException:
            return None

    def poll(self):
        """Return the status of the process, None while it runs."""
        return self._process.poll()

    def refuses_strangers(self):
        """Return True if a caller without a key gets a 401."""
        known, self.headers = self.headers, {'Host': HOST}
        try:
            response = self.try_call(FRONT, 'GET', PREFIX)
        finally:
            self.headers = known
        return response is not None and response[0] == 401

    def submit(self, job_id, body=None):
        """Return the status for a job, sent again after a 503."""
        body = body or msgspec.json.encode(
            {'Spec': 'x', 'Steps': [{'Count': 1, 'Cpu': 100}]}
        )
        status = None
        give_up_at = time.monotonic() + GIVE_UP_S
        while time.monotonic() < give_up_at:
            response = self.try_call(FRONT, 'POST', PREFIX + job_id, body)
            status = response and response[0]
            if status not in (None, 503, 504):
                break
            time.sleep(RETRY_PAUSE_S)
        return status

    def is_answered(self, port, path):
        """Return True if a GET has been answered with a 200."""
        give_up_at = time.monotonic() + GIVE_UP_S
        while time.monotonic() < give_up_at:
            response = self.try_call(port, 'GET', path)
            if response and response[0] == 200:
                return True
            time.sleep(RETRY_PAUSE_S)
        return False

    def configure(self, document):
        """Publish a configuration."""
        conn = http.client.HTTPConnection('127.0.0.1', self._platform_port)
        conn.request('POST', '/standin/config', document)
        assert conn.getresponse().status == 200
        conn.close()

    def inbox(self):
        """Return the sizes of the records written for callers, by key."""
        conn = http.client.HTTPConnection('127.0.0.1', self._platform_port)
        conn.request('GET', '/standin/inbox')
        sizes = msgspec.json.decode(conn.getresponse().read())
        conn.close()
        return sizes

    def check_bounds(self):
        """Check that the process lives within its limits and serves."""
        self._check_usage()
        assert self.is_answered(READY, '/v1/ready'), 'readiness'
        assert self.is_answered(METRICS, '/metrics'), 'metrics'
        status = self.submit('00000000000000ff')
        assert status == 200, f'an ordinary job got {status}'
        self._check_usage()

    def _check_usage(self):
        assert self.alive, 'the process has ended'
        memory, descriptors = self.peak_memory_mib(), self.open_descriptors()
        assert memory <= self.max_memory_mib, f'{memory:.0f} MiB'
        assert descriptors <= self.max_descriptors, f'{descriptors} open'


def wait_until(condition, process, what):
    """Wait until a started process is ready."""
    give_up_at = time.monotonic() + START_TIMEOUT_S
    while not condition():
        assert process.poll() is None, f'{what} has ended'
        assert time.monotonic() < give_up_at, f'{what} is not ready'
        time.sleep(0.1)


@contextlib.contextmanager
def running(folder, memory_mib=128, descriptors=1024, extra=''):
    """Start a platform and a host; yield the host, then end both."""
    pid = os.getpid()
    ip = f'127.{64 + pid // 250 % 60}.{pid % 250}.2'
    platform = subprocess.Popen(
        [sys.executable, '-m', 'tests.crowds.platform'],
        cwd=ROOT,
        stdout=subprocess.PIPE,
    )
    process = None
    try:
        platform_port = int(platform.stdout.readline())
        text = cell.SETTINGS_FILE.format(
            name='h0', ip=ip, store=f'127.0.0.1:{platform_port}'
        )
        text += f'Limits.MemoryMb={memory_mib}\n'
        text += f'Limits.MaxFds={descriptors}\n{extra}'
        path = folder / 'settings'
        path.write_text(text)
        with (folder / 'log').open('wb') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', 'hibiscusslip.host'],
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HIBISCUSSLIP_NODE_FILE': str(path),
                    'HIBISCUSSLIP_PEER_SECRET': cell.SECRET.decode(),
                },
                stdout=log,
                stderr=log,
            )
        limits = (memory_mib, descriptors)
        host = Host(platform, platform_port, process, ip, limits)
        wait_until(
            lambda: host.try_call(READY, 'GET', '/v1/ready') == (200, b''),
            process,
            'the host',
        )
        assert host.submit('0000000000000001') == 200
        yield host
    finally:
        for started in (process, platform):
            if started is not None:
                started.kill()
                started.wait()
        platform.stdout.close()
