"""Accept links of other entry hosts and serve their calls."""

import socket
import time
import typing

import curio
import loguru

from hibiscusslip.model import places
from hibiscusslip.observe import refusal_log
from hibiscusslip.peer import _channel
from hibiscusslip.peer import _handshake
from hibiscusslip.peer import _session
from hibiscusslip.peer import base
from hibiscusslip.peer import counts
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import hello
from hibiscusslip.peer import limits

ACCEPT_RETRY_S = 0.1
LISTEN_BACKLOG = 128
# The server waits longer than the caller before it closes an idle link. So
# the caller closes first, and no call is sent on a link that is closing.
IDLE_TIMEOUT_FACTOR = 2


class PeerServer:
    """Accept links and pass each call to the handler.

    Further connections are closed at once when `max_links` are open or
    `max_unauthenticated` haven't completed their handshake, unless one of
    these is overdue.
    """

    def __init__(
        self,
        me: places.HostId,
        info: hello.HelloInfo,
        keys: hello.Keys,
        lim: limits.Limits | None,
        handler: base.Handler,
    ):
        self._party = _handshake.HandshakeParty(me, info, keys)
        self._limits = lim or limits.Limits()
        self._handler = handler
        self._sock: curio.io.Socket | None = None
        self._sessions: set[_session.Session] = set()
        # Sessions without a completed handshake, the oldest first, with the
        # time of their acceptance.
        self._unauthenticated: dict[_session.Session, float] = {}
        self._log = refusal_log.RefusalLog()
        self._connection_count = 0
        self._tasks: set[curio.Task] = set()
        self._stop = curio.Event()
        self.counts = counts.Counts()

    def set_keys(self, keys: hello.Keys) -> None:
        """Replace the shared keys; open links aren't affected."""
        self._party.keys = keys

    def linked_hosts(self) -> list[places.HostId]:
        """Return the hosts that have an open link to this one."""
        return [session.peer for session in self._sessions if session.peer]

    async def listen(self, address: str, port: int) -> int:
        """Bind and return the port; port 0 requests a free one.

        Raises OSError.
        """
        family = socket.AF_INET6 if ':' in address else socket.AF_INET
        self._sock = curio.network.tcp_server_socket(
            address, port, family=family, backlog=LISTEN_BACKLOG
        )
        return self._sock.getsockname()[1]

    async def serve(self) -> None:
        """Accept links until cancelled or closed."""
        if self._sock is None:
            raise exceptions.PeerError('call listen() before serve()')
        acceptor = await curio.spawn(self._accept_all(self._sock))
        sweeper = await curio.spawn(self._close_idle_links())
        try:
            await self._stop.wait()
        finally:
            await acceptor.cancel()
            await sweeper.cancel()
            await self._sock.close()
            await self._cancel_all()

    async def _accept_all(self, listener: curio.io.Socket) -> None:
        while True:
            try:
                sock, _ = await listener.accept()
            except OSError as exc:
                loguru.logger.warning('accepting a link failed: {}', exc)
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            if self._at_connection_limit(time.monotonic()):
                self.counts.links_refused += 1
                await sock.close()
                continue
            self._connection_count += 1
            await self._spawn(self._serve_link(sock))
            # New connections mustn't keep the others waiting.
            await curio.sleep(0)

    def _at_connection_limit(self, now: float) -> bool:
        """Return True if there is no room for one more, nor can be made."""
        unauthenticated = self._connection_count - len(self._sessions)
        if (
            self._connection_count < self._limits.max_links
            and unauthenticated < self._limits.max_unauthenticated
        ):
            return False
        return not self._make_room(now)

    def _make_room(self, now: float) -> bool:
        """Shut down the oldest connection without a completed handshake.

        Returns False if none has been open for `evict_after`.
        """
        for session, accepted_at in self._unauthenticated.items():
            if now < accepted_at + self._limits.evict_after:
                return False
            del self._unauthenticated[session]
            self._connection_count -= 1
            self.counts.links_refused += 1
            session.shut_down()
            return True
        return False

    async def _serve_link(self, sock: curio.io.Socket) -> None:
        session = _session.Session(
            sock, self._party, self._handler, self._limits, self.counts
        )
        self._unauthenticated[session] = time.monotonic()
        try:
            _channel.set_socket_options(sock, self._limits)
            await self._serve_session(session)
        except OSError as exc:
            loguru.logger.debug('link ended: {}', exc)
        finally:
            authenticated = session.peer is not None
            waiting = self._unauthenticated.pop(session, None) is not None
            if authenticated or waiting:  # else it made room for another
                self._connection_count -= 1
            await session.close()

    async def _serve_session(self, session: _session.Session) -> None:
        try:
            await session.open()
        except exceptions.HelloRefused as exc:
            self.counts.hellos_refused += 1
            self._log.warn(f'handshake refused: {exc}', time.monotonic())
            return
        except (curio.TaskTimeout, exceptions.PeerError) as exc:
            loguru.logger.debug('handshake failed: {!r}', exc)
            return
        if self._unauthenticated.pop(session, None) is None:
            session.peer = None  # it made room for another
            return
        self.counts.links_made += 1
        self._sessions.add(session)
        try:
            await session.serve(self._spawn)
        finally:
            self._sessions.discard(session)
            self.counts.links_lost += 1

    async def _spawn(
        self, coro: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = await curio.spawn(self._run_task(coro), daemon=True)
        self._tasks.add(task)

    async def _run_task(
        self, coro: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        try:
            await coro
        finally:
            self._tasks.discard(await curio.current_task())

    async def _close_idle_links(self) -> None:
        limit = self._limits.idle_timeout * IDLE_TIMEOUT_FACTOR
        while True:
            await curio.sleep(self._limits.idle_timeout)
            cutoff = time.monotonic() - limit
            for session in list(self._sessions):
                if session.last_used < cutoff and not session.in_flight:
                    await session.request_close()

    async def _cancel_all(self) -> None:
        for task in list(self._tasks):
            await task.cancel()
        self._tasks.clear()

    async def close(self, grace: float = 5.0) -> None:
        """Refuse new calls, finish those in flight, then close all links.

        `grace` bounds the wait for calls in flight, in seconds.
        """
        async with curio.ignore_after(grace):
            for session in list(self._sessions):
                await session.drain()
        await self._stop.set()
        if self._sock is not None:
            await self._cancel_all()
