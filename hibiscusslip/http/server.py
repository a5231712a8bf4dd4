"""Listen for HTTP requests and serve them."""

import contextlib
import time
import typing

import curio

from hibiscusslip.http import _connection
from hibiscusslip.http import _sockets
from hibiscusslip.http import limits
from hibiscusslip.http import messages

Handler = _connection.Handler

ACCEPT_RETRY_S = 0.1
DRAIN_POLL_S = 0.02


class Server:
    """Serve one handler on one address; each connection has its task."""

    def __init__(
        self, handler: Handler, bounds: limits.Limits = limits.DEFAULT
    ) -> None:
        self._handler = handler
        self._limits = bounds
        self._listener: typing.Any = None
        self._accepting: typing.Any = None
        self._connections: dict[_connection.Connection, typing.Any] = {}
        self._draining = False
        self._done = curio.Event()

    @property
    def open_connections(self) -> int:
        """Return how many connections are open."""
        return len(self._connections)

    async def listen(self, address: str, port: int) -> int:
        """Bind and listen; return the bound port. Raises OSError."""
        self._listener = _sockets.listen(address, port, self._limits.backlog)
        return self._listener.getsockname()[1]

    async def serve(self) -> None:
        """Serve until cancelled or drained."""
        self._accepting = await curio.spawn(self._accept, daemon=True)
        sweeper = await curio.spawn(self._sweep, daemon=True)
        try:
            await self._done.wait()
        finally:
            await sweeper.cancel()
            await self._stop_accepting()
            for task in list(self._connections.values()):
                await task.cancel()

    async def drain(self, grace: float) -> int:
        """Stop accepting, answer what is in flight, then close.

        Waits up to `grace` seconds and returns how many requests had to be
        cut off after that.
        """
        start = time.monotonic()
        self._draining = True
        await self._take_pending()
        await self._stop_accepting()
        for conn in self._connections:
            conn.watch.draining = True
        while self._connections and time.monotonic() < start + grace:
            self._close_idle(time.monotonic(), start)
            await curio.sleep(DRAIN_POLL_S)
        cut = sum(conn.watch.busy for conn in self._connections)
        for conn in self._connections:
            conn.cut()
        await self._done.set()
        return cut

    def _close_idle(self, now: float, start: float) -> None:
        for conn in self._connections:
            since = max(conn.watch.idle_since, start)
            if (
                not conn.watch.busy
                and now >= since + self._limits.drain_idle_timeout
            ):
                conn.cut()

    async def _accept(self) -> None:
        while True:
            try:
                sock, peer = await self._listener.accept()
            except ConnectionError:
                continue
            except OSError:
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            await self._start(sock, peer)

    async def _take_pending(self) -> None:
        """Accept what the kernel has queued, so that closing resets none."""
        if self._accepting is not None:
            await self._accepting.cancel()
        while self._listener is not None:
            try:
                raw, peer = self._listener._socket.accept()
            except OSError:
                return
            await self._start(curio.io.Socket(raw), peer)

    async def _stop_accepting(self) -> None:
        if self._accepting is not None:
            await self._accepting.cancel()
        if self._listener is not None:
            await self._listener.close()
            self._listener = None

    async def _start(self, sock: typing.Any, peer: typing.Any) -> None:
        with contextlib.suppress(OSError):
            _sockets.set_options(sock, self._limits.tcp_user_timeout)
        conn = _connection.Connection(
            sock, f'{peer[0]}:{peer[1]}', self._handler, self._limits
        )
        conn.watch.draining = self._draining
        full = len(self._connections) >= self._limits.max_connections
        work = self._refuse if full else self._run
        self._connections[conn] = await curio.spawn(work, conn, daemon=True)

    async def _run(self, conn: _connection.Connection) -> None:
        try:
            await conn.run()
        finally:
            self._connections.pop(conn, None)

    async def _refuse(self, conn: _connection.Connection) -> None:
        response = messages.problem_response(
            503, 'too many connections', 'try again later or another host'
        )
        try:
            await conn.refuse(response)
        finally:
            self._connections.pop(conn, None)

    async def _sweep(self) -> None:
        while True:
            await curio.sleep(self._limits.sweep_interval)
            now = time.monotonic()
            for conn in self._connections:
                if conn.watch.deadline < now:
                    conn.expire()
