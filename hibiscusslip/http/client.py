"""Call an HTTP server over pooled connections."""

import collections.abc
import functools
import time

import curio
import h11

from hibiscusslip.http import _exchange
from hibiscusslip.http import connection_budget
from hibiscusslip.http import exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages
from hibiscusslip.http import uplink as uplinks

CACHED_HEADS = 1024
HEAD_BYTES = 300  # of a usual request, with what the network adds


class Pool:
    """Call one server over at most `max_connections` connections.

    Requests are never retried. A call that finds all connections in use
    waits for one within its timeout. With an `uplink`, calls allow for the
    time that their requests wait for the host's link. Once the `budget` of
    the host is exceeded, at most one idle connection is kept; once it is
    scarce, none is.
    """

    def __init__(
        self,
        address: str,
        port: int,
        bounds: limits.Limits = limits.DEFAULT,
        max_connections: int = 4,
        uplink: uplinks.Uplink | None = None,
        budget: connection_budget.ConnectionBudget | None = None,
    ) -> None:
        self._address = address
        self._port = port
        self._limits = bounds
        self._uplink = uplink
        self._budget = budget
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
        began: collections.abc.Callable[[], None] | None = None,
    ) -> messages.Response:
        """Send a request and return its complete response.

        `timeout` in seconds bounds silence, not the transfer of a large
        request or response. The request has to be written within `timeout`,
        which includes the wait for a connection. From then on the first byte
        of the response has to arrive within `timeout` plus `wait`, for which
        the server may hold the request open: while this process was late to
        write, the server wasn't silent. Each further part has to follow within
        `timeout`, and the body at `min_bytes_per_s` on average. `began` is
        called once the first byte has arrived. Raises NotSent
        when no byte of the request was written, CallUnsettled when it may have
        been handled, MalformedResponse when the response is invalid or too
        large.
        """
        head = self._build_head(method, path, body, headers)
        progress = _exchange.Progress()
        upload_time = self._add_to_uplink(len(body))
        max_wait = timeout + wait + upload_time
        try:
            async with curio.timeout_after(timeout + upload_time):
                conn = await self._send(head, body, progress, upload_time)
            return await self._receive(
                conn, progress, timeout, max_wait, began
            )
        except curio.TaskTimeout as exc:
            raise progress.error_for(
                progress.describe_silence(timeout, max_wait)
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

    def _add_to_uplink(self, size: int) -> float:
        """Return the time that the link may need for a request, in seconds."""
        if self._uplink is None:
            return 0.0
        return self._uplink.add(size + HEAD_BYTES, time.monotonic())

    async def _send(
        self,
        head: h11.Request,
        body: bytes,
        progress: _exchange.Progress,
        upload_time: float,
    ) -> _exchange.ClientConnection:
        """Send a request; return its connection.

        The connection holds a slot, which _receive() releases.
        """
        await self._slots.acquire()
        try:
            conn = await self._acquire()
            try:
                conn.allow_upload_time(upload_time)
                await conn.send(head, body, progress)
            except BaseException:
                await conn.abort()
                raise
        except BaseException:
            await self._slots.release()
            raise
        return conn

    async def _receive(
        self,
        conn: _exchange.ClientConnection,
        progress: _exchange.Progress,
        max_silence: float,
        max_wait: float,
        began: collections.abc.Callable[[], None] | None,
    ) -> messages.Response:
        """Return the complete response and free its connection."""
        try:
            async with curio.timeout_after(max_wait):
                await conn.await_response(progress)
            if began is not None:
                began()
            response = await conn.read_response(progress, max_silence)
            if conn.prepare_reuse() and self._may_keep():
                self._idle.append(conn)
            else:
                await conn.close()
            return response
        except BaseException:
            await conn.abort()
            raise
        finally:
            await self._slots.release()

    def _may_keep(self) -> bool:
        """Return True if one more idle connection may be kept."""
        if self._closed:
            return False
        if self._budget is None:
            return True
        return not (
            self._budget.scarce or (self._idle and self._budget.exceeded)
        )

    async def _acquire(self) -> _exchange.ClientConnection:
        if self._closed:
            raise exceptions.NotSent('the pool is closed; create a new one')
        now = time.monotonic()
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable(now):
                return conn
            await conn.close()
        return await _exchange.connect(
            self._address, self._port, self._limits, self._budget
        )


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
