"""Start real processes and end them by their ids, always."""

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
    """Hold one started process; its output goes to files."""

    def __init__(
        self, name: str, args: list[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self.out = directory / f'{name}.out'
        self.err = directory / f'{name}.err'
        with self.out.open('wb') as out, self.err.open('wb') as err:
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
        """Tell whether the process runs."""
        return self._popen.poll() is None

    def ready(self) -> list[dict]:
        """Wait for the first line of output and return it as JSON."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            lines = self.out.read_text().splitlines(keepends=True)
            if lines and lines[0].endswith('\n'):
                return json.loads(lines[0])
            if not self.alive:
                break
            time.sleep(POLL_S)
        raise AssertionError(f'{self.name} is not ready: {self.log()}')

    def log(self) -> str:
        """Return what the process wrote."""
        return self.out.read_text() + self.err.read_text()

    def pause(self) -> None:
        """Stop the process from running until `resume`."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self._popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process at once."""
        self._popen.kill()
        self._popen.wait(END_TIMEOUT_S)

    def terminate(self) -> None:
        """Ask the process to end; see `wait`."""
        self._popen.terminate()

    def wait(self, timeout: float = END_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code."""
        return self._popen.wait(timeout)

    def close(self) -> None:
        """End the process in any case."""
        if self.alive:
            self._popen.kill()
        self._popen.wait(END_TIMEOUT_S)


class Ports:
    """Keep free ports for processes that are to listen on them later.

    A port is bound but not listened on, so that nobody else gets it while
    a process that reuses addresses can listen, die and listen again.
    """

    def __init__(self) -> None:
        self._socks: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port of this machine that nobody else gets."""
        sock = socket.socket()
        self._socks.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]

    def close(self) -> None:
        """Give all ports back."""
        for sock in self._socks:
            sock.close()


def wait_for_port(port: int, process: Process) -> None:
    """Wait until something listens on a port of this machine."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline and process.alive:
        with socket.socket() as sock:
            if sock.connect_ex(('127.0.0.1', port)) == 0:
                return
        time.sleep(POLL_S)
    raise AssertionError(f'{process.name} is not ready: {process.log()}')
