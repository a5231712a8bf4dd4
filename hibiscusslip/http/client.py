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
    ) -> messages.Response:
        """Send a request and return its complete response.

        `timeout` in seconds includes the wait for a connection. Raises
        NotSent when no byte of the request was written, CallUnsettled when
        it may have been handled, MalformedResponse when the response is
        invalid or too large.
        """
        head = self._build_head(method, path, body, headers)
        progress = _exchange.Progress()
        try:
            async with curio.timeout_after(timeout):
                async with self._slots:
                    return await self._perform(head, body, progress)
        except curio.TaskTimeout as exc:
            raise progress.error_for(
                f'{progress.describe()} within {timeout:g} s'
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

    async def _perform(
        self, head: h11.Request, body: bytes, progress: _exchange.Progress
    ) -> messages.Response:
        conn = await self._acquire()
        try:
            response = await conn.exchange(head, body, progress)
        except BaseException:
            await conn.abort()
            raise
        if conn.prepare_reuse() and not self._closed:
            self._idle.append(conn)
        else:
            await conn.close()
        return response

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
