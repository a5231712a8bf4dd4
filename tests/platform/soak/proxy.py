"""Forward TCP connections on loopback, or harm them."""

import contextlib
import socket
import struct
import typing

import curio

CHUNK = 65536
PASS = ''
SILENT = 'silent'
RESET = 'reset'
SLOW = 'slow'
ONE_WAY = 'one_way'
SLOW_S = 0.2
_LINGER = struct.pack('ii', 1, 0)


class Proxy:
    """Forward to one port; `harm` changes how.

    Connections that a silence or a one-way cut meets stay as they are when
    it ends: only new ones work.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._mode = PASS
        self._open: set[_Connection] = set()
        self.port = 0

    async def listen(self) -> None:
        """Bind and forward until the loop ends."""
        listener = curio.socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(('127.0.0.1', 0))
        listener.listen(128)
        self.port = listener.getsockname()[1]
        await curio.spawn(self._accept, listener, daemon=True)

    async def harm(self, mode: str) -> None:
        """Change the mode, also for open connections."""
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
        conn = _Connection(client, self._mode)
        self._open.add(conn)
        if self._mode == RESET:
            await conn.reset()
        try:
            await conn.run(self._port)
        finally:
            self._open.discard(conn)


class _Connection:
    def __init__(self, client: typing.Any, mode: str) -> None:
        self._sockets = [client]
        self._broken = curio.Event()
        self.mode = mode

    async def run(self, port: int) -> None:
        try:
            server = await curio.open_connection('127.0.0.1', port)
        except OSError:
            self._abort()
            await self._close()
            return
        (client,) = self._sockets
        self._sockets.append(server)
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._copy, client, server, False)
            await group.spawn(self._copy, server, client, True)
            await group.spawn(self._broken.wait)
        await self._close()

    async def _copy(
        self, source: typing.Any, target: typing.Any, back: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.recv(CHUNK):
                if self.mode == SLOW:
                    await curio.sleep(SLOW_S)
                if self.mode == SILENT or (self.mode == ONE_WAY and back):
                    await curio.sleep(3600)
                await target.sendall(data)

    async def reset(self) -> None:
        """Break the connection off; its own task closes it."""
        self._abort()
        await self._broken.set()

    def _abort(self) -> None:
        """Have the end of the connection reach the peer as a reset."""
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)

    async def _close(self) -> None:
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                await sock.close()
