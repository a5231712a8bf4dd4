"""Send one request over a connection and read its complete response."""

import errno
import time
import typing

import curio
import h11

from hibiscusslip.http import _sockets
from hibiscusslip.http import connection_budget
from hibiscusslip.http import exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages

READ_BYTES = 64 * 1024
MIN_UPLOAD_TIME_S = 0.1  # a shorter one is within the limits of connections
# The errors of a host that lacks descriptors or memory for a socket.
EXHAUSTED_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
END_OF_MESSAGE = h11.EndOfMessage()


class Progress:
    """Record how far the exchange of a request and its response has come."""

    __slots__ = (
        '_expected',
        '_first_byte_after',
        '_received',
        '_started_at',
        'written',
    )

    def __init__(self) -> None:
        self.written = False
        self._started_at = time.monotonic()
        self._first_byte_after: float | None = None
        self._received = 0
        self._expected: int | None = None

    @property
    def transfer(self) -> messages.Transfer:
        """Return how much of the response has arrived."""
        return messages.Transfer(
            self._received, self._expected, self._first_byte_after
        )

    def describe_silence(self, max_silence: float, max_wait: float) -> str:
        """Return what has arrived, and for how long (s) nothing more has."""
        if self._first_byte_after is None:
            return f'no response within {max_wait:g} s'
        return (
            f'only {self._received} bytes of {self._expected}, then none for'
            f' {max_silence:g} s'
        )

    def record_bytes(self) -> None:
        """Record that bytes of the response have arrived."""
        if self._first_byte_after is None:
            self._first_byte_after = time.monotonic() - self._started_at

    def is_too_slow(self, now: float, grace: float, bytes_per_s: int) -> bool:
        """Return whether the body arrives at less than `bytes_per_s`.

        `grace` are the seconds in which any rate is accepted.
        """
        began = self._started_at + (self._first_byte_after or 0.0)
        return now > began + grace + self._received / bytes_per_s

    def record_head(self, head: h11.Response) -> None:
        """Record the length of the body that the head announces."""
        for name, value in head.headers:
            if name == b'content-length':
                self._expected = int(value)

    def record_body(self, size: int) -> None:
        """Record that `size` bytes of the body have arrived in all."""
        self._received = size

    def error_for(self, reason: str) -> exceptions.HttpError:
        """Return CallUnsettled if a byte was written, otherwise NotSent."""
        if self.written:
            return exceptions.CallUnsettled(
                f'{reason}: the request may have been handled; query its'
                ' outcome before sending it again',
                self.transfer,
            )
        return exceptions.NotSent(f'{reason}: nothing was sent; try again')


