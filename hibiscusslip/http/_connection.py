"""Serve the requests of one connection in order."""

import abc
import socket
import typing

import h11
from loguru import logger

from hibiscusslip.http import _activity
from hibiscusslip.http import _receiver
from hibiscusslip.http import _sender
from hibiscusslip.http import _sockets
from hibiscusslip.http import exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages


class Handler(abc.ABC):
    """Handle HTTP requests."""

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
        '_receiver',
        '_sender',
        '_sock',
        'activity',
    )

    def __init__(
        self,
        sock: typing.Any,
        peer: str,
        handler: Handler,
        bounds: limits.Limits,
    ) -> None:
        conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=bounds.max_header_bytes
        )
        self.activity = _activity.Activity()
        self._sock = sock
        self._conn = conn
        self._handler = handler
        self._receiver = _receiver.Receiver(
            sock, conn, bounds, self.activity, peer
        )
        self._sender = _sender.Sender(sock, conn, bounds, self.activity)

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        try:
            await self._serve()
        except exceptions.DropConnection:
            _sockets.shut_down(self._sock)
        except OSError:
            pass
        finally:
            await self._sock.close()

    async def refuse(self, response: messages.Response) -> None:
        """Send `response` without reading a request, then close."""
        try:
            await self._respond_and_close(response)
        except OSError:
            pass
        finally:
            await self._sock.close()

    def expire(self) -> None:
        """Shut down an overdue connection; its task wakes and closes it.

        While a request is being read only the reading side is shut down, so
        that the 408 response can still be sent.
        """
        self.activity.timed_out = True
        self.activity.deadline = _activity.NEVER
        how = socket.SHUT_RD if self.activity.reading else socket.SHUT_RDWR
        _sockets.shut_down(self._sock, how)

    def shut_down(self) -> None:
        """Shut the connection down, even during a request."""
        _sockets.shut_down(self._sock)

    async def _serve(self) -> None:
        while True:
            try:
                req = await self._receiver.receive()
            except h11.RemoteProtocolError as exc:
                await self._refuse_input(exc)
                return
            if req is None:
                return
            await self._respond(req)
            if self._conn.our_state is not h11.DONE:
                await self._sender.linger()
                return
            self._conn.start_next_cycle()

    async def _respond(self, req: messages.Request) -> None:
        head_only = req.method == 'HEAD'
        try:
            response = await self._handler.handle(req)
        except exceptions.DropConnection:
            raise
        except Exception:
            logger.exception(
                '{} {!r}: the handler failed', req.method, req.path
            )
            response = _internal_error()
        try:
            await self._sender.respond(response, head_only)
        except (h11.LocalProtocolError, UnicodeError) as exc:
            logger.exception(
                '{} {!r}: the response of the handler is invalid',
                req.method,
                req.path,
            )
            if self._conn.our_state is not h11.SEND_RESPONSE:
                raise exceptions.DropConnection('invalid response') from exc
            await self._sender.respond(_internal_error(), head_only)
        self.activity.busy = False

    async def _refuse_input(self, exc: h11.RemoteProtocolError) -> None:
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        status = exc.error_status_hint
        await self._respond_and_close(
            messages.problem_response(status, 'bad request', str(exc))
        )

    async def _respond_and_close(self, response: messages.Response) -> None:
        self.activity.reading = False
        self.activity.draining = True
        await self._sender.respond(response, False)
        await self._sender.linger()


def _internal_error() -> messages.Response:
    return messages.problem_response(
        500, 'internal error', 'try again; see the log of this process'
    )
