"""Forward connections to one target, with injected faults."""

import dataclasses
import random
import socket
import struct
import typing

import curio
import msgspec

READ_BYTES = 16 * 1024
CONNECT_TIMEOUT_S = 3.0
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class DirectionFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Change the faults of one direction; times are in seconds.

    `hold` buffers bytes until it is cleared, `drop` discards them,
    `bytes_per_s` throttles, `jitter` adds a random delay up to its value.
    Held bytes are discarded if their sender has reset the connection
    meanwhile, as in a network, unless `late` is set.
    """

    delay: float | None = None
    jitter: float | None = None
    bytes_per_s: float | None = None
    hold: bool | None = None
    drop: bool | None = None
    late: bool | None = None


class RouteFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Change the faults of routes.

    A `route` that ends in `*` is a prefix. `cut` resets all open connections
    once, `refuse` resets new ones. The next `lose_answers` requests are
    forwarded, but their connections are reset in place of the responses.
    `heal` first clears all faults.
    """

    route: str
    up: DirectionFaults = msgspec.field(default_factory=DirectionFaults)
    down: DirectionFaults = msgspec.field(default_factory=DirectionFaults)
    cut: bool = False
    refuse: bool | None = None
    lose_answers: int | None = None
    heal: bool = False


class RouteRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Open a route; port 0 lets the system choose."""

    name: str
    address: str
    port: int
    listen: str = '127.0.0.1'
    listen_port: int = 0


@dataclasses.dataclass(slots=True)
class Direction:
    """Store the active faults of one direction and count its bytes."""

    delay: float = 0.0
    jitter: float = 0.0
    bytes_per_s: float = 0.0
    hold: bool = False
    drop: bool = False
    late: bool = False
    bytes_passed: int = 0
    released: typing.Any = dataclasses.field(default_factory=curio.Event)

    async def change(self, changes: DirectionFaults) -> None:
        """Apply the changes and make held bytes check them again."""
        for name in changes.__struct_fields__:
            value = getattr(changes, name)
            if value is not None:
                setattr(self, name, value)
        released, self.released = self.released, curio.Event()
        await released.set()

    async def apply_faults(
        self, size: int, source: typing.Any, rng: random.Random
    ) -> bool:
        """Delay the bytes as configured; return whether to forward them."""
        pause = self.delay + rng.random() * self.jitter
        if self.bytes_per_s > 0:
            pause += size / self.bytes_per_s
        if pause > 0:
            await curio.sleep(pause)
        late = self.late
        while self.hold:
            await self.released.wait()
        if self.drop or not (late or _is_connected(source)):
            return False
        self.bytes_passed += size
        return True


class Link:
    """Represent the two sockets of one connection through the proxy."""

    def __init__(self, client: typing.Any, target: typing.Any) -> None:
        self.client = client
        self.target = target
        self.response_lost = False
        self.incomplete = False

    def may_forward(self, delivered: bool) -> bool:
        """Return whether to forward bytes; reset the link after a gap.

        Bytes that follow dropped ones must not reach the receiver, as a TCP
        stream has no gaps.
        """
        if not delivered:
            self.incomplete = True
        elif self.incomplete:
            self.reset()
        return delivered and not self.incomplete

    def reset(self) -> None:
        """Reset both connections."""
        for sock in (self.client, self.target):
            try:
                sock._socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                sock._socket.shutdown(socket.SHUT_RDWR)
            except (OSError, AttributeError):
                continue


class Route:
    """Forward connections to one target."""

    def __init__(self, request: RouteRequest, seed: int) -> None:
        self.request = request
        self.up = Direction()
        self.down = Direction()
        self.refuse = False
        self.lose_answers = 0
        self.lost = 0
        self.accepted = 0
        self._links: set[Link] = set()
        self._rng = random.Random(f'{seed}/{request.name}')

    async def listen(self) -> int:
        """Accept connections and return the port."""
        request = self.request
        sock = curio.socket.socket(curio.socket.AF_INET)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((request.listen, request.listen_port))
        sock.listen(128)
        await curio.spawn(self._accept, sock, daemon=True)
        return sock.getsockname()[1]

    async def change(self, changes: RouteFaults) -> None:
        """Change the faults of the route."""
        if changes.heal:
            self.refuse, self.lose_answers = False, 0
            no_faults = DirectionFaults(0.0, 0.0, 0.0, False, False, False)
            await self.up.change(no_faults)
            await self.down.change(no_faults)
        if changes.refuse is not None:
            self.refuse = changes.refuse
        if changes.lose_answers is not None:
            self.lose_answers = changes.lose_answers
        await self.up.change(changes.up)
        await self.down.change(changes.down)
        if changes.cut:
            for link in self._links:
                link.reset()

    def counters(self) -> dict[str, int]:
        """Return the counters of connections, lost responses and bytes."""
        return {
            'accepted': self.accepted,
            'open': len(self._links),
            'lost': self.lost,
            'up': self.up.bytes_passed,
            'down': self.down.bytes_passed,
        }

    async def _accept(self, sock: typing.Any) -> None:
        while True:
            client, _ = await sock.accept()
            self.accepted += 1
            await curio.spawn(self._handle_connection, client, daemon=True)

    async def _handle_connection(self, client: typing.Any) -> None:
        target = curio.socket.socket(curio.socket.AF_INET)
        link = Link(client, target)
        try:
            if self.refuse:
                link.reset()
                return
            await self._connect(link)
        finally:
            self._links.discard(link)
            await target.close()
            await client.close()

    async def _connect(self, link: Link) -> None:
        address = self.request.address, self.request.port
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                await link.target.connect(address)
        except (OSError, curio.TaskTimeout):
            link.reset()
            return
        for sock in (link.client, link.target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._links.add(link)
        async with curio.TaskGroup() as group:
            await group.spawn(self._forward_up, link)
            await group.spawn(self._forward_down, link)

    async def _forward_up(self, link: Link) -> None:
        while data := await _receive(link.client, link):
            if self.lose_answers > 0 and not link.response_lost:
                self.lose_answers -= 1
                link.response_lost = True
            delivered = await self.up.apply_faults(
                len(data), link.client, self._rng
            )
            if link.may_forward(delivered):
                await _send(link.target, data, link)
        await _shut_down_writing(link.target)

    async def _forward_down(self, link: Link) -> None:
        while data := await _receive(link.target, link):
            if link.response_lost:
                self.lost += 1
                link.reset()
                return
            delivered = await self.down.apply_faults(
                len(data), link.target, self._rng
            )
            if link.may_forward(delivered):
                await _send(link.client, data, link)
        await _shut_down_writing(link.client)


async def _receive(sock: typing.Any, link: Link) -> bytes:
    try:
        return await sock.recv(READ_BYTES)
    except OSError:
        link.reset()
        return b''


async def _send(sock: typing.Any, data: bytes, link: Link) -> None:
    try:
        await sock.sendall(data)
    except OSError:
        link.reset()


async def _shut_down_writing(sock: typing.Any) -> None:
    try:
        await sock.shutdown(socket.SHUT_WR)
    except OSError:
        return


def _is_connected(sock: typing.Any) -> bool:
    """Return True unless the peer has reset the connection."""
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return code == 0
