"""Play a host that breaks the rules of the link."""

import contextlib
import socket
import struct

import curio
from websockets import client
from websockets import uri

from hibiscusslip import codec
from hibiscusslip.peer import _channel
from hibiscusslip.peer import _handshake
from hibiscusslip.peer import counts
from hibiscusslip.peer import limits
from tests.peer import fakes

NONCE = b'n' * _handshake.NONCE_BYTES


class RawCaller:
    """Hold a connection whose hello messages a test sends itself."""

    def __init__(self, sock, proto, channel, side):
        self.sock = sock
        self.proto = proto
        self.channel = channel
        self.side = side

    async def send(self, message):
        """Send one message."""
        await self.channel.send(codec.encode(message))

    async def receive(self):
        """Return the next hello message."""
        return _handshake.decode(await self.channel.receive())

    async def shake_hands(self):
        """Do a correct handshake and return what was sent."""
        opening = self.side.hello('b', NONCE)
        await self.send(opening)
        proof = self.side.answer(opening, await self.receive())
        await self.send(proof)
        assert isinstance(await self.receive(), _handshake.HelloDone)
        return opening, proof

    async def reset(self):
        """Close with a reset instead of an orderly end."""
        linger = struct.pack('ii', 1, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await self.sock.close()


@contextlib.asynccontextmanager
async def calling(port, me=fakes.CALLER, info=fakes.INFO, shared=None):
    """Connect and open the websocket, but say no hello yet."""
    sock = await curio.open_connection('127.0.0.1', port)
    proto = client.ClientProtocol(uri.parse_uri('ws://127.0.0.1/peer'))
    lim = limits.Limits()
    channel = _channel.Channel(sock, proto, lim, counts.Counts())
    proto.send_request(proto.connect())
    await channel.flush()
    await channel.receive_http()
    side = _handshake.Side(me, info, shared or fakes.keys())
    yield RawCaller(sock, proto, channel, side)
    await channel.close()
