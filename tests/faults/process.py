"""Start real processes and always terminate them by their ids."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

READY_TIMEOUT_S = 30.0
END_TIMEOUT_S = 10.0
POLL_S = 0.02
ROOT = pathlib.Path(__file__).parents[2]


class Process:
    """Run one Python process, with its output in files."""

    def __init__(
        self, name: str, args: list[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self.stdout_path = directory / f'{name}.out'
        self.stderr_path = directory / f'{name}.err'
        with (
            self.stdout_path.open('wb') as out,
            self.stderr_path.open('wb') as err,
        ):
            self._popen = subprocess.Popen(
                [sys.executable, *args],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=err,
                cwd=ROOT,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def alive(self) -> bool:
        """Return True while the process runs."""
        return self._popen.poll() is None

    def ready(self) -> list[dict]:
        """Wait for the first line of output and return it parsed as JSON."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            lines = self.stdout_path.read_text().splitlines(keepends=True)
            if lines and lines[0].endswith('\n'):
                return json.loads(lines[0])
            if not self.alive:
                break
            time.sleep(POLL_S)
        raise AssertionError(f'{self.name} is not ready: {self.output()}')

    def output(self) -> str:
        """Return all output of the process so far."""
        return self.stdout_path.read_text() + self.stderr_path.read_text()

    def pause(self) -> None:
        """Suspend the process until `resume`."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        self._popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self._popen.kill()
        self._popen.wait(END_TIMEOUT_S)

    def terminate(self) -> None:
        """Request termination; `wait` waits for it."""
        self._popen.terminate()

    def wait(self, timeout: float = END_TIMEOUT_S) -> int:
        """Wait for the exit and return its code."""
        return self._popen.wait(timeout)

    def close(self) -> None:
        """Kill the process if it still runs."""
        if self.alive:
            self._popen.kill()
        self._popen.wait(END_TIMEOUT_S)


class Ports:
    """Reserve ports on which processes listen later.

    A port is bound but not listened on: the system gives it to no other
    process, but one that reuses addresses can listen on it repeatedly.
    """

    def __init__(self) -> None:
        self._socks: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a local port, reserved until `close`."""
        sock = socket.socket()
        self._socks.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]

    def close(self) -> None:
        """Release all ports."""
        for sock in self._socks:
            sock.close()


def wait_for_port(port: int, process: Process) -> None:
    """Wait until the process listens on a local port."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline and process.alive:
        with socket.socket() as sock:
            if sock.connect_ex(('127.0.0.1', port)) == 0:
                return
        time.sleep(POLL_S)
    raise AssertionError(f'{process.name} is not ready: {process.output()}')
