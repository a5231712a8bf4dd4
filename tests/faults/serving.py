"""Run HTTP servers and clients within one curio loop."""

import contextlib

import curio

from hibiscusslip.http import limits
from hibiscusslip.http import messages
from hibiscusslip.http import server

LOOP_TIMEOUT_S = 30.0
SHORT_TIMEOUTS = limits.Limits(
    read_timeout=0.3,
    write_timeout=0.3,
    idle_timeout=5.0,
    drain_idle_timeout=0.1,
    linger=0.3,
    sweep_interval=0.05,
    max_body_bytes=1024 * 1024,
)


class Echo(server.Handler):
    """Respond with the result of a function, or echo the request."""

    def __init__(self, answer=None):
        self.requests = []
        self._answer = answer

    async def handle(self, req):
        """Record the request and return the response."""
        self.requests.append(req)
        if self._answer is None:
            return messages.Response(200, {}, req.body or req.path.encode())
        return await self._answer(req)


def run(work, *args):
    """Run a coroutine function with a timeout."""

    async def run_with_timeout():
        async with curio.timeout_after(LOOP_TIMEOUT_S):
            return await work(*args)

    return curio.run(run_with_timeout)


@contextlib.asynccontextmanager
async def run_server(handler, bounds=SHORT_TIMEOUTS):
    """Run a server for `handler`; yield the server and its port."""
    running = server.Server(handler, bounds)
    port = await running.listen('127.0.0.1', 0)
    task = await curio.spawn(running.serve)
    try:
        yield running, port
    finally:
        await task.cancel()


async def send(port, *pieces, pause=0.0):
    """Send raw bytes and return everything received until the end."""
    sock = await curio.open_connection('127.0.0.1', port)
    async with sock:
        for piece in pieces:
            await sock.sendall(piece)
            await curio.sleep(pause)
        return await read_all(sock)


async def read_all(sock):
    """Return everything received until the peer closes or resets."""
    received = b''
    try:
        while piece := await sock.recv(65536):
            received += piece
    except ConnectionError:
        pass
    return received
