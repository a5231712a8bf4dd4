"""Build and verify the messages of the handshake, without any I/O.

The caller sends `Hello`. The server replies with `HelloReply` and a proof
that it holds a shared key, the caller sends its own proof in `HelloProof`,
and `HelloDone` completes the handshake. Each proof is an HMAC over the
fresh nonces and the descriptions of both hosts, so a replayed proof fails
verification. The two sides use different labels, so that a server's proof
can't be reflected as the caller's.
"""

import typing

import msgspec

from hibiscusslip import codec
from hibiscusslip.model import places
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import hello

NONCE_BYTES = 16
MAX_HELLO_BYTES = 4096
_CALLER_LABEL = b'hibiscusslip peer caller\0'
_SERVER_LABEL = b'hibiscusslip peer server\0'


class Hello(msgspec.Struct, frozen=True, tag='hello'):
    """Request a link to the host that is named in `to_host`."""

    version: int
    host: str
    incarnation: str
    zone: str
    region: str
    shards_per_zone: int
    to_host: str
    key_ids: list[str]
    nonce: bytes


class HelloReply(msgspec.Struct, frozen=True, tag='hello_reply'):
    """Reply to a hello with the server's description and proof."""

    host: str
    incarnation: str
    zone: str
    region: str
    shards_per_zone: int
    key_id: str
    nonce: bytes
    proof: bytes


class HelloProof(msgspec.Struct, frozen=True, tag='hello_proof'):
    """Prove that the caller holds the key that the reply names."""

    proof: bytes


class HelloDone(msgspec.Struct, frozen=True, tag='hello_done'):
    """Confirm the handshake; calls may follow."""


class HelloDenied(msgspec.Struct, frozen=True, tag='hello_denied'):
    """Reject the handshake, with the reason and the remedy."""

    kind: str
    detail: str


HelloMessage = typing.Union[  # noqa: UP007 - decoders need the plain union
    Hello, HelloReply, HelloProof, HelloDone, HelloDenied
]


def decode(data: bytes) -> HelloMessage:
    """Return the handshake message in `data`; raises HelloRefused."""
    if len(data) > MAX_HELLO_BYTES:
        raise exceptions.HelloRefused(
            'oversize: the hello is too long; check what connects here'
        )
    try:
        return codec.decode(data, HelloMessage)
    except codec.CodecError as exc:
        raise exceptions.HelloRefused(f'malformed: {exc}') from exc


class HandshakeParty:
    """Represent this host in its handshakes, as caller or as server."""

    def __init__(
        self, me: places.HostId, info: hello.HelloInfo, keys: hello.Keys
    ):
        self.me = me
        self.info = info
        self.keys = keys

    def build_hello(self, to_host: str, nonce: bytes) -> Hello:
        """Return the hello that requests a link to `to_host`."""
        return Hello(
            self.info.version,
            self.me.name,
            self.me.incarnation,
            self.info.zone,
            self.info.region,
            self.info.shards_per_zone,
            to_host,
            self.keys.ids(),
            nonce,
        )

    def build_reply(self, opening: Hello, nonce: bytes) -> HelloReply:
        """Check a hello and return the reply; raises HelloRefused."""
        self._check_hello(opening)
        key_id = self.keys.choose_key_id(opening.key_ids)
        if not key_id:
            raise exceptions.HelloRefused(
                'unknown_key: no shared key id in common; give both hosts'
                ' the same key id in their peer keys'
            )
        reply = self._unsigned_reply(key_id, nonce)
        proof = self.keys.sign(key_id, _signed_data(opening, reply, False))
        return msgspec.structs.replace(reply, proof=proof)

    def _unsigned_reply(self, key_id: str, nonce: bytes) -> HelloReply:
        return HelloReply(
            self.me.name,
            self.me.incarnation,
            self.info.zone,
            self.info.region,
            self.info.shards_per_zone,
            key_id,
            nonce,
            b'',
        )

    def _check_hello(self, opening: Hello) -> None:
        self._check_version(opening.version)
        self._check_shards(opening.host, opening.shards_per_zone)
        if opening.to_host != self.me.name:
            raise exceptions.HelloRefused(
                f'wrong_host: this is {self.me.name!r}, not'
                f' {opening.to_host!r}; check the addresses in the host list'
            )
        if opening.host == self.me.name:
            raise exceptions.HelloRefused(
                f'same_name: two hosts are named {self.me.name!r}; give'
                ' each entry host its own name'
            )
        if len(opening.nonce) != NONCE_BYTES:
            raise exceptions.HelloRefused(
                f'malformed: a nonce has {NONCE_BYTES} bytes'
            )

    def _check_version(self, version: int) -> None:
        if version != self.info.version:
            raise exceptions.HelloRefused(
                f'version: this host speaks version {self.info.version},'
                f' the other {version}; run the same release on both'
            )

    def _check_shards(self, host: str, shards_per_zone: int) -> None:
        if shards_per_zone != self.info.shards_per_zone:
            raise exceptions.HelloRefused(
                f'shards_per_zone: it is {self.info.shards_per_zone} on'
                f' {self.me.name!r} and {shards_per_zone} on {host!r}; set'
                ' the same value on all entry hosts'
            )

    def verify_reply(self, opening: Hello, reply: HelloReply) -> HelloProof:
        """Verify the server's proof and return the caller's.

        Raises HelloRefused.
        """
        self._check_shards(reply.host, reply.shards_per_zone)
        if reply.host != opening.to_host:
            raise exceptions.HelloRefused(
                f'wrong_host: {opening.to_host!r} was called but'
                f' {reply.host!r} replied; check the host list'
            )
        signed = _signed_data(opening, reply, False)
        if not self.keys.verify(reply.key_id, signed, reply.proof):
            raise _wrong_key_error(reply.key_id)
        proof = self.keys.sign(
            reply.key_id, _signed_data(opening, reply, True)
        )
        return HelloProof(proof)

    def check_proof(
        self, opening: Hello, reply: HelloReply, proof: bytes
    ) -> None:
        """Verify the caller's proof; raises HelloRefused."""
        signed = _signed_data(opening, reply, True)
        if not self.keys.verify(reply.key_id, signed, proof):
            raise _wrong_key_error(reply.key_id)


def _wrong_key_error(key_id: str) -> exceptions.HelloRefused:
    return exceptions.HelloRefused(
        f'wrong_key: the hosts hold different secrets for key {key_id!r};'
        ' copy the same secret to both'
    )


def _signed_data(opening: Hello, reply: HelloReply, by_caller: bool) -> bytes:
    label = _CALLER_LABEL if by_caller else _SERVER_LABEL
    unsigned = msgspec.structs.replace(reply, proof=b'')
    return label + codec.encode(opening) + codec.encode(unsigned)
