"""Define the records of the configuration stream."""

import typing
import zlib

import msgspec

from hibiscusslip import codec
import hibiscusslip.sheet as sheet


class ConfigRecord(msgspec.Struct, frozen=True, tag='configuration'):
    """Publish a sheet as `version`, made from version `made_from`.

    Void unless `made_from` is the latest valid version at the record's own
    offset. `published` is unix time in seconds, for people only. With
    `after_gap` an operator restarts the sequence for readers that can't
    tell any more which version is the latest; others take it as any record.
    """

    record_id: str
    version: int
    made_from: int
    author: str
    sheet: sheet.Sheet
    published: float = 0.0
    after_gap: bool = False


class ConfigSnapshot(msgspec.Struct, frozen=True, tag='config_snapshot'):
    """Keep the version in force before the log forgets it.

    States that `config` was the latest valid version at offset `as_of`; it
    is never a new version.
    """

    record_id: str
    as_of: int
    config: ConfigRecord


MAX_UNPACKED_BYTES = 16 * 2**20
_COMPRESSION_LEVEL = 6

StreamRecord = typing.Union[  # noqa: UP007 - decoders need the plain union
    ConfigRecord,
    ConfigSnapshot,
]


def decode_config(data: bytes) -> ConfigRecord:
    """Return the configuration in `data`; raises CodecError."""
    record: ConfigRecord = codec.decode(_unpack(data), ConfigRecord)
    return record


def make(
    record_id: str,
    made_from: int,
    author: str,
    content: sheet.Sheet,
    now: float,
    after_gap: bool = False,
) -> ConfigRecord:
    """Return the record that publishes `content` after `made_from`."""
    return ConfigRecord(
        record_id, made_from + 1, made_from, author, content, now, after_gap
    )


def encode(record: ConfigRecord | ConfigSnapshot) -> bytes:
    """Return the bytes of a record, compressed as sheets repeat much."""
    return zlib.compress(codec.encode(record), _COMPRESSION_LEVEL)


def decode(data: bytes) -> ConfigRecord | ConfigSnapshot:
    """Return the record in `data`; raises CodecError."""
    record: ConfigRecord | ConfigSnapshot = codec.decode(
        _unpack(data), StreamRecord
    )
    return record


def _unpack(data: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise codec.CodecError(
            f'not a compressed record: {exc}; check that all hosts run'
            ' compatible versions'
        ) from exc
    if not unpacker.eof:
        raise codec.CodecError(
            'the record is cut off or too large; publish it again'
        )
    return plain
