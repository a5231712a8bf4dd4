"""Provide one link to another entry host, at the caller's side."""

import dataclasses
import secrets
import socket
import typing

import curio
from websockets import client
from websockets import uri

from hibiscusslip import codec
from hibiscusslip.model import places
from hibiscusslip.peer import _channel
from hibiscusslip.peer import _handshake
from hibiscusslip.peer import counts
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import hello
from hibiscusslip.peer import limits
from hibiscusslip.peer import messages

_T = typing.TypeVar('_T')
WEBSOCKET_PATH = '/peer'


@dataclasses.dataclass(slots=True, eq=False)
class _PendingCall:
    message: _channel.OutgoingMessage
    done: curio.Event
    reply: messages.PeerMessage | None = None


class Link:
    """Send calls to one incarnation of a host.

    A link is never reused for another incarnation of the host.
    """

    def __init__(
        self,
        channel: _channel.Channel,
        peer: places.HostId,
        info: hello.HelloInfo,
        lim: limits.Limits,
        totals: counts.Counts,
    ):
        self.peer = peer
        self.info = info
        self._channel = channel
        self._limits = lim
        self._counts = totals
        self._pending_calls: dict[int, _PendingCall] = {}
        self._last_id = 0

    @property
    def closed(self) -> bool:
        """Return whether the link is closed to calls."""
        return self._channel.closed

    @property
    def last_used(self) -> float:
        """Return the monotonic time of the last read or write."""
        return self._channel.last_used

    @property
    def pending(self) -> int:
        """Return the number of calls that wait for a reply."""
        return len(self._pending_calls)

    async def run(self) -> None:
        """Write calls and read replies until the link ends."""
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._read_replies())
                await group.spawn(self._write())
        finally:
            async with curio.disable_cancellation():
                await self._close()

    async def _write(self) -> None:
        try:
            await self._channel.write_queued()
        except (OSError, curio.TaskTimeout, exceptions.PeerError):
            return

    async def _read_replies(self) -> None:
        try:
            while True:
                data = await self._channel.receive()
                envelope = codec.decode(data, messages.Envelope)
                await self._handle_reply(envelope)
        except (OSError, codec.CodecError, exceptions.PeerError):
            return

    async def _handle_reply(self, envelope: messages.Envelope) -> None:
        if not envelope.reply:
            raise exceptions.ChannelClosed(
                'received a call on a link that carries only replies'
            )
        pending_call = self._pending_calls.pop(envelope.call_id, None)
        if pending_call is None:
            self._counts.late_replies += 1
            return
        pending_call.reply = envelope.body
        await pending_call.done.set()

    async def _close(self) -> None:
        await self._channel.close()
        for pending_call in list(self._pending_calls.values()):
            await pending_call.done.set()
        self._pending_calls.clear()

    async def call(
        self, body: messages.PeerMessage, timeout: float, trace: str
    ) -> messages.PeerMessage:
        """Send a call and return its reply.

        Raises PeerUnreachable, PeerUnsettled or PeerRefused.
        """
        self._last_id += 1
        call_id = self._last_id
        pending_call = await self._send(call_id, body, timeout, trace)
        try:
            async with curio.timeout_after(timeout):
                await pending_call.done.wait()
        except curio.TaskTimeout:
            pass
        finally:
            self._pending_calls.pop(call_id, None)
            pending_call.message.cancelled = True
        return self._result(pending_call)

    async def _send(
        self,
        call_id: int,
        body: messages.PeerMessage,
        timeout: float,
        trace: str,
    ) -> _PendingCall:
        if len(self._pending_calls) >= self._limits.max_pending_calls:
            raise exceptions.PeerUnreachable(
                f'{self.peer}: {len(self._pending_calls)} calls wait for a'
                ' reply already; try again later'
            )
        envelope = messages.Envelope(call_id, False, trace, timeout, body)
        try:
            message = await self._channel.enqueue(codec.encode(envelope))
        except exceptions.PeerError as exc:
            raise exceptions.PeerUnreachable(f'{self.peer}: {exc}') from exc
        pending_call = _PendingCall(message, curio.Event())
        self._pending_calls[call_id] = pending_call
        self._counts.calls += 1
        return pending_call

    def _result(self, pending_call: _PendingCall) -> messages.PeerMessage:
        reply = pending_call.reply
        if isinstance(reply, messages.Refusal):
            raise exceptions.PeerRefused(
                reply.kind, reply.detail, reply.retry_after, reply.nearest
            )
        if reply is not None:
            return reply
        if not pending_call.message.written:
            raise exceptions.PeerUnreachable(
                f'{self.peer}: the call was not sent; try again'
            )
        raise exceptions.PeerUnsettled(
            f'{self.peer}: no reply arrived; query the outcome of the call'
            ' before repeating it'
        )

    async def request_close(self) -> None:
        """Start to close the link; calls in flight raise PeerUnsettled."""
        await self._channel.request_close()


