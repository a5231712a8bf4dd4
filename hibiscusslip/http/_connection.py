"""Serve the requests of one connection in order."""

import abc
import dataclasses
import time
import typing

import h11
from loguru import logger

from hibiscusslip.http import _activity
from hibiscusslip.http import _receiver
from hibiscusslip.http import _sender
from hibiscusslip.http import _sockets
from hibiscusslip.http import exceptions
from hibiscusslip.http import intake as intakes
from hibiscusslip.http import limits
from hibiscusslip.http import messages

MAX_LOGGED_CHARS = 80
RETRY_AFTER_S = 1
STATUS_HEAD_TOO_LARGE = 431
STATUS_UNAVAILABLE = 503
Reason = intakes.Reason


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """The response to input that no handler gets."""

    reason: Reason
    status: int
    detail: str


class Handler(abc.ABC):
    """Handle HTTP requests."""

    @property
    def max_body_bytes(self) -> int | None:
        """Return the largest body that is taken, None for the listener's."""
        return None

    @abc.abstractmethod
    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response to one request.

        DropConnection closes the connection without a response. Any other
        exception is logged, and the response has status 500.
        """


class Connection:
    """Serve one accepted connection.

    The server reads `activity` to find idle and overdue connections.
    """

    __slots__ = (
        '_conn',
        '_handler',
        '_intake',
        '_limits',
        '_receiver',
        '_sender',
        '_sock',
        'activity',
        'peer',
    )

    def __init__(
        self,
        sock: typing.Any,
        peer: str,
        handler: Handler,
        bounds: limits.Limits,
        intake: intakes.Intake,
    ) -> None:
        conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=bounds.max_header_bytes
        )
        self.activity = _activity.Activity(time.monotonic())
        self.peer = peer
        self._sock = sock
        self._conn = conn
        self._handler = handler
        self._intake = intake
        self._limits = bounds
        self._receiver = _receiver.Receiver(
            sock,
            conn,
            bounds,
            self.activity,
            peer,
            intake.memory,
            self._max_body_bytes,
        )
        self._sender = _sender.Sender(sock, conn, bounds, self.activity)

    def admit(self) -> bool:
        """Account for this connection; return False if memory is short."""
        return self._receiver.holding.resize(intakes.CONNECTION_BYTES)

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            await self._serve()
        except exceptions.DropConnection:
            _sockets.shut_down(self._sock)
        except OSError:
            pass
        finally:
            await self.close()

    async def refuse(self, reason: Reason, detail: str) -> None:
        """Respond with a 503 without reading a request, then close."""
        try:
            await self._refuse(reason, STATUS_UNAVAILABLE, detail)
        except OSError:
            pass
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the socket; nothing is held any more."""
        self._receiver.holding.close()
        await self._sock.close()

    def expire(self) -> None:
        """Shut an overdue connection down; its task wakes and closes it."""
        if self.activity.busy:
            self._intake.refuse(Reason.ANSWER_NOT_READ, self.peer)
        self.activity.deadline = _activity.NEVER
        _sockets.shut_down(self._sock)

    def make_room(self) -> None:
        """Shut the connection down, as a new one needs its place."""
        self._intake.refuse(Reason.MADE_ROOM, self.peer)
        self._receiver.holding.close()
        _sockets.shut_down(self._sock)

    def shut_down(self) -> None:
        """Shut the connection down, even during a request."""
        _sockets.shut_down(self._sock)

    def _max_body_bytes(self) -> int:
        limit = self._handler.max_body_bytes
        return self._limits.max_body_bytes if limit is None else limit

    async def _serve(self) -> None:
        while True:
            received = await self._receive()
            if received is None:
                return
            if isinstance(received, _Refusal):
                await self._refuse(
                    received.reason, received.status, received.detail
                )
                return
            await self._respond(received)
            self._receiver.finish()
            if self._conn.our_state is not h11.DONE:
                await self._sender.linger()
                return
            self._conn.start_next_cycle()

    async def _receive(self) -> 'messages.Request | _Refusal | None':
        """Return the next request, why it is refused, or None at the end.

        An exception would keep what was received until the refusal has
        reached the peer.
        """
        try:
            return await self._receiver.receive()
        except exceptions.RequestRefused as exc:
            return _Refusal(exc.reason, exc.status, str(exc))
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            reason = Reason.MALFORMED
            if status == STATUS_HEAD_TOO_LARGE:
                reason = Reason.HEAD_TOO_LARGE
            return _Refusal(reason, status, str(exc))

    async def _respond(self, req: messages.Request) -> None:
        head_only = req.method == 'HEAD'
        method = req.method[:MAX_LOGGED_CHARS]
        path = req.path[:MAX_LOGGED_CHARS]
        try:
            response = await self._handler.handle(req)
        except exceptions.DropConnection:
            raise
        except Exception:
            logger.exception('{} {!r}: the handler failed', method, path)
            response = _internal_error()
        try:
            await self._sender.respond(response, head_only)
        except (h11.LocalProtocolError, UnicodeError) as exc:
            logger.exception(
                '{} {!r}: the response of the handler is invalid', method, path
            )
            if self._conn.our_state is not h11.SEND_RESPONSE:
                raise exceptions.DropConnection('invalid response') from exc
            await self._sender.respond(_internal_error(), head_only)

    async def _refuse(self, reason: Reason, status: int, detail: str) -> None:
        """Respond to input that no handler gets, then close."""
        self._intake.refuse(reason, self.peer)
        self._receiver.finish()
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = messages.problem_response(status, reason.value, detail)
        if status == STATUS_UNAVAILABLE:
            response.headers['retry-after'] = str(RETRY_AFTER_S)
        self.activity.draining = True
        await self._sender.respond(response, False)
        await self._sender.linger()


def _internal_error() -> messages.Response:
    return messages.problem_response(
        500, 'internal error', 'try again; see the log of this process'
    )
