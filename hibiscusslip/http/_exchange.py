"""Send one request over a connection and read its whole response."""

import time
import typing

import curio
import h11

from hibiscusslip.http import _sockets
from hibiscusslip.http import exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages

READ_BYTES = 64 * 1024
END = h11.EndOfMessage()


class Progress:
    """Tell how far a call came."""

    __slots__ = ('written',)

    def __init__(self) -> None:
        self.written = False

    def failure(self, reason: str) -> exceptions.HttpError:
        """Return the error that fits what has been written so far."""
        if self.written:
            return exceptions.CallUnsettled(
                f'{reason}: the request may have been handled; ask for its'
                ' state before sending it again'
            )
        return exceptions.NotSent(f'{reason}: nothing was sent; try again')


class ClientConnection:
    """Hold one connection to a server."""

    __slots__ = ('_conn', '_limits', '_sock', 'idle_since')

    def __init__(self, sock: typing.Any, bounds: limits.Limits) -> None:
        self._sock = sock
        self._limits = bounds
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=bounds.max_header_bytes
        )
        self.idle_since = 0.0

    def usable(self, now: float) -> bool:
        """Tell whether an idle connection can carry another request."""
        fresh = now < self.idle_since + self._limits.idle_timeout
        return fresh and _sockets.quiet(self._sock)

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    async def abort(self) -> None:
        """Close the connection and send nothing more of an open request."""
        _sockets.discard_unsent(self._sock)
        await self._sock.close()

    async def exchange(
        self, head: h11.Request, body: bytes, progress: Progress
    ) -> messages.Response:
        """Send a request and return the whole response."""
        out = self._conn.send(head)
        if body:
            out += self._conn.send(h11.Data(data=body))
        out += self._conn.send(END)
        try:
            await self._write(out, progress)
        except OSError as exc:
            if not progress.written:
                raise progress.failure(str(exc)) from exc
        return await self._read_response(progress)

    def recycle(self) -> bool:
        """Make ready for the next request; False when that can't be."""
        states = (self._conn.our_state, self._conn.their_state)
        if states != (h11.DONE, h11.DONE):
            return False
        if self._conn.trailing_data[0]:
            return False  # It would pass for the answer to the next request.
        self._conn.start_next_cycle()
        self.idle_since = time.monotonic()
        return True

    async def _write(self, out: bytes, progress: Progress) -> None:
        sent = await self._sock.send(out)
        progress.written = True
        if sent < len(out):
            await self._sock.sendall(memoryview(out)[sent:])

    async def _read_response(self, progress: Progress) -> messages.Response:
        try:
            return await self._collect(progress)
        except OSError as exc:
            raise progress.failure(str(exc)) from exc
        except h11.RemoteProtocolError as exc:
            raise exceptions.Malformed(
                f'bad response: {exc}; check what listens there'
            ) from exc

    async def _collect(self, progress: Progress) -> messages.Response:
        conn = self._conn
        head: typing.Any = None
        pieces: list[bytes] = []
        size = 0
        event: typing.Any = h11.NEED_DATA
        while type(event) is not h11.EndOfMessage:
            if event is h11.NEED_DATA:
                await self._read(progress)
            elif type(event) is h11.Data:
                size += len(event.data)
                self._check_size(size)
                pieces.append(bytes(event.data))
            elif type(event) is h11.Response:
                head = event
            elif type(event) is h11.ConnectionClosed:
                raise progress.failure('the connection was closed')
            event = conn.next_event()
        return messages.Response(
            head.status_code,
            {k.decode('ascii'): v.decode('latin-1') for k, v in head.headers},
            b''.join(pieces),
        )

    async def _read(self, progress: Progress) -> None:
        data = await self._sock.recv(READ_BYTES)
        if not data and self._conn.their_state is h11.SEND_RESPONSE:
            raise progress.failure('the connection was closed')
        self._conn.receive_data(data)

    def _check_size(self, size: int) -> None:
        if size > self._limits.max_body_bytes:
            raise exceptions.Malformed(
                f'response over {self._limits.max_body_bytes} bytes; raise'
                ' max_body_bytes'
            )


async def connect(
    address: str, port: int, bounds: limits.Limits
) -> ClientConnection:
    """Open a connection; raises NotSent."""
    return ClientConnection(await open_socket(address, port, bounds), bounds)


async def open_socket(
    address: str, port: int, bounds: limits.Limits
) -> typing.Any:
    """Return a connected socket; raises NotSent."""
    family = _sockets.family_of(address)
    sock = curio.socket.socket(family, curio.socket.SOCK_STREAM)
    try:
        _sockets.set_options(sock, bounds.tcp_user_timeout)
        async with curio.timeout_after(bounds.connect_timeout):
            await sock.connect((address, port))
    except (OSError, curio.TaskTimeout) as exc:
        await sock.close()
        raise exceptions.NotSent(
            f'{address}:{port} not reached: {exc!r}; check that it is up'
        ) from exc
    except BaseException:
        await sock.close()
        raise
    return sock
