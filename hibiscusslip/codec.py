"""Encode typed messages as CBOR and decode them."""

import typing

import cbor2
import msgspec


class CodecError(ValueError):
    """Raise for data that isn't a message of the expected type."""


def encode(message: msgspec.Struct) -> bytes:
    """Return the CBOR bytes of a tagged message."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def encode_list(items: list[bytes]) -> bytes:
    """Return the CBOR bytes of a list of byte strings."""
    return cbor2.dumps(items)


def decode(data: bytes, expected: typing.Any) -> typing.Any:
    """Return the message in `data`, validated against `expected`.

    Raises CodecError when the data isn't CBOR or not of that type.
    """
    try:
        raw = cbor2.loads(data)
        return msgspec.convert(raw, expected, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError) as exc:
        raise CodecError(
            f'not a valid message: {exc}; check that both hosts run'
            ' compatible versions'
        ) from exc