async def connect(
    party: _handshake.HandshakeParty,
    host: str,
    address: str,
    port: int,
    lim: limits.Limits,
    totals: counts.Counts,
) -> Link:
    """Return a new link to `host`, after a successful handshake.

    Raises HelloRefused, ChannelClosed, OSError or TaskTimeout.
    """
    sock = await _connect_socket(address, port, lim)
    ws_uri = uri.parse_uri(
        f'ws://{_bracketed(address)}:{port}{WEBSOCKET_PATH}'
    )
    proto = client.ClientProtocol(ws_uri, max_size=lim.max_frame_bytes)
    channel = _channel.Channel(sock, proto, lim, totals)
    try:
        async with curio.timeout_after(lim.hello_timeout):
            await _upgrade(channel, proto)
            return await _shake_hands(channel, party, host, lim, totals)
    except BaseException:
        await channel.close()
        raise


def _bracketed(address: str) -> str:
    return f'[{address}]' if ':' in address else address


async def _connect_socket(
    address: str, port: int, lim: limits.Limits
) -> curio.io.Socket:
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    _channel.set_socket_options(raw, lim)
    sock = curio.io.Socket(raw)
    try:
        async with curio.timeout_after(lim.connect_timeout):
            await sock.connect((address, port))
    except BaseException:
        await sock.close()
        raise
    return sock


async def _upgrade(
    channel: _channel.Channel, proto: client.ClientProtocol
) -> None:
    proto.send_request(proto.connect())
    await channel.flush()
    await channel.receive_http()
    if proto.handshake_exc is not None:
        raise exceptions.HelloRefused(
            f'websocket upgrade failed: {proto.handshake_exc}; check that'
            ' the address is that of an entry host'
        )


async def _shake_hands(
    channel: _channel.Channel,
    party: _handshake.HandshakeParty,
    host: str,
    lim: limits.Limits,
    totals: counts.Counts,
) -> Link:
    opening = party.build_hello(
        host, secrets.token_bytes(_handshake.NONCE_BYTES)
    )
    await channel.send(codec.encode(opening))
    reply = await _receive_hello(channel, _handshake.HelloReply)
    proof = party.verify_reply(opening, reply)
    await channel.send(codec.encode(proof))
    await _receive_hello(channel, _handshake.HelloDone)
    peer = places.HostId(reply.host, reply.incarnation)
    info = hello.HelloInfo(reply.zone, reply.region, reply.shards_per_zone)
    return Link(channel, peer, info, lim, totals)


async def _receive_hello(channel: _channel.Channel, kind: type[_T]) -> _T:
    message = _handshake.decode(await channel.receive())
    if isinstance(message, _handshake.HelloDenied):
        raise exceptions.HelloRefused(f'{message.kind}: {message.detail}')
    if not isinstance(message, kind):
        raise exceptions.HelloRefused(
            f'malformed: expected {kind.__name__}, not'
            f' {type(message).__name__}; run the same release on both'
        )
    return message
