"""Read requests from a connection."""

import collections.abc
import time
import typing
import urllib.parse

import curio
import h11

from hibiscusslip.http import _activity
from hibiscusslip.http import _sockets
from hibiscusslip.http import exceptions
from hibiscusslip.http import intake
from hibiscusslip.http import limits
from hibiscusslip.http import memory
from hibiscusslip.http import messages

READ_BYTES = 16 * 1024
# Reads in a row that found input at once; then other connections have a turn.
MAX_READS_IN_A_ROW = 2
# A chunk takes as much time as hundreds of bytes in a larger one. A body has
# so many of any size; further ones have so many bytes on average.
FREE_CHUNKS = 128
MIN_CHUNK_BYTES = 64
STATUS_BAD_REQUEST = 400
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_HEAD_TOO_LARGE = 431
STATUS_UNAVAILABLE = 503
STATUS_CONTINUE = 100
Reason = intake.Reason


class Receiver(memory.Holder):
    """Read the requests of one connection in order.

    `max_body_bytes` returns the limit in force when a request begins.
    """

    __slots__ = (
        '_activity',
        '_body',
        '_conn',
        '_limits',
        '_max_body_bytes',
        '_peer',
        '_reads_in_a_row',
        '_sock',
        'holding',
    )

    def __init__(
        self,
        sock: typing.Any,
        conn: h11.Connection,
        bounds: limits.Limits,
        activity: _activity.Activity,
        peer: str,
        budget: memory.MemoryBudget,
        max_body_bytes: collections.abc.Callable[[], int],
    ) -> None:
        self._sock = sock
        self._conn = conn
        self._limits = bounds
        self._activity = activity
        self._peer = peer
        self._max_body_bytes = max_body_bytes
        self._body = bytearray()
        self._reads_in_a_row = 0
        self.holding = budget.open(self)

    async def receive(self) -> messages.Request | None:
        """Return the next request, None when the peer sends no more.

        Raises OSError, RequestRefused, and h11.RemoteProtocolError for
        invalid input.
        """
        head = await self._receive_head()
        if head is None:
            return None
        body = await self._receive_body(head)
        self.holding.unfinished_since = None
        size = intake.CONNECTION_BYTES + _size_of(head)
        if not self.holding.resize(size + len(body) * intake.BODY_COPIES):
            raise _out_of_memory()
        self._activity.end_request(time.monotonic())
        return self._build_request(head, body)

    def finish(self) -> None:
        """Hold nothing of the request any more, as it was responded to."""
        self._body = bytearray()
        self.holding.unfinished_since = None
        self.holding.force(intake.CONNECTION_BYTES)

    def give_up(self) -> int:
        """Drop the body of the request that is being read.

        The peer is told so when it sends more. One that has no body, or that
        was given up before, is shut down.
        """
        if self._body:
            self._body = bytearray()
            return intake.CONNECTION_BYTES + intake.REQUEST_BYTES
        self.holding.unfinished_since = None
        _sockets.shut_down(self._sock)
        return intake.CONNECTION_BYTES

    async def _receive_head(self) -> h11.Request | None:
        conn = self._conn
        now = time.monotonic()
        self._activity.start_idle(now, self._limits.idle_timeout)
        if conn.trailing_data[0]:
            # Requests that were sent ahead mustn't keep others waiting.
            await curio.sleep(0)
            self._start_request(now)
        else:
            await self._read()
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                self._hold_unfinished()
                await self._read()
            elif type(event) is h11.Request:
                self._check_fields(event)
                return event
            else:
                return None

    def _start_request(self, now: float) -> None:
        if self._activity.phase is not _activity.Phase.READING:
            self._activity.start_request(now, self._limits.read_timeout)
            self.holding.unfinished_since = now

    def _check_fields(self, head: h11.Request) -> None:
        if len(head.headers) > self._limits.max_header_fields:
            raise exceptions.RequestRefused(
                Reason.HEAD_TOO_LARGE,
                STATUS_HEAD_TOO_LARGE,
                f'over {self._limits.max_header_fields} header fields; send'
                ' fewer',
            )

    async def _receive_body(self, head: h11.Request) -> bytes:
        conn = self._conn
        limit = self._max_body_bytes()
        _check_size(_announced_size(head), limit)
        event = conn.next_event()
        if type(event) is h11.EndOfMessage:
            return b''
        if conn.they_are_waiting_for_100_continue:
            await self._send_continue()
        await self._read_body(event, limit)
        if self.holding.given_up:
            raise _out_of_memory()  # the start of the body is gone
        body = bytes(self._body)
        self._body = bytearray()
        return body

    async def _send_continue(self) -> None:
        activity = self._activity
        interim = h11.InformationalResponse(
            status_code=STATUS_CONTINUE, headers=[]
        )
        activity.deadline = time.monotonic() + self._limits.write_timeout
        await self._sock.sendall(self._conn.send(interim))
        activity.deadline = _activity.NEVER

    async def _read_body(self, event: typing.Any, limit: int) -> None:
        chunks = 0
        while type(event) is not h11.EndOfMessage:
            if event is h11.NEED_DATA:
                self._hold_unfinished()
                await self._read()
            elif type(event) is h11.Data:
                _check_size(len(self._body) + len(event.data), limit)
                chunks += event.chunk_start
                _check_chunks(chunks, len(self._body))
                self._body += event.data
                self._extend_deadline(len(event.data))
            event = self._conn.next_event()

    def _hold_unfinished(self) -> None:
        """Account for a request that isn't complete yet."""
        size = intake.CONNECTION_BYTES + intake.REQUEST_BYTES
        if not self.holding.resize(size + len(self._body)):
            self._body = bytearray()
            raise _out_of_memory()

    def _extend_deadline(self, size: int) -> None:
        self._activity.read_deadline += size / self._limits.min_bytes_per_s

    async def _read(self) -> None:
        data = await self._receive_bytes()
        if self.holding.given_up:
            raise _out_of_memory()
        if data:
            self._start_request(time.monotonic())
        self._conn.receive_data(data)

    async def _receive_bytes(self) -> bytes:
        """Return the next bytes; raises RequestRefused if they are late."""
        if self._activity.busy and self._time_left() <= 0:
            raise _too_slow()
        data = _sockets.receive_now(self._sock, READ_BYTES)
        if data is None:
            self._reads_in_a_row = 0
            return await self._await_bytes()
        self._reads_in_a_row += 1
        if self._reads_in_a_row >= MAX_READS_IN_A_ROW:
            self._reads_in_a_row = 0
            await curio.sleep(0)
        return data

    async def _await_bytes(self) -> bytes:
        if not self._activity.busy:
            # The server shuts idle connections down.
            return await self._sock.recv(READ_BYTES)
        try:
            async with curio.timeout_after(self._time_left()):
                return await self._sock.recv(READ_BYTES)
        except curio.TaskTimeout as exc:
            raise _too_slow() from exc

    def _time_left(self) -> float:
        """Return the time for the rest of a request, in seconds."""
        return self._activity.read_deadline - time.monotonic()

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


