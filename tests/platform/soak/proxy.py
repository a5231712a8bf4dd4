"""Forward TCP connections on loopback, with injected faults."""

import contextlib
import socket
import struct
import time
import typing

import curio

CHUNK_BYTES = 65536
PASS = ''
SILENT = 'silent'
RESET = 'reset'
SLOW = 'slow'
ONE_WAY = 'one_way'
SLOW_DELAY_S = 0.2
LINK_CHUNK_BYTES = 8192
MAX_LATENESS_S = 0.05  # of this process, which a link makes up for
BITS_PER_BYTE = 8
_LINGER = struct.pack('ii', 1, 0)


class _Direction:
    """One direction of a link; all connections share its rate."""

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = mbps * 1e6 / BITS_PER_BYTE
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Return when the link has carried `size` bytes."""
        now = time.monotonic()
        if now > self._free_at + MAX_LATENESS_S:
            self._free_at = now  # it was idle
        self._free_at += size / self._bytes_per_s
        await curio.sleep(max(self._free_at - now, 0.0))


async def _connect(port: int) -> typing.Any:
    """Return a connection to a port on loopback; raises OSError.

    curio.open_connection() resolves the address in a worker thread. On a busy
    machine the event loop stood still for 0.4 to 1.3 s until a new one ran.
    """
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect(('127.0.0.1', port))
    except BaseException:
        await sock.close()
        raise
    return sock


class Link:
    """A link whose connections share its rate, in each direction."""

    def __init__(self, mbps: float) -> None:
        self.up = _Direction(mbps)
        self.down = _Direction(mbps)


class Proxy:
    """Forward connections to one port; the mode is the injected fault.

    With a `link` all connections share its rate, with those of other proxies
    on it.

    PASS forwards all data, SLOW delays it, SILENT forwards none, ONE_WAY
    forwards requests but no responses, and RESET resets connections. A
    connection that is open during SILENT or ONE_WAY stays broken afterwards;
    only new ones work.
    """

    def __init__(self, port: int, link: Link | None = None) -> None:
        self._port = port
        self._link = link
        self._mode = PASS
        self._open: set[_Connection] = set()
        self.port = 0

    async def listen(self) -> None:
        """Bind a free port and forward until the event loop ends."""
        listener = curio.socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(('127.0.0.1', 0))
        listener.listen(128)
        self.port = listener.getsockname()[1]
        await curio.spawn(self._accept, listener, daemon=True)

    async def set_mode(self, mode: str) -> None:
        """Set the mode, for open connections as well."""
        self._mode = mode
        for conn in list(self._open):
            if mode == RESET:
                await conn.reset()
            elif mode in (SILENT, ONE_WAY):
                conn.mode = mode

    async def _accept(self, listener: typing.Any) -> None:
        while True:
            client, _ = await listener.accept()
            await curio.spawn(self._forward, client, daemon=True)

    async def _forward(self, client: typing.Any) -> None:
        conn = _Connection(client, self._mode, self._link)
        self._open.add(conn)
        if self._mode == RESET:
            await conn.reset()
        try:
            await conn.run(self._port)
        finally:
            self._open.discard(conn)


class _Connection:
    def __init__(
        self, client: typing.Any, mode: str, link: Link | None
    ) -> None:
        self._link = link
        self._sockets = [client]
        self._reset_requested = curio.Event()
        self.mode = mode

    async def run(self, port: int) -> None:
        try:
            server = await _connect(port)
        except OSError:
            self._abort()
            await self._close()
            return
        (client,) = self._sockets
        self._sockets.append(server)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._copy, client, server, False)
            await group.spawn(self._copy, server, client, True)
            await group.spawn(self._reset_requested.wait)
        await self._close()

    async def _copy(
        self, source: typing.Any, target: typing.Any, is_response: bool
    ) -> None:
        with contextlib.suppress(OSError):
            if self._link is None:
                while data := await source.recv(CHUNK_BYTES):
                    await self._forward(data, target, is_response)
                return
            direction = self._link.down if is_response else self._link.up
            async with curio.TaskGroup(wait=all) as group:
                queue: curio.Queue = curio.Queue()
                await group.spawn(self._read_all, source, queue)
                while data := await queue.get():
                    await direction.carry(len(data))
                    await self._forward(data, target, is_response)

    async def _read_all(self, source: typing.Any, queue: curio.Queue) -> None:
        """Queue what arrives, so that the sender's window stays open."""
        data = b'x'
        while data:
            try:
                data = await source.recv(LINK_CHUNK_BYTES)
            except OSError:
                data = b''
            await queue.put(data)

    async def _forward(
        self, data: bytes, target: typing.Any, is_response: bool
    ) -> None:
        if self.mode == SLOW:
            await curio.sleep(SLOW_DELAY_S)
        if self.mode == SILENT or (self.mode == ONE_WAY and is_response):
            await curio.sleep(3600)
        await target.sendall(data)

    async def reset(self) -> None:
        """Reset the connection; the task in run() closes it."""
        self._abort()
        await self._reset_requested.set()

    def _abort(self) -> None:
        """Have closing the sockets send a reset to both peers."""
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)

    async def _close(self) -> None:
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                await sock.close()
