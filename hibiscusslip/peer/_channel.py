"""Send and receive binary messages over one websocket connection.

The sans-I/O protocol of `websockets` runs over a curio socket.
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
CLOSE_TIMEOUT_S = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class OutgoingMessage:
    """Store one message of the send queue.

    `written` is set before the first byte may leave the host. A sender sets
    `cancelled` so that a message that isn't written yet is skipped.
    """

    data: bytes
    written: bool = False
    cancelled: bool = False


def set_socket_options(sock: socket.socket, lim: limits.Limits) -> None:
    """Set the TCP options of a link's socket.

    Small writes are sent at once. The kernel closes the connection when sent
    data stays unacknowledged for `tcp_user_timeout`, and probes an idle one.
    """
    millis = int(lim.tcp_user_timeout * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, millis)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)


class Channel:
    """Send and receive messages over one websocket.

    One task may read and one may write at a time.
    """

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
        self._received: collections.deque[bytes] = collections.deque()
        self._http_messages: list[http11.Request | http11.Response] = []
        self._send_queue: collections.deque[OutgoingMessage] = (
            collections.deque()
        )
        self._send_queue_bytes = 0
        self._writer_wakeup = curio.Event()
        self._partially_written = False
        self._bytes_allowed: int | None = None
        self.closed = False
        self.last_used = time.monotonic()

    def limit_bytes(self, size: int | None) -> None:
        """Let the other side send `size` bytes, None for any number.

        A frame takes memory before it is complete, and so do the answers to
        control frames.
        """
        self._bytes_allowed = size

    @property
    def queued(self) -> int:
        """Return the number of messages that wait to be written."""
        return len(self._send_queue)

    async def receive_http(self) -> http11.Request | http11.Response:
        """Return the HTTP request or response of the websocket upgrade.

        Raises ChannelClosed or OSError.
        """
        while not self._http_messages:
            await self._read_socket()
        return self._http_messages.pop()

    async def receive(self) -> bytes:
        """Return the next message; raises ChannelClosed or OSError."""
        while not self._received:
            await self._read_socket()
        return self._received.popleft()

    async def _read_socket(self) -> None:
        data = await self._sock.recv(self._next_read_size())
        if not data:
            raise exceptions.ChannelClosed(
                'the other host closed the connection'
            )
        if self._bytes_allowed is not None:
            self._bytes_allowed -= len(data)
        self._counts.bytes_received += len(data)
        self.last_used = time.monotonic()
        self._proto.receive_data(data)
        for event in self._proto.events_received():
            await self._handle_event(event)
        self._check_open()

    def _next_read_size(self) -> int:
        """Return how much to read; raises ChannelClosed at the limit."""
        if self._bytes_allowed is None:
            return READ_BYTES
        if self._bytes_allowed <= 0:
            raise exceptions.ChannelClosed(
                'too much was sent before the handshake; check what connects'
            )
        return min(self._bytes_allowed, READ_BYTES)

    async def _handle_event(self, event: object) -> None:
        if not isinstance(event, frames.Frame):
            self._http_messages.append(event)  # type: ignore[arg-type]
        elif event.opcode is frames.Opcode.BINARY and event.fin:
            self._received.append(bytes(event.data))
        elif event.opcode in (frames.Opcode.PING, frames.Opcode.CLOSE):
            await self._writer_wakeup.set()
        elif event.opcode is not frames.Opcode.PONG:
            raise exceptions.ChannelClosed(
                f'unexpected {event.opcode.name} frame; a link carries only'
                ' unfragmented binary frames'
            )

    def _check_open(self) -> None:
        if self._received or self._http_messages:
            return
        if self._proto.parser_exc is not None:
            raise exceptions.ChannelClosed(
                f'invalid websocket frame: {self._proto.parser_exc}'
            )
        if self._proto.state > protocol.State.OPEN:
            raise exceptions.ChannelClosed('the link was closed')

    async def send(self, data: bytes) -> None:
        """Send one message without queueing it; only for the handshake."""
        self._proto.send_binary(data)
        await self.flush()

    async def enqueue(self, data: bytes) -> OutgoingMessage:
        """Append a message to the send queue and wake the writer.

        Raises ChannelClosed or QueueFull; nothing is queued then.
        """
        if self.closed:
            raise exceptions.ChannelClosed('the link is closed')
        if len(data) > self._limits.max_frame_bytes:
            raise exceptions.QueueFull(
                f'a message of {len(data)} bytes is over the limit of'
                f' {self._limits.max_frame_bytes}; send less at a time'
            )
        if self._send_queue_bytes + len(data) > self._limits.max_queue_bytes:
            raise exceptions.QueueFull(
                f'the send queue is full ({self._limits.max_queue_bytes}'
                ' bytes); the other host or the network is slow, try again'
                ' later'
            )
        message = OutgoingMessage(data)
        self._send_queue.append(message)
        self._send_queue_bytes += len(data)
        if not self._writer_wakeup.is_set():
            await self._writer_wakeup.set()
        return message

    async def write_queued(self) -> None:
        """Write queued messages until the connection closes.

        Raises ChannelClosed, OSError or TaskTimeout.
        """
        while True:
            await self._writer_wakeup.wait()
            self._writer_wakeup.clear()
            while self._frame_queued():
                await self.flush()
            await self.flush()
            if self._proto.state > protocol.State.OPEN:
                raise exceptions.ChannelClosed('the link was closed')

    def _frame_queued(self) -> bool:
        framed = 0
        while self._send_queue and framed < self._limits.max_write_bytes:
            if self._proto.state is not protocol.State.OPEN:
                return False
            message = self._send_queue.popleft()
            self._send_queue_bytes -= len(message.data)
            if message.cancelled:
                continue
            message.written = True
            self._proto.send_binary(message.data)
            framed += len(message.data)
        return framed > 0

    async def flush(self) -> None:
        """Write the bytes that the protocol has ready.

        Raises OSError, or TaskTimeout after `write_timeout`.
        """
        chunks = self._proto.data_to_send()
        if not chunks:
            return
        data = b''.join(chunks)
        # An interrupted write leaves part of a frame on the stream. Nothing
        # may follow it: the receiver would read it as the frame's content.
        self._partially_written = True
        async with curio.timeout_after(self._limits.write_timeout):
            await self._sock.sendall(data)
        self._partially_written = False
        self._counts.bytes_sent += len(data)
        self._counts.writes += 1
        self.last_used = time.monotonic()
        if chunks[-1] == b'':
            await self._sock.shutdown(socket.SHUT_WR)

    async def request_close(self) -> None:
        """Make the writer send a close frame, which ends the link.

        Messages that are still queued aren't sent.
        """
        if self._proto.state is protocol.State.OPEN:
            self._proto.send_close(frames.CloseCode.GOING_AWAY)
        await self._writer_wakeup.set()

    def shut_down(self) -> None:
        """Shut the socket down, so that a task that waits on it wakes."""
        try:
            self._sock._socket.shutdown(socket.SHUT_RDWR)
        except (OSError, AttributeError):
            return  # it is closed or disconnected already

    async def close(self) -> None:
        """Send a close frame unless a write was partial, then close."""
        if self.closed:
            return
        self.closed = True
        try:
            async with curio.ignore_after(CLOSE_TIMEOUT_S):
                await self._send_close_frame()
        except (OSError, curio.TaskTimeout):
            pass
        finally:
            await self._sock.close()

    async def _send_close_frame(self) -> None:
        if self._partially_written:
            return
        if self._proto.state is protocol.State.OPEN:
            self._proto.send_close(frames.CloseCode.GOING_AWAY)
        await self.flush()
