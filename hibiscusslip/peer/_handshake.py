"""Build and check the messages that open a link, without any I/O.

The caller sends `Hello`, the other host answers `HelloReply` with a proof
that it holds a shared key, the caller answers `HelloProof` with its own,
and `HelloDone` ends it. Each proof covers both fresh nonces and all that
either host told of itself, so an old proof is worth nothing.
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
    """Open a link to the host that is named in `to_host`."""

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
    """Answer a hello with the own description and proof."""

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
    """Tell that calls may follow."""


class HelloDenied(msgspec.Struct, frozen=True, tag='hello_denied'):
    """Tell why no link is made and what to change."""

    kind: str
    detail: str


HelloMessage = typing.Union[  # noqa: UP007 - decoders need the plain union
    Hello, HelloReply, HelloProof, HelloDone, HelloDenied
]


def decode(data: bytes) -> HelloMessage:
    """Return the hello message in `data`; raises HelloRefused."""
    if len(data) > MAX_HELLO_BYTES:
        raise exceptions.HelloRefused(
            'oversize: the hello is too long; check what connects here'
        )
    try:
        return codec.decode(data, HelloMessage)
    except codec.CodecError as exc:
        raise exceptions.HelloRefused(f'malformed: {exc}') from exc


class Side:
    """Hold one host's own part of every handshake."""

    def __init__(
        self, me: places.HostId, info: hello.HelloInfo, keys: hello.Keys
    ):
        self.me = me
        self.info = info
        self.keys = keys

    def hello(self, to_host: str, nonce: bytes) -> Hello:
        """Return the message that opens a link to `to_host`."""
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

    def reply(self, opening: Hello, nonce: bytes) -> HelloReply:
        """Return the answer to a hello; raises HelloRefused."""
        self._check_hello(opening)
        key_id = self.keys.choose(opening.key_ids)
        if not key_id:
            raise exceptions.HelloRefused(
                'unknown_key: no shared key id in common; give both hosts'
                ' the same key id in their peer keys'
            )
        reply = self._unproved_reply(key_id, nonce)
        proof = self.keys.proof(key_id, _signed(opening, reply, False))
        return msgspec.structs.replace(reply, proof=proof)

    def _unproved_reply(self, key_id: str, nonce: bytes) -> HelloReply:
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

    def answer(self, opening: Hello, reply: HelloReply) -> HelloProof:
        """Check the other host's proof and return the own one.

        Raises HelloRefused.
        """
        self._check_shards(reply.host, reply.shards_per_zone)
        if reply.host != opening.to_host:
            raise exceptions.HelloRefused(
                f'wrong_host: {opening.to_host!r} was called and'
                f' {reply.host!r} answered; check the host list'
            )
        signed = _signed(opening, reply, False)
        if not self.keys.verify(reply.key_id, signed, reply.proof):
            raise _wrong_key(reply.key_id)
        proof = self.keys.proof(reply.key_id, _signed(opening, reply, True))
        return HelloProof(proof)

    def check_proof(
        self, opening: Hello, reply: HelloReply, proof: bytes
    ) -> None:
        """Check the caller's proof; raises HelloRefused."""
        signed = _signed(opening, reply, True)
        if not self.keys.verify(reply.key_id, signed, proof):
            raise _wrong_key(reply.key_id)


def _wrong_key(key_id: str) -> exceptions.HelloRefused:
    return exceptions.HelloRefused(
        f'wrong_key: the hosts hold different secrets for key {key_id!r};'
        ' copy the same secret to both'
    )


def _signed(opening: Hello, reply: HelloReply, by_caller: bool) -> bytes:
    label = _CALLER_LABEL if by_caller else _SERVER_LABEL
    bare = msgspec.structs.replace(reply, proof=b'')
    return label + codec.encode(opening) + codec.encode(bare)
