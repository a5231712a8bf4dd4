"""Carry whole binary messages over one websocket connection.

The protocol of `websockets` is used without its I/O, over a curio socket.
"""

import collections
import dataclasses
import socket
import time

import curio
from websockets import frames
from websockets import http11
from websockets import protocol

from hibiscusslip.peer import counts
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import limits

READ_BYTES = 64 * 1024
CLOSE_TIMEOUT_SECONDS = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Outgoing:
    """Hold one message to send.

    `written` is set when the first byte may have left, `dropped` by a
    sender that no longer wants it sent.
    """

    data: bytes
    written: bool = False
    dropped: bool = False


def tune(sock: socket.socket, lim: limits.Limits) -> None:
    """Set the TCP options of a link's socket."""
    millis = int(lim.tcp_user_timeout * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, millis)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


class Channel:
    """Send and receive messages; one reader and one writer at a time."""

    def __init__(
        self,
        sock: curio.io.Socket,
        proto: protocol.Protocol,
        lim: limits.Limits,
        totals: counts.Counts,
    ):
        self._sock = sock
        self._proto = proto
        self._limits = lim
        self._counts = totals
        self._inbox: collections.deque[bytes] = collections.deque()
        self._http: list[http11.Request | http11.Response] = []
        self._outbox: collections.deque[Outgoing] = collections.deque()
        self._outbox_bytes = 0
        self._wake = curio.Event()
        self._torn = False
        self.closed = False
        self.last_used = time.monotonic()

    @property
    def queued(self) -> int:
        """Return how many messages wait to be written."""
        return len(self._outbox)

    async def receive_http(self) -> http11.Request | http11.Response:
        """Return the HTTP message that opens the websocket."""
        while not self._http:
            await self._fill()
        return self._http.pop()

    async def receive(self) -> bytes:
        """Return the next message; raises ChannelClosed or OSError."""
        while not self._inbox:
            await self._fill()
        return self._inbox.popleft()

    async def _fill(self) -> None:
        data = await self._sock.recv(READ_BYTES)
        if not data:
            raise exceptions.ChannelClosed('the other host closed the link')
        self._counts.bytes_received += len(data)
        self.last_used = time.monotonic()
        self._proto.receive_data(data)
        for event in self._proto.events_received():
            await self._take(event)
        self._check_open()

    async def _take(self, event: object) -> None:
        if not isinstance(event, frames.Frame):
            self._http.append(event)  # type: ignore[arg-type]
        elif event.opcode is frames.Opcode.BINARY and event.fin:
            self._inbox.append(bytes(event.data))
        elif event.opcode in (frames.Opcode.PING, frames.Opcode.CLOSE):
            await self._wake.set()
        elif event.opcode is not frames.Opcode.PONG:
            raise exceptions.ChannelClosed(
                'only whole binary frames are allowed on a link'
            )

    def _check_open(self) -> None:
        if self._inbox or self._http:
            return
        if self._proto.parser_exc is not None:
            raise exceptions.ChannelClosed(
                f'broken frame: {self._proto.parser_exc}'
            )
        if self._proto.state > protocol.State.OPEN:
            raise exceptions.ChannelClosed('the link was closed')

    async def send(self, data: bytes) -> None:
        """Send one message at once; for the handshake only."""
        self._proto.send_binary(data)
        await self.flush()

    async def push(self, data: bytes) -> Outgoing:
        """Queue a message for the writer.

        Raises ChannelClosed and QueueFull; nothing is queued then.
        """
        if self.closed:
            raise exceptions.ChannelClosed('the link is closed')
        if len(data) > self._limits.max_frame_bytes:
            raise exceptions.QueueFull(
                f'a message of {len(data)} bytes is over the limit of'
                f' {self._limits.max_frame_bytes}; send less at a time'
            )
        if self._outbox_bytes + len(data) > self._limits.max_queue_bytes:
            raise exceptions.QueueFull(
                'the send queue is full; the other host or the network is'
                ' slow, try again later'
            )
        out = Outgoing(data)
        self._outbox.append(out)
        self._outbox_bytes += len(data)
        if not self._wake.is_set():
            await self._wake.set()
        return out

    async def write_queued(self) -> None:
        """Write queued messages until the link closes.

        Raises ChannelClosed or OSError.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._frame_some():
                await self.flush()
            await self.flush()
            if self._proto.state > protocol.State.OPEN:
                raise exceptions.ChannelClosed('the link was closed')

    def _frame_some(self) -> bool:
        framed = 0
        while self._outbox and framed < self._limits.max_write_bytes:
            if self._proto.state is not protocol.State.OPEN:
                return False
            out = self._outbox.popleft()
            self._outbox_bytes -= len(out.data)
            if out.dropped:
                continue
            out.written = True
            self._proto.send_binary(out.data)
            framed += len(out.data)
        return framed > 0

    async def flush(self) -> None:
        """Write what the protocol has ready; raises OSError."""
        chunks = self._proto.data_to_send()
        if not chunks:
            return
        data = b''.join(chunks)
        # A write that was cut short leaves half a frame on the stream:
        # nothing may follow it, or the rest would be read as its content.
        self._torn = True
        async with curio.timeout_after(self._limits.write_timeout):
            await self._sock.sendall(data)
        self._torn = False
        self._counts.bytes_sent += len(data)
        self._counts.writes += 1
        self.last_used = time.monotonic()
        if chunks[-1] == b'':
            await self._sock.shutdown(socket.SHUT_WR)

    async def shut(self) -> None:
        """Ask the writer to say goodbye, which ends the link."""
        if self._proto.state is protocol.State.OPEN:
            self._proto.send_close(frames.CloseCode.GOING_AWAY)
        await self._wake.set()

    async def close(self) -> None:
        """Say goodbye if the stream is intact, then close the socket."""
        if self.closed:
            return
        self.closed = True
        try:
            async with curio.ignore_after(CLOSE_TIMEOUT_SECONDS):
                await self._say_goodbye()
        except (OSError, curio.TaskTimeout):
            pass
        finally:
            await self._sock.close()

    async def _say_goodbye(self) -> None:
        if self._torn:
            return
        if self._proto.state is protocol.State.OPEN:
            self._proto.send_close(frames.CloseCode.GOING_AWAY)
        await self.flush()
