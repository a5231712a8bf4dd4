"""Read requests from a connection."""

import typing
import urllib.parse

import h11

from hibiscusslip.http import _activity
from hibiscusslip.http import limits
from hibiscusslip.http import messages

READ_BYTES = 64 * 1024
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_CONTINUE = 100


class Receiver:
    """Read the requests of one connection in order."""

    __slots__ = ('_activity', '_conn', '_limits', '_peer', '_sock')

    def __init__(
        self,
        sock: typing.Any,
        conn: h11.Connection,
        bounds: limits.Limits,
        activity: _activity.Activity,
        peer: str,
    ) -> None:
        self._sock = sock
        self._conn = conn
        self._limits = bounds
        self._activity = activity
        self._peer = peer

    async def receive(self) -> messages.Request | None:
        """Return the next request, None when the peer sends no more.

        Raises OSError, and h11.RemoteProtocolError for invalid input, whose
        `error_status_hint` is the status to respond with.
        """
        head = await self._receive_head()
        if head is None:
            return None
        body = await self._receive_body()
        self._activity.end_request()
        return self._build_request(head, body)

    async def _receive_head(self) -> h11.Request | None:
        conn = self._conn
        self._activity.start_idle(self._limits.idle_timeout)
        if conn.trailing_data[0]:
            self._activity.start_request(self._limits.read_timeout)
        else:
            await self._read()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                await self._read()
            elif type(event) is h11.Request:
                return event
            else:
                return None

    async def _receive_body(self) -> bytes:
        conn = self._conn
        event = conn.next_event()
        if type(event) is h11.EndOfMessage:
            return b''
        if conn.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(
                status_code=STATUS_CONTINUE, headers=[]
            )
            await self._sock.sendall(conn.send(interim))
        return await self._read_body(event)

    async def _read_body(self, event: typing.Any) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while type(event) is not h11.EndOfMessage:
            if event is h11.NEED_DATA:
                await self._read()
            elif type(event) is h11.Data:
                size += len(event.data)
                self._check_size(size)
                chunks.append(bytes(event.data))
                self._extend_deadline(len(event.data))
            event = self._conn.next_event()
        return b''.join(chunks)

    def _extend_deadline(self, size: int) -> None:
        self._activity.deadline += size / self._limits.min_bytes_per_s

    def _check_size(self, size: int) -> None:
        if size > self._limits.max_body_bytes:
            raise h11.RemoteProtocolError(
                f'body over {self._limits.max_body_bytes} bytes; send less',
                error_status_hint=STATUS_TOO_LARGE,
            )

    async def _read(self) -> None:
        data = await self._sock.recv(READ_BYTES)
        activity = self._activity
        if data:
            activity.start_request(self._limits.read_timeout)
        elif activity.timed_out and activity.busy:
            raise h11.RemoteProtocolError(
                'request took too long; send it faster',
                error_status_hint=STATUS_TIMEOUT,
            )
        self._conn.receive_data(data)

    def _build_request(
        self, head: h11.Request, body: bytes
    ) -> messages.Request:
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
