"""Read the lines of a streamed response."""

import typing

import curio
import h11

from hibiscusslip.http import _exchange
from hibiscusslip.http import exceptions
from hibiscusslip.http import limits

READ_BYTES = 64 * 1024
STATUS_OK = 200
LINE_END = b'\n'


class LineStream:
    """Read lines from one open response.

    A timeout loses no data: a partial line stays in the buffer.
    """

    def __init__(
        self, sock: typing.Any, conn: h11.Connection, bounds: limits.Limits
    ) -> None:
        self._sock = sock
        self._conn = conn
        self._limits = bounds
        self._buffer = bytearray()

    async def next_line(self, timeout: float) -> bytes:
        """Return the next line without its line end.

        Raises CallUnsettled when none arrives within `timeout` seconds or
        the stream has ended, MalformedResponse when the input is invalid.
        """
        try:
            async with curio.timeout_after(timeout):
                while LINE_END not in self._buffer:
                    await self._read_more()
        except curio.TaskTimeout as exc:
            raise exceptions.CallUnsettled(
                f'no line within {timeout:g} s; open the stream again'
            ) from exc
        end = self._buffer.index(LINE_END)
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 1]
        return line

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    async def read_head(self, timeout: float) -> None:
        """Read the head of the response; raises as `next_line` does."""
        try:
            async with curio.timeout_after(timeout):
                event = await self._next_event()
        except curio.TaskTimeout as exc:
            raise exceptions.CallUnsettled(
                f'no response within {timeout:g} s; open the stream again'
            ) from exc
        if type(event) is not h11.Response or event.status_code != STATUS_OK:
            raise exceptions.MalformedResponse(
                f'expected a streamed response, not {event!r}; check which'
                ' service listens there'
            )

    async def _read_more(self) -> None:
        event = await self._next_event()
        if type(event) is not h11.Data:
            raise exceptions.CallUnsettled(
                'the stream has ended; open it again'
            )
        self._buffer += event.data
        if len(self._buffer) > self._limits.max_body_bytes:
            raise exceptions.MalformedResponse(
                f'a line is over the limit of {self._limits.max_body_bytes}'
                ' bytes; raise max_body_bytes'
            )

    async def _next_event(self) -> typing.Any:
        try:
            event = self._conn.next_event()
            while event is h11.NEED_DATA:
                self._conn.receive_data(await self._sock.recv(READ_BYTES))
                event = self._conn.next_event()
        except OSError as exc:
            raise exceptions.CallUnsettled(
                f'{exc}; open the stream again'
            ) from exc
        except h11.RemoteProtocolError as exc:
            raise exceptions.MalformedResponse(
                f'invalid response: {exc}; check which service listens there'
            ) from exc
        return event


async def open_stream(
    address: str,
    port: int,
    path: str,
    timeout: float,
    bounds: limits.Limits = limits.DEFAULT,
) -> LineStream:
    """Request a streamed response on a connection of its own.

    `timeout` in seconds bounds the wait for the head of the response.
    Raises NotSent when the connection can't be opened, CallUnsettled when
    sending fails, and both CallUnsettled and MalformedResponse as
    `LineStream.next_line` does.
    """
    sock = await _exchange.open_socket(address, port, bounds)
    conn = h11.Connection(
        h11.CLIENT, max_incomplete_event_size=bounds.max_header_bytes
    )
    headers = [('host', f'{address}:{port}')]
    head = h11.Request(method='GET', target=path, headers=headers)
    out = conn.send(head) + conn.send(h11.EndOfMessage())
    opened = LineStream(sock, conn, bounds)
    try:
        await _send(sock, out)
        await opened.read_head(timeout)
    except BaseException:
        await opened.close()
        raise
    return opened


async def _send(sock: typing.Any, out: bytes) -> None:
    try:
        await sock.sendall(out)
    except OSError as exc:
        raise exceptions.CallUnsettled(
            f'{exc}; open the stream again'
        ) from exc
