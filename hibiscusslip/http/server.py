"""Provide an HTTP server."""

import contextlib
import time
import typing

import curio

from hibiscusslip.http import _connection
from hibiscusslip.http import _eviction
from hibiscusslip.http import _sockets
from hibiscusslip.http import intake as intakes
from hibiscusslip.http import limits

Handler = _connection.Handler
Reason = intakes.Reason

ACCEPT_RETRY_S = 0.1
DRAIN_POLL_S = 0.02


class Server:
    """Serve one handler on one address, with a task per connection.

    `intake` bounds what all connections together make the process hold;
    servers may share one.
    """

    def __init__(
        self,
        handler: Handler,
        bounds: limits.Limits = limits.DEFAULT,
        intake: intakes.Intake | None = None,
    ) -> None:
        self._handler = handler
        self._limits = bounds
        self._intake = intake or intakes.Intake()
        self._listener: typing.Any = None
        self._accept_task: typing.Any = None
        self._connections: dict[_connection.Connection, typing.Any] = {}
        self._refusing: dict[_connection.Connection, typing.Any] = {}
        self._draining = False
        self._done = curio.Event()

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def listen(self, address: str, port: int) -> int:
        """Bind and listen; return the bound port.

        Port 0 requests a free one. Raises OSError.
        """
        self._listener = _sockets.listen(
            address, port, self._limits.backlog, intakes.RECEIVE_BUFFER_BYTES
        )
        return self._listener.getsockname()[1]

    async def serve(self) -> None:
        """Serve until cancelled or drained."""
        self._accept_task = await curio.spawn(
            self._accept_connections, daemon=True
        )
        sweeper = await curio.spawn(self._expire_overdue, daemon=True)
        try:
            await self._done.wait()
        finally:
            await sweeper.cancel()
            await self._stop_accepting()
            for tasks in (self._connections, self._refusing):
                for task in list(tasks.values()):
                    await task.cancel()

    async def drain(self, grace: float) -> int:
        """Stop accepting, finish the requests in flight, then close.

        Waits up to `grace` seconds and returns the number of requests that
        were aborted after that.
        """
        start = time.monotonic()
        self._draining = True
        await self._accept_pending()
        await self._stop_accepting()
        for conn in self._connections:
            conn.activity.draining = True
        while self._connections and time.monotonic() < start + grace:
            self._close_idle(time.monotonic(), start)
            await curio.sleep(DRAIN_POLL_S)
        aborted = sum(conn.activity.busy for conn in self._connections)
        for conn in self._connections:
            conn.shut_down()
        await self._done.set()
        return aborted

    def _close_idle(self, now: float, start: float) -> None:
        for conn in self._connections:
            since = max(conn.activity.since, start)
            if (
                not conn.activity.busy
                and now >= since + self._limits.drain_idle_timeout
            ):
                conn.shut_down()

    async def _accept_connections(self) -> None:
        while True:
            try:
                sock, peer = await self._listener.accept()
            except ConnectionError:
                continue
            except OSError:
                self._make_room(time.monotonic())  # no descriptor is left
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            await self._start_connection(sock, peer)
            # New connections mustn't keep the others waiting.
            await curio.sleep(0)

    async def _accept_pending(self) -> None:
        """Accept the connections in the backlog.

        Closing the listener would reset them.
        """
        if self._accept_task is not None:
            await self._accept_task.cancel()
        while self._listener is not None:
            try:
                raw, peer = self._listener._socket.accept()
            except OSError:
                return
            await self._start_connection(curio.io.Socket(raw), peer)

    async def _stop_accepting(self) -> None:
        if self._accept_task is not None:
            await self._accept_task.cancel()
        if self._listener is not None:
            await self._listener.close()
            self._listener = None

    async def _start_connection(
        self, sock: typing.Any, peer: typing.Any
    ) -> None:
        with contextlib.suppress(OSError):
            _sockets.set_options(sock, self._limits.tcp_user_timeout)
        conn = _connection.Connection(
            sock,
            f'{peer[0]}:{peer[1]}',
            self._handler,
            self._limits,
            self._intake,
        )
        conn.activity.draining = self._draining
        if self._admit(conn, time.monotonic()):
            self._connections[conn] = await curio.spawn(
                self._run, conn, daemon=True
            )
        elif len(self._refusing) < self._limits.max_refusals:
            self._refusing[conn] = await curio.spawn(
                self._refuse, conn, daemon=True
            )
        else:
            self._intake.refuse(Reason.TOO_MANY_CONNECTIONS, conn.peer)
            await conn.close()

    def _admit(self, conn: _connection.Connection, now: float) -> bool:
        """Account for a new connection; return False if there is no room."""
        limit = self._intake.max_connections(self._limits.max_connections)
        if len(self._connections) >= limit and not self._make_room(now):
            return False
        return conn.admit() or (self._make_room(now) and conn.admit())

    def _make_room(self, now: float) -> bool:
        """Shut an idle or slow connection down; return False for none."""
        conn = _eviction.choose(
            self._connections, now, self._limits.evict_after
        )
        if conn is None:
            return False
        del self._connections[conn]
        conn.make_room()
        return True

    async def _run(self, conn: _connection.Connection) -> None:
        try:
            await conn.run()
        finally:
            self._connections.pop(conn, None)

    async def _refuse(self, conn: _connection.Connection) -> None:
        try:
            await conn.refuse(
                Reason.TOO_MANY_CONNECTIONS, 'try again later or another host'
            )
        finally:
            self._refusing.pop(conn, None)

    async def _expire_overdue(self) -> None:
        while True:
            await curio.sleep(self._limits.sweep_interval)
            now = time.monotonic()
            for conn in (*self._connections, *self._refusing):
                if conn.activity.deadline < now:
                    conn.expire()
            self._close_surplus(now)

    def _close_surplus(self, now: float) -> None:
        """Close connections while there are more than there may be."""
        limit = self._intake.max_connections(self._limits.max_connections)
        while len(self._connections) > limit and self._make_room(now):
            pass
