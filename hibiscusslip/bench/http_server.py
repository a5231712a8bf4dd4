"""Compare the HTTP server with a minimal server on curio and h11.

`serve KIND` runs one server and prints its port and process id; `drive`
sends requests to both alternately. The ratio is that of requests per second of
processor time, which other load on the machine affects little.
"""

import dataclasses
import json
import os
import pathlib
import statistics
import sys
import time
import typing

import curio
import cyclopts
import h11

from hibiscusslip.http import messages
from hibiscusslip.http import server

CONNECTIONS = 32
READ_BYTES = 64 * 1024
REQUEST = (
    b'GET / HTTP/1.1\r\nhost: 127.0.0.1\r\naccept: */*\r\n'
    b'user-agent: bench\r\n\r\n'
)
RESPONSE_END = b'ok'
UTIME_INDEX = 11
STIME_INDEX = 12
BARE = 'bare'
OURS = 'ours'

app = cyclopts.App(name='http-server', help=__doc__)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Identify a running server by its port and process id."""

    port: int
    pid: int

    def cpu_s(self) -> float:
        """Return the processor time that the server has used, in seconds."""
        text = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        fields = text.rpartition(')')[2].split()
        ticks = int(fields[UTIME_INDEX]) + int(fields[STIME_INDEX])
        return ticks / os.sysconf('SC_CLK_TCK')


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """Represent requests per second of elapsed and of processor time."""

    per_s: float
    per_cpu_s: float


class OkHandler(server.Handler):
    """Respond to every request with a body of two bytes."""

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response."""
        return messages.Response(200, {}, b'ok')


async def serve_bare_connection(sock: typing.Any, peer: typing.Any) -> None:
    """Respond to requests with as little code around h11 as possible."""
    conn = h11.Connection(h11.SERVER)
    head = h11.Response(status_code=200, headers=[(b'content-length', b'2')])
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await sock.recv(READ_BYTES))
        elif type(event) is h11.EndOfMessage:
            out = conn.send(head) + conn.send(h11.Data(data=b'ok'))
            await sock.sendall(out + conn.send(h11.EndOfMessage()))
            conn.start_next_cycle()
        elif type(event) is h11.ConnectionClosed:
            return


async def serve_bare() -> None:
    """Run the minimal server; print its free port and process id."""
    sock = curio.socket.socket()
    sock.bind(('127.0.0.1', 0))
    sock.listen(CONNECTIONS * 2)
    print(sock.getsockname()[1], os.getpid(), flush=True)
    await curio.network.run_server(sock, serve_bare_connection)


async def serve_ours() -> None:
    """Run the project's server; print its free port and process id."""
    srv = server.Server(OkHandler())
    port = await srv.listen('127.0.0.1', 0)
    print(port, os.getpid(), flush=True)
    await srv.serve()


async def measure(target: Target, seconds: float) -> Rate:
    """Return the rate of requests over CONNECTIONS connections."""
    counts = [0] * CONNECTIONS
    start, cpu_start = time.perf_counter(), target.cpu_s()
    until = start + seconds
    async with curio.TaskGroup() as group:
        for index in range(CONNECTIONS):
            await group.spawn(
                _send_requests, target.port, until, counts, index
            )
    if group.exception is not None:
        raise group.exception
    elapsed = time.perf_counter() - start
    count = sum(counts)
    return Rate(count / elapsed, count / (target.cpu_s() - cpu_start))


async def _send_requests(
    port: int, until: float, counts: list[int], index: int
) -> None:
    sock = await curio.open_connection('127.0.0.1', port)
    while time.perf_counter() < until:
        await sock.sendall(REQUEST)
        response = b''
        while not response.endswith(RESPONSE_END):
            data = await sock.recv(READ_BYTES)
            if not data:
                raise ConnectionError('the server closed the connection')
            response += data
        counts[index] += 1
    await sock.close()


async def compare(
    bare: Target, ours: Target, rounds: int, seconds: float
) -> list[tuple[Rate, Rate]]:
    """Measure both servers alternately; return pairs of bare and ours."""
    return [
        (await measure(bare, seconds), await measure(ours, seconds))
        for _ in range(rounds)
    ]


@app.command
def serve(kind: typing.Literal['bare', 'ours']) -> None:
    """Run one server until it is terminated.

    Parameters
    ----------
    kind
        Which server to run.
    """
    curio.run(serve_bare if kind == BARE else serve_ours)


@app.command
def drive(
    bare_port: int,
    bare_pid: int,
    ours_port: int,
    ours_pid: int,
    *,
    rounds: int = 5,
    seconds: float = 2.0,
) -> None:
    """Send requests to both servers alternately and print the rates.

    Parameters
    ----------
    bare_port
        Port of the bare server.
    bare_pid
        Process id of the bare server.
    ours_port
        Port of the other server.
    ours_pid
        Process id of the other server.
    rounds
        Number of measurements of each server.
    seconds
        Duration of a measurement.
    """
    bare, ours = Target(bare_port, bare_pid), Target(ours_port, ours_pid)
    pairs = curio.run(compare, bare, ours, rounds, seconds)
    ratios = [ours.per_cpu_s / bare.per_cpu_s for bare, ours in pairs]
    summary = {
        'bare_per_s': [round(bare.per_s) for bare, _ in pairs],
        'ours_per_s': [round(ours.per_s) for _, ours in pairs],
        'bare_per_cpu_s': [round(bare.per_cpu_s) for bare, _ in pairs],
        'ours_per_cpu_s': [round(ours.per_cpu_s) for _, ours in pairs],
        'ratio': round(statistics.median(ratios), 3),
    }
    print(json.dumps(summary))


if __name__ == '__main__':
    sys.exit(app())
