"""Write responses to a connection."""

import functools
import socket
import time
import typing

import curio
import curio.meta
import h11
from loguru import logger

from hibiscusslip.http import _sockets
from hibiscusslip.http import _watch
from hibiscusslip.http import exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages

READ_BYTES = 64 * 1024
WRITE_BYTES = 256 * 1024
LINGER_BYTES = 1024 * 1024
CACHED_HEADS = 512
NO_BODY_STATUSES = (204, 304)
END = h11.EndOfMessage()


class Sender:
    """Write one response after the other."""

    __slots__ = ('_conn', '_limits', '_sock', '_watch')

    def __init__(
        self,
        sock: typing.Any,
        conn: h11.Connection,
        bounds: limits.Limits,
        watch: _watch.Watch,
    ) -> None:
        self._sock = sock
        self._conn = conn
        self._limits = bounds
        self._watch = watch

    async def respond(
        self, response: messages.Response, only_head: bool
    ) -> None:
        """Write a response; raises OSError and DropConnection."""
        body = response.body
        silent = only_head or response.status in NO_BODY_STATUSES
        if not isinstance(body, bytes):
            await self._stream(response, body, silent)
            return
        size = None if response.status in NO_BODY_STATUSES else len(body)
        out = self._send_head(response, size)
        if body and not silent:
            out += self._conn.send(h11.Data(data=body))
        await self._write(out + self._conn.send(END))

    async def linger(self) -> None:
        """End the answers and drop what the peer still sends.

        Closing with unread input would reset the connection, and the peer
        could lose the answer.
        """
        _sockets.cut(self._sock, socket.SHUT_WR)
        self._watch.deadline = time.monotonic() + self._limits.linger
        left = LINGER_BYTES
        while left > 0:
            data = await self._sock.recv(READ_BYTES)
            if not data:
                return
            left -= len(data)

    def _send_head(
        self, response: messages.Response, size: int | None
    ) -> bytes:
        items = tuple(response.headers.items())
        head = _make_head(response.status, items, size, self._watch.draining)
        return self._conn.send(head)

    async def _stream(
        self, response: messages.Response, body: typing.Any, silent: bool
    ) -> None:
        out = self._send_head(response, None)
        async with curio.meta.finalize(body) as pieces:
            if not silent:
                out = await self._send_pieces(out, pieces)
        await self._write(out + self._conn.send(END))

    async def _send_pieces(self, out: bytes, pieces: typing.Any) -> bytes:
        try:
            async for piece in pieces:
                if piece:
                    out += self._conn.send(h11.Data(data=piece))
                    await self._write(out)
                    out = b''
        except (OSError, exceptions.DropConnection):
            raise
        except Exception as exc:
            logger.exception('a streamed response failed')
            raise exceptions.DropConnection('stream failed') from exc
        return out

    async def _write(self, data: bytes) -> None:
        watch = self._watch
        timeout = self._limits.write_timeout
        watch.deadline = time.monotonic() + timeout
        if len(data) <= WRITE_BYTES:
            await self._sock.sendall(data)
        else:
            view = memoryview(data)
            for start in range(0, len(data), WRITE_BYTES):
                await self._sock.sendall(view[start : start + WRITE_BYTES])
                watch.deadline = time.monotonic() + timeout
        watch.deadline = _watch.NEVER


@functools.lru_cache(CACHED_HEADS)
def _make_head(
    status: int,
    items: tuple[tuple[str, str], ...],
    size: int | None,
    closing: bool,
) -> h11.Response:
    headers = [
        (name.encode('ascii'), value.encode('latin-1'))
        for name, value in items
    ]
    if closing:
        headers.append((b'connection', b'close'))
    if size is not None:
        headers.append((b'content-length', b'%d' % size))
    return h11.Response(status_code=status, headers=headers)
