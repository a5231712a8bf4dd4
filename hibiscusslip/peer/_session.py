"""Provide one link from another entry host, at the server's side."""

import collections.abc
import secrets
import typing

import curio
import loguru
from websockets import http11
from websockets import server

from hibiscusslip import codec
from hibiscusslip.model import places
from hibiscusslip.peer import _channel
from hibiscusslip.peer import _handshake
from hibiscusslip.peer import base
from hibiscusslip.peer import counts
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import limits
from hibiscusslip.peer import messages

DRAIN_POLL_S = 0.02
Spawner = typing.Callable[
    [typing.Coroutine[typing.Any, typing.Any, None]],
    collections.abc.Awaitable[None],
]


class Session:
    """Authenticate a caller, then serve the calls of that incarnation."""

    def __init__(
        self,
        sock: curio.io.Socket,
        party: _handshake.HandshakeParty,
        handler: base.Handler,
        lim: limits.Limits,
        totals: counts.Counts,
    ):
        self._proto = server.ServerProtocol(max_size=lim.max_frame_bytes)
        self._channel = _channel.Channel(sock, self._proto, lim, totals)
        self._party = party
        self._handler = handler
        self._limits = lim
        self._counts = totals
        self._in_flight = 0
        self._draining = False
        self.peer: places.HostId | None = None

    @property
    def last_used(self) -> float:
        """Return the monotonic time of the last read or write."""
        return self._channel.last_used

    @property
    def in_flight(self) -> int:
        """Return the number of calls that are being handled."""
        return self._in_flight

    async def open(self) -> None:
        """Accept the websocket upgrade and do the handshake.

        Raises HelloRefused, ChannelClosed, OSError or TaskTimeout.
        """
        self._channel.limit_bytes(self._limits.max_handshake_bytes)
        async with curio.timeout_after(self._limits.hello_timeout):
            await self._upgrade()
            try:
                await self._shake_hands()
            except exceptions.HelloRefused as exc:
                kind, _, detail = str(exc).partition(': ')
                denied = _handshake.HelloDenied(kind, detail)
                await self._channel.send(codec.encode(denied))
                raise

    async def _upgrade(self) -> None:
        req = await self._channel.receive_http()
        assert isinstance(req, http11.Request)
        self._proto.send_response(self._proto.accept(req))
        await self._channel.flush()
        if self._proto.handshake_exc is not None:
            raise exceptions.ChannelClosed(
                f'invalid websocket upgrade: {self._proto.handshake_exc}'
            )

    async def _shake_hands(self) -> None:
        opening = _handshake.decode(await self._channel.receive())
        if not isinstance(opening, _handshake.Hello):
            raise exceptions.HelloRefused('malformed: no hello came')
        nonce = secrets.token_bytes(_handshake.NONCE_BYTES)
        reply = self._party.build_reply(opening, nonce)
        await self._channel.send(codec.encode(reply))
        proof = _handshake.decode(await self._channel.receive())
        if not isinstance(proof, _handshake.HelloProof):
            raise exceptions.HelloRefused('malformed: no proof came')
        self._party.check_proof(opening, reply, proof.proof)
        await self._channel.send(codec.encode(_handshake.HelloDone()))
        self.peer = places.HostId(opening.host, opening.incarnation)
        self._channel.limit_bytes(None)

    async def serve(self, spawn: Spawner) -> None:
        """Serve calls until the link ends; `spawn` starts the handlers."""
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._read_calls(spawn))
            await group.spawn(self._write())

    async def _write(self) -> None:
        try:
            await self._channel.write_queued()
        except (OSError, curio.TaskTimeout, exceptions.PeerError):
            return

    async def _read_calls(self, spawn: Spawner) -> None:
        try:
            while True:
                data = await self._channel.receive()
                envelope = codec.decode(data, messages.Envelope)
                await self._dispatch(envelope, spawn)
        except codec.CodecError as exc:
            loguru.logger.warning(
                'closing the link from {}: {}', self.peer, exc
            )
        except (OSError, exceptions.PeerError):
            return

    async def _dispatch(self, call: messages.Envelope, spawn: Spawner) -> None:
        if call.reply:
            raise exceptions.ChannelClosed(
                'received a reply on a link that carries only calls'
            )
        if self._draining:
            await self._refuse(call, 'closing', 'this host is stopping')
        elif self._in_flight >= self._limits.max_in_flight:
            self._counts.busy += 1
            await self._refuse(call, 'busy', 'too many calls on this link')
        else:
            self._in_flight += 1
            await spawn(self._handle(call))

    async def _refuse(
        self, call: messages.Envelope, kind: str, detail: str
    ) -> None:
        retry_after = self._limits.busy_retry_after
        refusal = messages.Refusal(kind, f'{detail}; try again', retry_after)
        await self._reply(call, refusal)

    async def _handle(self, call: messages.Envelope) -> None:
        assert self.peer is not None
        wait = min(call.expires, self._limits.max_call_time)
        try:
            async with curio.timeout_after(wait + self._limits.handler_grace):
                reply = await self._handler.handle_traced(
                    self.peer, call.body, call.trace
                )
            await self._reply(call, reply)
            self._counts.handled += 1
        except exceptions.PeerError:
            self._counts.dropped_replies += 1
        except curio.TaskTimeout:
            self._log_failure(call, 'exceeded the time that its caller waits')
        except Exception as exc:
            self._log_failure(call, f'raised {exc!r}')
        finally:
            self._in_flight -= 1

    def _log_failure(self, call: messages.Envelope, what: str) -> None:
        self._counts.dropped_replies += 1
        kind = type(call.body).__name__
        loguru.logger.error('handler of {} {}', kind, what)

    async def _reply(
        self, call: messages.Envelope, body: messages.PeerMessage
    ) -> None:
        envelope = messages.Envelope(call.call_id, True, '', 0.0, body)
        await self._channel.enqueue(codec.encode(envelope))

    async def drain(self) -> None:
        """Refuse new calls and wait for the replies to those in flight."""
        self._draining = True
        while not self._channel.closed:
            if not self._in_flight and not self._channel.queued:
                return
            await curio.sleep(DRAIN_POLL_S)

    def shut_down(self) -> None:
        """Shut the connection down; its task wakes and closes it."""
        self._channel.shut_down()

    async def request_close(self) -> None:
        """Start to close the link; queued replies aren't sent."""
        await self._channel.request_close()

    async def close(self) -> None:
        """Close the connection."""
        await self._channel.close()
