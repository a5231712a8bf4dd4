"""Serve the requests of one connection, one after the other."""

import abc
import math
import socket
import time
import typing
import urllib.parse

import curio
import curio.meta
import h11
from loguru import logger

from hibiscusslip.http import _sockets
from hibiscusslip.http import exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages

READ_BYTES = 64 * 1024
WRITE_BYTES = 256 * 1024
LINGER_BYTES = 1024 * 1024
NO_BODY_STATUSES = (204, 304)
NEVER = math.inf


class Handler(abc.ABC):
    """Answer requests."""

    @abc.abstractmethod
    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response to one request.

        Raising DropConnection closes the connection without an answer; any
        other exception is logged and answered with status 500.
        """


class Connection:
    """Hold one accepted connection; `deadline` is checked by the server."""

    __slots__ = (
        '_conn',
        '_handler',
        '_limits',
        '_sock',
        '_peer',
        'busy',
        'deadline',
        'draining',
        'idle_since',
        'reading',
        'timed_out',
    )

    def __init__(
        self,
        sock: typing.Any,
        peer: str,
        handler: Handler,
        bounds: limits.Limits,
    ) -> None:
        self._sock = sock
        self._peer = peer
        self._handler = handler
        self._limits = bounds
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=bounds.max_header_bytes
        )
        self.busy = False
        self.reading = False
        self.draining = False
        self.timed_out = False
        self.idle_since = time.monotonic()
        self.deadline = NEVER

    async def run(self) -> None:
        """Answer requests until either side ends the connection."""
        try:
            await self._serve()
        except exceptions.DropConnection:
            _sockets.cut(self._sock)
        except OSError:
            pass
        finally:
            await self._sock.close()

    def expire(self) -> None:
        """End a connection that is overdue; its task wakes and closes."""
        self.timed_out = True
        self.deadline = NEVER
        how = socket.SHUT_RD if self.reading else socket.SHUT_RDWR
        _sockets.cut(self._sock, how)

    def cut(self) -> None:
        """Cut the connection off, whatever it is doing."""
        _sockets.cut(self._sock)

    async def refuse(self, response: messages.Response) -> None:
        """Answer without reading a request, then close."""
        try:
            await self._finish(response)
        except OSError:
            pass
        finally:
            await self._sock.close()

    async def _serve(self) -> None:
        while True:
            try:
                req = await self._receive()
            except h11.RemoteProtocolError as exc:
                await self._refuse_input(exc)
                return
            if req is None:
                return
            await self._answer(req)
            if self._conn.our_state is not h11.DONE:
                await self._linger()
                return
            self._conn.start_next_cycle()

    async def _receive(self) -> messages.Request | None:
        head = await self._receive_head()
        if head is None:
            return None
        body = await self._receive_body()
        self.reading = False
        self.deadline = NEVER
        return self._request(head, body)

    async def _receive_head(self) -> h11.Request | None:
        self.reading = True
        self.idle_since = time.monotonic()
        self.deadline = self.idle_since + self._limits.idle_timeout
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA:
                if not self.busy and self._conn.trailing_data[0]:
                    self._mark_busy()
                if await self._read() and not self.busy:
                    self._mark_busy()
            elif type(event) is h11.Request:
                self._mark_busy()
                return event
            else:
                return None

    def _mark_busy(self) -> None:
        if not self.busy:
            self.busy = True
            self.deadline = time.monotonic() + self._limits.read_timeout

    async def _receive_body(self) -> bytes:
        conn = self._conn
        event = conn.next_event()
        if type(event) is h11.EndOfMessage:
            return b''
        if conn.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            await self._sock.sendall(conn.send(go_on))
        pieces: list[bytes] = []
        size = 0
        while type(event) is not h11.EndOfMessage:
            if event is h11.NEED_DATA:
                await self._read()
            elif type(event) is h11.Data:
                size += len(event.data)
                self._check_size(size)
                pieces.append(bytes(event.data))
                self.deadline += len(event.data) / self._limits.min_bytes_per_s
            event = conn.next_event()
        return b''.join(pieces)

    def _check_size(self, size: int) -> None:
        if size > self._limits.max_body_bytes:
            raise h11.RemoteProtocolError(
                f'body over {self._limits.max_body_bytes} bytes; send less',
                error_status_hint=413,
            )

    async def _read(self) -> bool:
        data = await self._sock.recv(READ_BYTES)
        if not data and self.timed_out and self.busy:
            raise h11.RemoteProtocolError(
                'request took too long; send it faster', error_status_hint=408
            )
        self._conn.receive_data(data)
        return bool(data)

    def _request(self, head: h11.Request, body: bytes) -> messages.Request:
        target = head.target.decode('ascii')
        path, _, query = target.partition('?')
        if '%' in path:
            path = urllib.parse.unquote(path)
        return messages.Request(
            head.method.decode('ascii'),
            path,
            dict(urllib.parse.parse_qsl(query)) if query else {},
            {k.decode('ascii'): v.decode('latin-1') for k, v in head.headers},
            body,
            self._peer,
        )

    async def _answer(self, req: messages.Request) -> None:
        try:
            response = await self._handler.handle(req)
        except exceptions.DropConnection:
            raise
        except Exception:
            logger.exception('{} {} failed', req.method, req.path)
            response = messages.problem(
                500, 'internal error', 'try again; see the log of this process'
            )
        try:
            await self._respond(response, req.method == 'HEAD')
        finally:
            self.busy = False

    async def _respond(self, response: messages.Response, head: bool) -> None:
        body = response.body
        silent = head or response.status in NO_BODY_STATUSES
        if isinstance(body, bytes):
            size = None if response.status in NO_BODY_STATUSES else len(body)
            out = self._send_head(response, size)
            if body and not silent:
                out += self._conn.send(h11.Data(data=body))
            await self._write(out + self._conn.send(h11.EndOfMessage()))
        else:
            await self._stream(self._send_head(response, None), body, silent)

    def _send_head(
        self, response: messages.Response, size: int | None
    ) -> bytes:
        headers = [
            (name.encode('ascii'), value.encode('latin-1'))
            for name, value in response.headers.items()
        ]
        if self.draining:
            headers.append((b'connection', b'close'))
        if size is not None:
            headers.append((b'content-length', b'%d' % size))
        return self._conn.send(
            h11.Response(status_code=response.status, headers=headers)
        )

    async def _stream(
        self, out: bytes, body: typing.Any, silent: bool
    ) -> None:
        async with curio.meta.finalize(body) as pieces:
            if not silent:
                out = await self._send_pieces(out, pieces)
        await self._write(out + self._conn.send(h11.EndOfMessage()))

    async def _send_pieces(self, out: bytes, pieces: typing.Any) -> bytes:
        try:
            async for piece in pieces:
                if piece:
                    out += self._conn.send(h11.Data(data=piece))
                    await self._write(out)
                    out = b''
        except OSError:
            raise
        except Exception as exc:
            logger.exception('a streamed response failed')
            raise exceptions.DropConnection('stream failed') from exc
        return out

    async def _write(self, data: bytes) -> None:
        timeout = self._limits.write_timeout
        self.deadline = time.monotonic() + timeout
        if len(data) <= WRITE_BYTES:
            await self._sock.sendall(data)
        else:
            view = memoryview(data)
            for start in range(0, len(data), WRITE_BYTES):
                await self._sock.sendall(view[start : start + WRITE_BYTES])
                self.deadline = time.monotonic() + timeout
        self.deadline = NEVER

    async def _refuse_input(self, exc: h11.RemoteProtocolError) -> None:
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self.reading = False
        status = exc.error_status_hint
        response = messages.problem(status, 'bad request', str(exc))
        await self._finish(response)

    async def _finish(self, response: messages.Response) -> None:
        self.draining = True
        await self._respond(response, False)
        await self._linger()

    async def _linger(self) -> None:
        _sockets.cut(self._sock, socket.SHUT_WR)
        self.deadline = time.monotonic() + self._limits.linger
        left = LINGER_BYTES
        while left > 0:
            data = await self._sock.recv(READ_BYTES)
            if not data:
                return
            left -= len(data)
