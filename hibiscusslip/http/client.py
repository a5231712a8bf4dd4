"""Call an HTTP server over pooled connections."""

import functools
import time

import curio
import h11

from hibiscusslip.http import _exchange
from hibiscusslip.http import exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages

CACHED_HEADS = 1024


class Pool:
    """Call one server over at most `max_connections` connections.

    Requests are never retried. A call that finds all connections in use
    waits for one within its timeout.
    """

    def __init__(
        self,
        address: str,
        port: int,
        bounds: limits.Limits = limits.DEFAULT,
        max_connections: int = 4,
    ) -> None:
        self._address = address
        self._port = port
        self._limits = bounds
        self._host = f'{address}:{port}'.encode('ascii')
        self._slots = curio.Semaphore(max_connections)
        self._idle: list[_exchange.ClientConnection] = []
        self._closed = False

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
        timeout: float,
        wait: float = 0.0,
    ) -> messages.Response:
        """Send a request and return its complete response.

        `timeout` in seconds bounds silence, not the transfer of a large
        response: its first byte has to arrive within `timeout`, which
        includes the wait for a connection, plus `wait`, which is for a server
        that may hold the request open, or for a large body to send. Each
        further part has to follow within `timeout`, and the body at
        `min_bytes_per_s` on average. Raises NotSent when no byte of the
        request was written, CallUnsettled when it may have been handled,
        MalformedResponse when the response is invalid or too large.
        """
        head = self._build_head(method, path, body, headers)
        progress = _exchange.Progress()
        try:
            async with curio.timeout_after(timeout + wait):
                conn = await self._start(head, body, progress)
            return await self._finish(conn, progress, timeout)
        except curio.TaskTimeout as exc:
            raise progress.error_for(
                progress.describe_silence(timeout, timeout + wait)
            ) from exc

    async def close(self) -> None:
        """Close the idle connections and refuse further calls."""
        self._closed = True
        while self._idle:
            await self._idle.pop().close()

    def _build_head(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str] | None,
    ) -> h11.Request:
        has_length = bool(body) or method not in ('GET', 'HEAD')
        size = len(body) if has_length else None
        items = tuple(headers.items()) if headers else ()
        try:
            return _make_head(method, path, self._host, size, items)
        except (h11.LocalProtocolError, UnicodeError) as exc:
            raise exceptions.NotSent(
                f'invalid request: {exc}; correct the path or the headers'
            ) from exc

    async def _start(
        self, head: h11.Request, body: bytes, progress: _exchange.Progress
    ) -> _exchange.ClientConnection:
        """Send a request; return its connection once the response begins.

        The connection holds a slot, which _finish() releases.
        """
        await self._slots.acquire()
        try:
            conn = await self._acquire()
            try:
                await conn.send(head, body, progress)
                await conn.await_response(progress)
            except BaseException:
                await conn.abort()
                raise
        except BaseException:
            await self._slots.release()
            raise
        return conn

    async def _finish(
        self,
        conn: _exchange.ClientConnection,
        progress: _exchange.Progress,
        max_silence: float,
    ) -> messages.Response:
        """Return the complete response and free its connection."""
        try:
            response = await conn.read_response(progress, max_silence)
            if conn.prepare_reuse() and not self._closed:
                self._idle.append(conn)
            else:
                await conn.close()
            return response
        except BaseException:
            await conn.abort()
            raise
        finally:
            await self._slots.release()

    async def _acquire(self) -> _exchange.ClientConnection:
        if self._closed:
            raise exceptions.NotSent('the pool is closed; create a new one')
        now = time.monotonic()
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable(now):
                return conn
            await conn.close()
        return await _exchange.connect(self._address, self._port, self._limits)


@functools.lru_cache(CACHED_HEADS)
def _make_head(
    method: str,
    path: str,
    host: bytes,
    size: int | None,
    items: tuple[tuple[str, str], ...],
) -> h11.Request:
    has_host = any(name == 'host' for name, _ in items)
    fields = [] if has_host else [(b'host', host)]
    if size is not None:
        fields.append((b'content-length', b'%d' % size))
    for name, value in items:
        fields.append((name.encode('ascii'), value.encode('latin-1')))
    return h11.Request(method=method, target=path, headers=fields)
