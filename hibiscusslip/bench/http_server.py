"""Compare the HTTP server with a bare curio and h11 server.

`serve KIND` runs one server and prints its port and process id; `drive`
sends requests to both by turns. The ratio is that of requests per second of
processor time, so that other work on the machine counts little.
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
END_OF_ANSWER = b'ok'
USER_FIELD = 11
SYSTEM_FIELD = 12
BARE = 'bare'
OURS = 'ours'

app = cyclopts.App(name='http-server', help=__doc__)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Name a running server."""

    port: int
    pid: int

    def cpu_s(self) -> float:
        """Return the processor time that the server has used."""
        text = pathlib.Path(f'/proc/{self.pid}/stat').read_text()
        fields = text.rpartition(')')[2].split()
        ticks = int(fields[USER_FIELD]) + int(fields[SYSTEM_FIELD])
        return ticks / os.sysconf('SC_CLK_TCK')


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """Hold requests per second, by the clock and of processor time."""

    per_s: float
    per_cpu_s: float


class OkHandler(server.Handler):
    """Answer every request with two bytes."""

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the answer."""
        return messages.Response(200, {}, b'ok')


async def serve_bare_connection(sock: typing.Any, peer: typing.Any) -> None:
    """Answer requests as the least code with h11 does."""
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
    """Serve on a free port and print it."""
    sock = curio.socket.socket()
    sock.bind(('127.0.0.1', 0))
    sock.listen(CONNECTIONS * 2)
    print(sock.getsockname()[1], os.getpid(), flush=True)
    await curio.network.run_server(sock, serve_bare_connection)


async def serve_ours() -> None:
    """Serve on a free port and print it."""
    running = server.Server(OkHandler())
    port = await running.listen('127.0.0.1', 0)
    print(port, os.getpid(), flush=True)
    await running.serve()


async def measure(target: Target, seconds: float) -> Rate:
    """Return the rate over many connections."""
    counts = [0] * CONNECTIONS
    start, cpu_start = time.perf_counter(), target.cpu_s()
    until = start + seconds
    async with curio.TaskGroup() as group:
        for index in range(CONNECTIONS):
            await group.spawn(_ask, target.port, until, counts, index)
    if group.exception is not None:
        raise group.exception
    took = time.perf_counter() - start
    count = sum(counts)
    return Rate(count / took, count / (target.cpu_s() - cpu_start))


async def _ask(port: int, until: float, counts: list[int], at: int) -> None:
    sock = await curio.open_connection('127.0.0.1', port)
    while time.perf_counter() < until:
        await sock.sendall(REQUEST)
        answer = b''
        while not answer.endswith(END_OF_ANSWER):
            piece = await sock.recv(READ_BYTES)
            if not piece:
                raise ConnectionError('the server closed the connection')
            answer += piece
        counts[at] += 1
    await sock.close()


async def compare(
    bare: Target, ours: Target, rounds: int, seconds: float
) -> list[tuple[Rate, Rate]]:
    """Measure both servers by turns; return pairs of bare and ours."""
    return [
        (await measure(bare, seconds), await measure(ours, seconds))
        for _ in range(rounds)
    ]


@app.command
def serve(kind: typing.Literal['bare', 'ours']) -> None:
    """Run one server until it is ended.

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
    """Send requests to both servers by turns and print the rates.

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
        How often to measure each.
    seconds
        How long a round takes.
    """
    bare, ours = Target(bare_port, bare_pid), Target(ours_port, ours_pid)
    pairs = curio.run(compare, bare, ours, rounds, seconds)
    ratios = [ours.per_cpu_s / bare.per_cpu_s for bare, ours in pairs]
    shown = {
        'bare_per_s': [round(bare.per_s) for bare, _ in pairs],
        'ours_per_s': [round(ours.per_s) for _, ours in pairs],
        'bare_per_cpu_s': [round(bare.per_cpu_s) for bare, _ in pairs],
        'ours_per_cpu_s': [round(ours.per_cpu_s) for _, ours in pairs],
        'ratio': round(statistics.median(ratios), 3),
    }
    print(json.dumps(shown))


if __name__ == '__main__':
    sys.exit(app())
