"""Hold small helpers for the tests of links."""

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
    """Return keys, those given or one that all tests share."""
    return hello.Keys(secrets or {'k1': SECRET})


class Echo(base.Handler):
    """Answer a status query with the sender; other calls when released."""

    def __init__(self):
        self.seen = []
        self.release = curio.Event()

    async def handle(self, sender, body):
        """Note the call and answer it."""
        self.seen.append((sender, body))
        if isinstance(body, messages.StatusQuery):
            return messages.HostStatus(str(sender).encode())
        if isinstance(body, messages.ConfigQuery):
            await self.release.wait()
            return messages.ConfigState(body.above, 0, b'')
        if isinstance(body, messages.ReleaseRequest):
            raise RuntimeError('broken on purpose')
        return body


@contextlib.asynccontextmanager
async def serving(me=SERVER, info=INFO, shared=None, lim=LIMITS, port=0):
    """Run a server; yields it, its handler and its port."""
    handler = Echo()
    srv = server.PeerServer(me, info, shared or keys(), lim, handler)
    bound = await srv.listen('127.0.0.1', port)
    task = await curio.spawn(srv.serve())
    try:
        yield Running(srv, handler, bound)
    finally:
        await srv.close(0.1)
        await task.join()


@dataclasses.dataclass
class Running:
    """Hold a running server with what tests look at."""

    server: server.PeerServer
    handler: Echo
    port: int


@contextlib.asynccontextmanager
async def linked(port, me=CALLER, info=INFO, shared=None, lim=LIMITS):
    """Make links whose host `b` listens on `port`."""
    made = links.PeerLinks(me, info, shared or keys(), lim)
    made.set_address('b', '127.0.0.1', port)
    try:
        yield made
    finally:
        await made.close()
