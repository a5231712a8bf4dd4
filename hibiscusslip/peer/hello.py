"""Define a host's description and the shared keys of the handshake."""

import dataclasses
import hmac
import typing

PROTOCOL_VERSION = 1
MIN_SECRET_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class HelloInfo:
    """Describe a host in the handshake of every new link."""

    zone: str
    region: str
    shards_per_zone: int
    version: int = PROTOCOL_VERSION


class KeysInvalid(ValueError):
    """Raise for a missing or too short shared key."""


class Keys:
    """Store the shared secrets by key id, the preferred one first.

    Keys rotate without downtime: add the new key as the last one on every
    host, then put it first on every host, then remove the old one.
    """

    def __init__(self, secrets: typing.Mapping[str, bytes]):
        """Check the secrets; raises KeysInvalid."""
        if not secrets:
            raise KeysInvalid('no shared key is set; add one to the settings')
        for key_id, secret in secrets.items():
            if len(secret) < MIN_SECRET_BYTES:
                raise KeysInvalid(
                    f'the secret of key {key_id!r} is shorter than'
                    f' {MIN_SECRET_BYTES} bytes; use a longer random one'
                )
        self._secrets = dict(secrets)

    def __repr__(self) -> str:
        return f'Keys({self.ids()})'

    def ids(self) -> list[str]:
        """Return the key ids, the preferred one first."""
        return list(self._secrets)

    def choose_key_id(self, offered: list[str]) -> str:
        """Return the first offered id that is known here, or ''."""
        known = [key_id for key_id in offered if key_id in self._secrets]
        return known[0] if known else ''

    def sign(self, key_id: str, data: bytes) -> bytes:
        """Return the HMAC-SHA256 of `data`; raises KeyError."""
        return hmac.digest(self._secrets[key_id], data, 'sha256')

    def verify(self, key_id: str, data: bytes, proof: bytes) -> bool:
        """Return whether `proof` is valid for `data`, in constant time."""
        if key_id not in self._secrets:
            return False
        return hmac.compare_digest(self.sign(key_id, data), proof)
