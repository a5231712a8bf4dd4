"""Compare the HTTP server with a bare curio and h11 server.

`serve KIND` runs one server and prints its port; `drive BARE OURS` sends
requests to both by turns and prints the rates and their ratio.
"""

import dataclasses
import json
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
BARE = 'bare'
OURS = 'ours'

app = cyclopts.App(name='http-server', help=__doc__)


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Hold requests per second of each round."""

    bare: list[float]
    ours: list[float]

    @property
    def ratio(self) -> float:
        """Return the ratio of the medians."""
        return statistics.median(self.ours) / statistics.median(self.bare)


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
    print(sock.getsockname()[1], flush=True)
    await curio.network.run_server(sock, serve_bare_connection)


async def serve_ours() -> None:
    """Serve on a free port and print it."""
    running = server.Server(OkHandler())
    print(await running.listen('127.0.0.1', 0), flush=True)
    await running.serve()


async def measure(port: int, seconds: float) -> float:
    """Return the requests per second over many connections."""
    counts = [0] * CONNECTIONS
    start = time.perf_counter()
    async with curio.TaskGroup() as group:
        for index in range(CONNECTIONS):
            await group.spawn(_ask, port, start + seconds, counts, index)
    if group.exception is not None:
        raise group.exception
    return sum(counts) / (time.perf_counter() - start)


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


async def compare(bare: int, ours: int, rounds: int, seconds: float) -> Rates:
    """Measure both servers by turns."""
    rates = Rates([], [])
    for _ in range(rounds):
        rates.bare.append(await measure(bare, seconds))
        rates.ours.append(await measure(ours, seconds))
    return rates


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
    bare: int, ours: int, *, rounds: int = 5, seconds: float = 2.0
) -> None:
    """Send requests to both servers by turns and print the rates.

    Parameters
    ----------
    bare
        Port of the bare server.
    ours
        Port of the other server.
    rounds
        How often to measure each.
    seconds
        How long a round takes.
    """
    rates = curio.run(compare, bare, ours, rounds, seconds)
    shown = {
        'bare_per_s': [round(rate) for rate in rates.bare],
        'ours_per_s': [round(rate) for rate in rates.ours],
        'ratio': round(rates.ratio, 3),
    }
    print(json.dumps(shown))


if __name__ == '__main__':
    sys.exit(app())
