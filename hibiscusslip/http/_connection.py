"""Serve the requests of one connection, one after the other."""

import abc
import socket
import typing

import h11
from loguru import logger

from hibiscusslip.http import _receiver
from hibiscusslip.http import _sender
from hibiscusslip.http import _sockets
from hibiscusslip.http import _watch
from hibiscusslip.http import exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages


class Handler(abc.ABC):
    """Answer requests."""

    @abc.abstractmethod
    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response to one request.

        Raising DropConnection closes the connection without an answer; any
        other exception is logged and answered with status 500.
        """


class Connection:
    """Hold one accepted connection; the server keeps an eye on `watch`."""

    __slots__ = ('_conn', '_handler', '_receiver', '_sender', '_sock', 'watch')

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
        self.watch = _watch.Watch()
        self._sock = sock
        self._conn = conn
        self._handler = handler
        self._receiver = _receiver.Receiver(
            sock, conn, bounds, self.watch, peer
        )
        self._sender = _sender.Sender(sock, conn, bounds, self.watch)

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

    async def refuse(self, response: messages.Response) -> None:
        """Answer without reading a request, then close."""
        try:
            await self._finish(response)
        except OSError:
            pass
        finally:
            await self._sock.close()

    def expire(self) -> None:
        """End a connection that is overdue; its task wakes and closes."""
        self.watch.timed_out = True
        self.watch.deadline = _watch.NEVER
        how = socket.SHUT_RD if self.watch.reading else socket.SHUT_RDWR
        _sockets.cut(self._sock, how)

    def cut(self) -> None:
        """Cut the connection off, whatever it is doing."""
        _sockets.cut(self._sock)

    async def _serve(self) -> None:
        while True:
            try:
                req = await self._receiver.receive()
            except h11.RemoteProtocolError as exc:
                await self._refuse_input(exc)
                return
            if req is None:
                return
            await self._answer(req)
            if self._conn.our_state is not h11.DONE:
                await self._sender.linger()
                return
            self._conn.start_next_cycle()

    async def _answer(self, req: messages.Request) -> None:
        only_head = req.method == 'HEAD'
        try:
            response = await self._handler.handle(req)
        except exceptions.DropConnection:
            raise
        except Exception:
            logger.exception('{} {!r} failed', req.method, req.path)
            response = _failure()
        try:
            await self._sender.respond(response, only_head)
        except (h11.LocalProtocolError, UnicodeError) as exc:
            logger.exception('{} {!r} got no response', req.method, req.path)
            if self._conn.our_state is not h11.SEND_RESPONSE:
                raise exceptions.DropConnection('bad response') from exc
            await self._sender.respond(_failure(), only_head)
        self.watch.busy = False

    async def _refuse_input(self, exc: h11.RemoteProtocolError) -> None:
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        status = exc.error_status_hint
        await self._finish(
            messages.problem_response(status, 'bad request', str(exc))
        )

    async def _finish(self, response: messages.Response) -> None:
        self.watch.reading = False
        self.watch.draining = True
        await self._sender.respond(response, False)
        await self._sender.linger()


def _failure() -> messages.Response:
    return messages.problem_response(
        500, 'internal error', 'try again; see the log of this process'
    )
