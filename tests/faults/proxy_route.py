"""Carry connections to one target and break them as told."""

import dataclasses
import random
import socket
import struct
import typing

import curio
import msgspec

PIECE_BYTES = 16 * 1024
CONNECT_TIMEOUT_S = 3.0
RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class WayFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Change one direction; times are in seconds.

    `hold` keeps bytes back until it is lifted, `drop` swallows them,
    `bytes_per_s` throttles, `jitter` adds up to that much delay. Held bytes
    are dropped when their sender has reset its connection meanwhile, as a
    network would, unless `late` is set.
    """

    delay: float | None = None
    jitter: float | None = None
    bytes_per_s: float | None = None
    hold: bool | None = None
    drop: bool | None = None
    late: bool | None = None


class RouteFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Change the faults of routes.

    `route` ends in `*` to mean all that begin so. `cut` resets all open
    connections once, `refuse` resets new ones, `lose_answers` passes on the
    next so many requests and resets instead of passing their answers.
    """

    route: str
    up: WayFaults = msgspec.field(default_factory=WayFaults)
    down: WayFaults = msgspec.field(default_factory=WayFaults)
    cut: bool = False
    refuse: bool | None = None
    lose_answers: int | None = None
    heal: bool = False


class RouteOrder(msgspec.Struct, forbid_unknown_fields=True):
    """Open a route; port 0 lets the system choose."""

    name: str
    address: str
    port: int
    listen: str = '127.0.0.1'
    listen_port: int = 0


@dataclasses.dataclass(slots=True)
class Way:
    """Hold the present faults of one direction and what went through."""

    delay: float = 0.0
    jitter: float = 0.0
    bytes_per_s: float = 0.0
    hold: bool = False
    drop: bool = False
    late: bool = False
    passed: int = 0
    lifted: typing.Any = dataclasses.field(default_factory=curio.Event)

    async def change(self, order: WayFaults) -> None:
        """Set what the order names and let held bytes go."""
        for name in order.__struct_fields__:
            value = getattr(order, name)
            if value is not None:
                setattr(self, name, value)
        lifted, self.lifted = self.lifted, curio.Event()
        await lifted.set()

    async def pass_gate(
        self, size: int, source: typing.Any, chance: random.Random
    ) -> bool:
        """Wait as the faults say; tell whether the bytes go on."""
        pause = self.delay + chance.random() * self.jitter
        if self.bytes_per_s > 0:
            pause += size / self.bytes_per_s
        if pause > 0:
            await curio.sleep(pause)
        late = self.late
        while self.hold:
            await self.lifted.wait()
        if self.drop or not (late or _alive(source)):
            return False
        self.passed += size
        return True


class Link:
    """Hold the two sockets of one connection through the proxy."""

    def __init__(self, near: typing.Any, far: typing.Any) -> None:
        self.near = near
        self.far = far
        self.losing = False
        self.torn = False

    def usable(self, passes: bool) -> bool:
        """Tell whether bytes go on; after a gap the link is reset."""
        if not passes:
            self.torn = True
        elif self.torn:
            self.reset()
        return passes and not self.torn

    def reset(self) -> None:
        """Make both ends see a reset."""
        for sock in (self.near, self.far):
            try:
                sock._socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                sock._socket.shutdown(socket.SHUT_RDWR)
            except (OSError, AttributeError):
                continue


class Route:
    """Pass connections on to one target."""

    def __init__(self, order: RouteOrder, seed: int) -> None:
        self.order = order
        self.up = Way()
        self.down = Way()
        self.refuse = False
        self.lose_answers = 0
        self.lost = 0
        self.accepted = 0
        self._links: set[Link] = set()
        self._chance = random.Random(f'{seed}/{order.name}')

    async def listen(self) -> int:
        """Start to accept connections and return the port."""
        order = self.order
        sock = curio.socket.socket(curio.socket.AF_INET)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((order.listen, order.listen_port))
        sock.listen(128)
        await curio.spawn(self._accept, sock, daemon=True)
        return sock.getsockname()[1]

    async def change(self, order: RouteFaults) -> None:
        """Apply an order."""
        if order.heal:
            self.refuse, self.lose_answers = False, 0
            whole = WayFaults(0.0, 0.0, 0.0, False, False, False)
            await self.up.change(whole)
            await self.down.change(whole)
        if order.refuse is not None:
            self.refuse = order.refuse
        if order.lose_answers is not None:
            self.lose_answers = order.lose_answers
        await self.up.change(order.up)
        await self.down.change(order.down)
        if order.cut:
            for link in self._links:
                link.reset()

    def counters(self) -> dict[str, int]:
        """Return what went through."""
        return {
            'accepted': self.accepted,
            'open': len(self._links),
            'lost': self.lost,
            'up': self.up.passed,
            'down': self.down.passed,
        }

    async def _accept(self, sock: typing.Any) -> None:
        while True:
            near, _ = await sock.accept()
            self.accepted += 1
            await curio.spawn(self._carry, near, daemon=True)

    async def _carry(self, near: typing.Any) -> None:
        far = curio.socket.socket(curio.socket.AF_INET)
        link = Link(near, far)
        try:
            if self.refuse:
                link.reset()
                return
            await self._join(link)
        finally:
            self._links.discard(link)
            await far.close()
            await near.close()

    async def _join(self, link: Link) -> None:
        target = self.order.address, self.order.port
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                await link.far.connect(target)
        except (OSError, curio.TaskTimeout):
            link.reset()
            return
        for sock in (link.near, link.far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._links.add(link)
        async with curio.TaskGroup() as group:
            await group.spawn(self._pump_up, link)
            await group.spawn(self._pump_down, link)

    async def _pump_up(self, link: Link) -> None:
        while data := await _receive(link.near, link):
            if self.lose_answers > 0 and not link.losing:
                self.lose_answers -= 1
                link.losing = True
            passes = await self.up.pass_gate(
                len(data), link.near, self._chance
            )
            if link.usable(passes):
                await _send(link.far, data, link)
        await _end(link.far)

    async def _pump_down(self, link: Link) -> None:
        while data := await _receive(link.far, link):
            if link.losing:
                self.lost += 1
                link.reset()
                return
            passes = await self.down.pass_gate(
                len(data), link.far, self._chance
            )
            if link.usable(passes):
                await _send(link.near, data, link)
        await _end(link.near)


async def _receive(sock: typing.Any, link: Link) -> bytes:
    try:
        return await sock.recv(PIECE_BYTES)
    except OSError:
        link.reset()
        return b''


async def _send(sock: typing.Any, data: bytes, link: Link) -> None:
    try:
        await sock.sendall(data)
    except OSError:
        link.reset()


async def _end(sock: typing.Any) -> None:
    try:
        await sock.shutdown(socket.SHUT_WR)
    except OSError:
        return


def _alive(sock: typing.Any) -> bool:
    """Tell whether the peer of a socket hasn't reset it."""
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return code == 0
