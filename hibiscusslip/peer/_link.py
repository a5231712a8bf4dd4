"""Make one link to another entry host and call over it."""

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
PATH = '/peer'


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    out: _channel.Outgoing
    done: curio.Event
    reply: messages.PeerMessage | None = None


class Link:
    """Call one incarnation of a host; never used for another one."""

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
        self._waiters: dict[int, _Waiter] = {}
        self._last_id = 0

    @property
    def closed(self) -> bool:
        """Tell whether calls can't be made any more."""
        return self._channel.closed

    @property
    def last_used(self) -> float:
        """Return when bytes last passed, on the monotonic clock."""
        return self._channel.last_used

    @property
    def pending(self) -> int:
        """Return how many calls wait for a reply."""
        return len(self._waiters)

    async def run(self) -> None:
        """Carry calls and replies until the link ends."""
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._read_replies())
                await group.spawn(self._write())
        finally:
            async with curio.disable_cancellation():
                await self._end()

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
                await self._take(envelope)
        except (OSError, codec.CodecError, exceptions.PeerError):
            return

    async def _take(self, envelope: messages.Envelope) -> None:
        if not envelope.reply:
            raise exceptions.ChannelClosed('a call came on a reply stream')
        waiter = self._waiters.pop(envelope.call_id, None)
        if waiter is None:
            self._counts.late_replies += 1
            return
        waiter.reply = envelope.body
        await waiter.done.set()

    async def _end(self) -> None:
        await self._channel.close()
        for waiter in list(self._waiters.values()):
            await waiter.done.set()
        self._waiters.clear()

    async def call(
        self, body: messages.PeerMessage, timeout: float, trace: str
    ) -> messages.PeerMessage:
        """Send a call and wait for its reply; raises PeerError."""
        self._last_id += 1
        call_id = self._last_id
        waiter = await self._send(call_id, body, timeout, trace)
        try:
            async with curio.timeout_after(timeout):
                await waiter.done.wait()
        except curio.TaskTimeout:
            pass
        finally:
            self._waiters.pop(call_id, None)
            waiter.out.dropped = True
        return self._outcome(waiter)

    async def _send(
        self,
        call_id: int,
        body: messages.PeerMessage,
        timeout: float,
        trace: str,
    ) -> _Waiter:
        if len(self._waiters) >= self._limits.max_pending_calls:
            raise exceptions.PeerUnreachable(
                f'{self.peer}: too many calls wait already; try again later'
            )
        envelope = messages.Envelope(call_id, False, trace, timeout, body)
        try:
            out = await self._channel.push(codec.encode(envelope))
        except exceptions.PeerError as exc:
            raise exceptions.PeerUnreachable(f'{self.peer}: {exc}') from exc
        waiter = _Waiter(out, curio.Event())
        self._waiters[call_id] = waiter
        self._counts.calls += 1
        return waiter

    def _outcome(self, waiter: _Waiter) -> messages.PeerMessage:
        reply = waiter.reply
        if isinstance(reply, messages.Refusal):
            raise exceptions.PeerRefused(
                reply.kind, reply.detail, reply.retry_after, reply.nearest
            )
        if reply is not None:
            return reply
        if not waiter.out.written:
            raise exceptions.PeerUnreachable(
                f'{self.peer}: the call was not sent; try again'
            )
        raise exceptions.PeerUnsettled(
            f'{self.peer}: no answer came; ask how the call went before'
            ' repeating it'
        )

    async def shut(self) -> None:
        """End the link; calls in flight become unsettled."""
        await self._channel.shut()


async def connect(
    side: _handshake.Side,
    host: str,
    address: str,
    port: int,
    lim: limits.Limits,
    totals: counts.Counts,
) -> Link:
    """Return a new link to `host`; raises HelloRefused, OSError or
    TaskTimeout.
    """
    sock = await _dial(address, port, lim)
    path = uri.parse_uri(f'ws://{_bracketed(address)}:{port}{PATH}')
    proto = client.ClientProtocol(path, max_size=lim.max_frame_bytes)
    channel = _channel.Channel(sock, proto, lim, totals)
    try:
        async with curio.timeout_after(lim.hello_timeout):
            await _upgrade(channel, proto)
            return await _greet(channel, side, host, lim, totals)
    except BaseException:
        await channel.close()
        raise


def _bracketed(address: str) -> str:
    return f'[{address}]' if ':' in address else address


async def _dial(
    address: str, port: int, lim: limits.Limits
) -> curio.io.Socket:
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    _channel.tune(raw, lim)
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
            f'no websocket: {proto.handshake_exc}; check that the address'
            ' is that of an entry host'
        )


async def _greet(
    channel: _channel.Channel,
    side: _handshake.Side,
    host: str,
    lim: limits.Limits,
    totals: counts.Counts,
) -> Link:
    opening = side.hello(host, secrets.token_bytes(_handshake.NONCE_BYTES))
    await channel.send(codec.encode(opening))
    reply = await _expect(channel, _handshake.HelloReply)
    proof = side.answer(opening, reply)
    await channel.send(codec.encode(proof))
    await _expect(channel, _handshake.HelloDone)
    peer = places.HostId(reply.host, reply.incarnation)
    info = hello.HelloInfo(reply.zone, reply.region, reply.shards_per_zone)
    return Link(channel, peer, info, lim, totals)


async def _expect(channel: _channel.Channel, kind: type[_T]) -> _T:
    message = _handshake.decode(await channel.receive())
    if isinstance(message, _handshake.HelloDenied):
        raise exceptions.HelloRefused(f'{message.kind}: {message.detail}')
    if not isinstance(message, kind):
        raise exceptions.HelloRefused('malformed: unexpected hello message')
    return message