def _announced_size(head: h11.Request) -> int:
    """Return the length of the body that a head announces, 0 if unknown."""
    for name, value in head.headers:
        if name == b'content-length':
            return int(value)
    return 0


def _check_size(size: int, limit: int) -> None:
    if size > limit:
        raise exceptions.RequestRefused(
            Reason.BODY_TOO_LARGE,
            STATUS_TOO_LARGE,
            f'body over {limit} bytes; send less',
        )


def _check_chunks(chunks: int, size: int) -> None:
    """Refuse a body whose chunks are too small on average."""
    if chunks > FREE_CHUNKS + size // MIN_CHUNK_BYTES:
        raise exceptions.RequestRefused(
            Reason.SMALL_CHUNKS,
            STATUS_BAD_REQUEST,
            f'chunks of under {MIN_CHUNK_BYTES} bytes; send larger ones',
        )


def _size_of(head: h11.Request) -> int:
    """Return about how many bytes a parsed head takes."""
    fields = sum(len(name) + len(value) for name, value in head.headers)
    overhead = len(head.headers) * intake.HEADER_FIELD_BYTES
    return len(head.target) + fields + overhead


def _too_slow() -> exceptions.RequestRefused:
    return exceptions.RequestRefused(
        Reason.TOO_SLOW,
        STATUS_TIMEOUT,
        'request took too long; send it faster',
    )


def _out_of_memory() -> exceptions.RequestRefused:
    return exceptions.RequestRefused(
        Reason.OUT_OF_MEMORY,
        STATUS_UNAVAILABLE,
        'not handled: too much is being received; send it again later',
    )
