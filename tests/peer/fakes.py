"""Provide keys, handlers, servers and links for tests."""

import contextlib
import dataclasses

import curio

from hibiscusslip.model import places
from hibiscusslip.peer import base
from hibiscusslip.peer import hello
from hibiscusslip.peer import limits
from hibiscusslip.peer import links
from hibiscusslip.peer import messages
from hibiscusslip.peer import server

SECRET = b'0123456789abcdef'
OTHER_SECRET = b'fedcba9876543210'
INFO = hello.HelloInfo('z1', 'r1', 8)
SERVER = places.HostId('b', 'i1')
CALLER = places.HostId('a', 'i1')
LIMITS = limits.Limits(
    max_frame_bytes=64 * 1024,
    max_in_flight=2,
    hello_timeout=2.0,
    min_backoff=0.01,
    max_backoff=0.02,
    handler_grace=0.2,
)


def keys(**secrets):
    """Return the given shared keys, or the default one of these tests."""
    return hello.Keys(secrets or {'k1': SECRET})


class EchoHandler(base.Handler):
    """Reply to a StatusQuery with the caller's name, echo other messages.

    A ConfigQuery waits for `release`, a ReleaseRequest makes the handler
    raise.
    """

    def __init__(self):
        self.calls = []
        self.release = curio.Event()

    async def handle(self, sender, body):
        """Record the call and reply to it."""
        self.calls.append((sender, body))
        if isinstance(body, messages.StatusQuery):
            return messages.HostStatus(str(sender).encode())
        if isinstance(body, messages.ConfigQuery):
            await self.release.wait()
            return messages.ConfigState(body.above, 0, b'')
        if isinstance(body, messages.ReleaseRequest):
            raise RuntimeError('broken on purpose')
        return body


@contextlib.asynccontextmanager
async def running_server(
    me=SERVER, info=INFO, shared=None, lim=LIMITS, port=0
):
    """Run a server; yield it with its handler and port."""
    handler = EchoHandler()
    srv = server.PeerServer(me, info, shared or keys(), lim, handler)
    bound_port = await srv.listen('127.0.0.1', port)
    task = await curio.spawn(srv.serve())
    try:
        yield RunningServer(srv, handler, bound_port)
    finally:
        await srv.close(0.1)
        await task.join()


@dataclasses.dataclass
class RunningServer:
    """Store a running server with its handler and port."""

    server: server.PeerServer
    handler: EchoHandler
    port: int


@contextlib.asynccontextmanager
async def peer_links(port, me=CALLER, info=INFO, shared=None, lim=LIMITS):
    """Yield links that know `port` as the address of host `b`."""
    peers = links.PeerLinks(me, info, shared or keys(), lim)
    peers.set_address('b', '127.0.0.1', port)
    try:
        yield peers
    finally:
        await peers.close()
