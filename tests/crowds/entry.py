"""Run an entry host as a process, with the stand-ins of its platform."""

import contextlib
import os
import pathlib
import subprocess
import sys
import time

from tests.crowds import hosts
from tests.faults import settings_file
from tests.faults import web

START_TIMEOUT_S = 60.0


class Entry:
    """Represent the process of an entry host."""

    def __init__(self, process, callers_port, operators_port):
        self._process = process
        self.callers_port = callers_port
        self.operators_port = operators_port

    @property
    def alive(self):
        """Return True if the process runs."""
        return self._process.poll() is None

    def peak_memory_mib(self):
        """Return the most memory that the process has had resident."""
        return hosts.read_peak_memory_mib(self._process.pid)

    def open_descriptors(self):
        """Return how many files and sockets the process has open."""
        return len(os.listdir(f'/proc/{self._process.pid}/fd'))

    def answers(self):
        """Return True if a request of a caller is answered."""
        give_up_at = time.monotonic() + hosts.GIVE_UP_S
        while time.monotonic() < give_up_at:
            with contextlib.suppress(OSError):
                status, _ = web.call(
                    self.callers_port,
                    'GET',
                    '/v1/jobs/none',
                    timeout=hosts.CALL_TIMEOUT_S,
                )
                if status in (400, 404):
                    return True
            time.sleep(hosts.RETRY_PAUSE_S)
        return False


@contextlib.contextmanager
def running(folder, ports, **limits):
    """Start an entry host on three free ports; yield it, then end it."""
    callers, operators, peers = ports
    secret_file = pathlib.Path(folder) / settings_file.SECRET_NAME
    secret_file.write_text(settings_file.SECRET)
    plan = settings_file.EntryPlan(
        'a1', 'z1', callers, operators, peers, 9, 9, limits=limits
    )
    path = pathlib.Path(folder) / 'settings.toml'
    path.write_text(settings_file.render(plan, secret_file))
    with (pathlib.Path(folder) / 'log').open('wb') as log:
        process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'hibiscusslip.node',
                '--settings',
                str(path),
            ],
            cwd=hosts.ROOT,
            stdout=log,
            stderr=log,
        )
    try:
        entry = Entry(process, callers, operators)
        hosts.wait_until(entry.answers, process, 'the entry host')
        yield entry
    finally:
        process.kill()
        process.wait()
