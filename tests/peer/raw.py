"""Provide a caller that can violate the protocol of the links."""

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
    """Represent a connection over which a test sends each message itself."""

    def __init__(self, sock, proto, channel, party):
        self.sock = sock
        self.proto = proto
        self.channel = channel
        self.party = party

    async def send(self, message):
        """Send one message."""
        await self.channel.send(codec.encode(message))

    async def receive(self):
        """Return the next handshake message."""
        return _handshake.decode(await self.channel.receive())

    async def shake_hands(self):
        """Complete a valid handshake; return the hello and the proof."""
        opening = self.party.build_hello('b', NONCE)
        await self.send(opening)
        proof = self.party.verify_reply(opening, await self.receive())
        await self.send(proof)
        assert isinstance(await self.receive(), _handshake.HelloDone)
        return opening, proof

    async def reset(self):
        """Close the connection with a TCP reset."""
        linger = struct.pack('ii', 1, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        await self.sock.close()


@contextlib.asynccontextmanager
async def raw_caller(port, me=fakes.CALLER, info=fakes.INFO, shared=None):
    """Connect and upgrade to a websocket, without the handshake."""
    sock = await curio.open_connection('127.0.0.1', port)
    proto = client.ClientProtocol(uri.parse_uri('ws://127.0.0.1/peer'))
    lim = limits.Limits()
    channel = _channel.Channel(sock, proto, lim, counts.Counts())
    proto.send_request(proto.connect())
    await channel.flush()
    await channel.receive_http()
    party = _handshake.HandshakeParty(me, info, shared or fakes.keys())
    yield RawCaller(sock, proto, channel, party)
    await channel.close()
