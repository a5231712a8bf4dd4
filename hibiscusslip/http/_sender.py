"""Write responses to a connection."""

import functools
import socket
import time
import typing

import curio
import curio.meta
import h11
from loguru import logger

from hibiscusslip.http import _activity
from hibiscusslip.http import _sockets
from hibiscusslip.http import exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages

DISCARD_BYTES = 64 * 1024
MAX_DISCARDS_IN_A_ROW = 4  # then other connections have a turn
MAX_WRITE_BYTES = 256 * 1024
MAX_LINGER_BYTES = 64 * 1024 * 1024
CACHED_HEADS = 512
NO_BODY_STATUSES = (204, 304)
END_OF_MESSAGE = h11.EndOfMessage()
_DISCARDED = bytearray(DISCARD_BYTES)


class Sender:
    """Write the responses of one connection in order."""

    __slots__ = ('_activity', '_conn', '_limits', '_sock')

    def __init__(
        self,
        sock: typing.Any,
        conn: h11.Connection,
        bounds: limits.Limits,
        activity: _activity.Activity,
    ) -> None:
        self._sock = sock
        self._conn = conn
        self._limits = bounds
        self._activity = activity

    async def respond(
        self, response: messages.Response, head_only: bool
    ) -> None:
        """Write a response; raises OSError and DropConnection."""
        body = response.body
        omit_body = head_only or response.status in NO_BODY_STATUSES
        if not isinstance(body, bytes):
            await self._stream(response, body, omit_body)
            return
        size = None if response.status in NO_BODY_STATUSES else len(body)
        out = self._send_head(response, size)
        if body and not omit_body:
            out += self._conn.send(h11.Data(data=body))
        await self._write(out + self._conn.send(END_OF_MESSAGE))

    async def linger(self) -> None:
        """Do a lingering close: end the output and discard further input.

        Closing with unread input would reset the connection, and the peer
        could lose the response.
        """
        _sockets.shut_down(self._sock, socket.SHUT_WR)
        self._activity.start_lingering(time.monotonic(), self._limits.linger)
        discarded = reads = 0
        while discarded < MAX_LINGER_BYTES:
            size = await self._sock.recv_into(_DISCARDED)
            if not size:
                return
            discarded += size
            reads += 1
            if reads % MAX_DISCARDS_IN_A_ROW == 0:
                await curio.sleep(0)

    def _send_head(
        self, response: messages.Response, size: int | None
    ) -> bytes:
        items = tuple(response.headers.items())
        head = _make_head(
            response.status, items, size, self._activity.draining
        )
        return self._conn.send(head)

    async def _stream(
        self, response: messages.Response, body: typing.Any, omit_body: bool
    ) -> None:
        out = self._send_head(response, None)
        async with curio.meta.finalize(body) as chunks:
            if not omit_body:
                out = await self._send_chunks(out, chunks)
        await self._write(out + self._conn.send(END_OF_MESSAGE))

    async def _send_chunks(self, out: bytes, chunks: typing.Any) -> bytes:
        try:
            async for chunk in chunks:
                if chunk:
                    out += self._conn.send(h11.Data(data=chunk))
                    await self._write(out)
                    out = b''
        except (OSError, exceptions.DropConnection):
            raise
        except Exception as exc:
            logger.exception('a streamed response failed')
            raise exceptions.DropConnection('stream failed') from exc
        return out

    async def _write(self, data: bytes) -> None:
        activity = self._activity
        timeout = self._limits.write_timeout
        activity.start_writing(time.monotonic(), timeout)
        if len(data) <= MAX_WRITE_BYTES:
            await self._sock.sendall(data)
        else:
            view = memoryview(data)
            for start in range(0, len(data), MAX_WRITE_BYTES):
                await self._sock.sendall(view[start : start + MAX_WRITE_BYTES])
                activity.start_writing(time.monotonic(), timeout)
        activity.deadline = _activity.NEVER


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