class ClientConnection:
    """Represent one connection to a server."""

    __slots__ = (
        '_budget',
        '_conn',
        '_limits',
        '_sock',
        '_upload_time',
        'idle_since',
    )

    def __init__(
        self,
        sock: typing.Any,
        bounds: limits.Limits,
        budget: connection_budget.ConnectionBudget | None = None,
    ) -> None:
        self._sock = sock
        self._budget = budget
        self._limits = bounds
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=bounds.max_header_bytes
        )
        self._upload_time = 0.0
        self.idle_since = 0.0

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection can be used for a request."""
        not_expired = now < self.idle_since + self._limits.idle_timeout
        return not_expired and _sockets.is_idle(self._sock)

    async def close(self) -> None:
        """Close the connection."""
        self._leave_budget()
        await self._sock.close()

    async def abort(self) -> None:
        """Reset the connection; unsent bytes of a request are discarded."""
        self._leave_budget()
        _sockets.reset_on_close(self._sock)
        await self._sock.close()

    def _leave_budget(self) -> None:
        if self._budget is not None:
            self._budget.open -= 1
            self._budget = None

    def allow_upload_time(self, upload_time: float) -> None:
        """Let what is sent stay unacknowledged for `upload_time` s longer.

        On a slow link the server reads a large request at the link's rate.
        """
        if upload_time < MIN_UPLOAD_TIME_S:
            upload_time = 0.0
        if upload_time != self._upload_time:
            self._upload_time = upload_time
            limit = self._limits.tcp_user_timeout + upload_time
            _sockets.set_user_timeout(self._sock, limit)

    async def send(
        self, head: h11.Request, body: bytes, progress: Progress
    ) -> None:
        """Send a request; raises NotSent if nothing was written."""
        out = self._conn.send(head)
        if body:
            out += self._conn.send(h11.Data(data=body))
        out += self._conn.send(END_OF_MESSAGE)
        try:
            await self._write(out, progress)
        except OSError as exc:
            # After a partial write the server may have responded already,
            # for example to refuse the body.
            if not progress.written:
                raise progress.error_for(str(exc)) from exc

    async def await_response(self, progress: Progress) -> None:
        """Wait for the first bytes of the response; raises CallUnsettled."""
        try:
            await self._read(progress)
        except OSError as exc:
            raise progress.error_for(str(exc)) from exc

    async def read_response(
        self, progress: Progress, max_silence: float
    ) -> messages.Response:
        """Return the complete response, whose first bytes have arrived.

        Raises CallUnsettled or MalformedResponse, and TaskTimeout when no
        byte has arrived for `max_silence` seconds.
        """
        try:
            return await self._read_events(progress, max_silence)
        except OSError as exc:
            raise progress.error_for(str(exc)) from exc
        except h11.RemoteProtocolError as exc:
            raise exceptions.MalformedResponse(
                f'invalid response: {exc}; check which service listens there'
            ) from exc

    def prepare_reuse(self) -> bool:
        """Prepare for the next request; return False if that can't be."""
        states = (self._conn.our_state, self._conn.their_state)
        if states != (h11.DONE, h11.DONE):
            return False
        if self._conn.trailing_data[0]:
            # These bytes would be taken as the response to the next request.
            return False
        self._conn.start_next_cycle()
        self.idle_since = time.monotonic()
        return True

    async def _write(self, out: bytes, progress: Progress) -> None:
        sent = await self._sock.send(out)
        progress.written = True
        if sent < len(out):
            await self._sock.sendall(memoryview(out)[sent:])

    async def _read_events(
        self, progress: Progress, max_silence: float
    ) -> messages.Response:
        conn = self._conn
        head: typing.Any = None
        chunks: list[bytes] = []
        size = 0
        event = conn.next_event()
        while type(event) is not h11.EndOfMessage:
            if event is h11.NEED_DATA:
                await self._read_more(progress, max_silence)
            elif type(event) is h11.Data:
                size += len(event.data)
                self._check_size(size)
                progress.record_body(size)
                chunks.append(bytes(event.data))
            elif type(event) is h11.Response:
                head = event
                progress.record_head(head)
            elif type(event) is h11.ConnectionClosed:
                raise progress.error_for('the connection was closed')
            event = conn.next_event()
        return messages.Response(
            head.status_code,
            {k.decode('ascii'): v.decode('latin-1') for k, v in head.headers},
            b''.join(chunks),
        )

    async def _read_more(self, progress: Progress, max_silence: float) -> None:
        async with curio.timeout_after(max_silence):
            await self._read(progress)
        min_rate = self._limits.min_bytes_per_s
        if progress.is_too_slow(time.monotonic(), max_silence, min_rate):
            raise progress.error_for(
                f'the response arrives at under {min_rate} bytes/s'
            )

    async def _read(self, progress: Progress) -> None:
        data = await self._sock.recv(READ_BYTES)
        if not data and self._conn.their_state is h11.SEND_RESPONSE:
            raise progress.error_for('the connection was closed')
        progress.record_bytes()
        self._conn.receive_data(data)

    def _check_size(self, size: int) -> None:
        if size > self._limits.max_body_bytes:
            raise exceptions.MalformedResponse(
                f'response over {self._limits.max_body_bytes} bytes; raise'
                ' max_body_bytes'
            )


async def connect(
    address: str,
    port: int,
    bounds: limits.Limits,
    budget: connection_budget.ConnectionBudget | None = None,
) -> ClientConnection:
    """Open a connection; raises NotSent.

    The connection is counted in `budget` from now on until it is closed.
    """
    if budget is None:
        return ClientConnection(
            await open_socket(address, port, bounds), bounds
        )
    if budget.full:
        raise exceptions.OutOfDescriptors(
            f'{budget.open} connections are open, as many as the descriptors'
            ' of this host allow; raise Limits.MaxFds'
        )
    budget.open += 1
    try:
        sock = await open_socket(address, port, bounds)
    except BaseException:
        budget.open -= 1
        raise
    return ClientConnection(sock, bounds, budget)


async def open_socket(
    address: str, port: int, bounds: limits.Limits
) -> typing.Any:
    """Return a connected socket; raises NotSent."""
    sock = _create_socket(address)
    try:
        _sockets.set_options(sock, bounds.tcp_user_timeout)
        async with curio.timeout_after(bounds.connect_timeout):
            await sock.connect((address, port))
    except (OSError, curio.TaskTimeout) as exc:
        await sock.close()
        raise exceptions.NotSent(
            f"{address}:{port} can't be reached: {exc!r}; check that it is up"
        ) from exc
    except BaseException:
        await sock.close()
        raise
    return sock


def _create_socket(address: str) -> typing.Any:
    """Return a new socket; raises OutOfDescriptors or NotSent."""
    family = _sockets.family_of(address)
    try:
        return curio.socket.socket(family, curio.socket.SOCK_STREAM)
    except OSError as exc:
        if exc.errno in EXHAUSTED_ERRNOS:
            raise exceptions.OutOfDescriptors(
                f'no socket can be created: {exc}; raise the limit of open'
                ' files'
            ) from exc
        raise exceptions.NotSent(f'no socket can be created: {exc}') from exc
