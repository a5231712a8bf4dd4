"""Define the records of the configuration stream."""

import typing
import zlib

import msgspec

from hibiscusslip import codec
import hibiscusslip.sheet as sheet


class ConfigRecord(msgspec.Struct, frozen=True, tag='configuration'):
    """Publish a sheet as `version`, made from version `made_from`.

    Invalid unless `made_from` is the latest valid version at the record's
    own offset. `published` is Unix time in seconds, for display only. With
    `after_gap`, an operator restarts the sequence for readers that no longer
    know the latest version; other readers treat it like any record.
    """

    record_id: str
    version: int
    made_from: int
    author: str
    sheet: sheet.Sheet
    published: float = 0.0
    after_gap: bool = False


class ConfigSnapshot(msgspec.Struct, frozen=True, tag='config_snapshot'):
    """Append the version in force again before the log trims it.

    The record states that `config` was the latest valid version at offset
    `as_of`; it never publishes a new version.
    """

    record_id: str
    as_of: int
    config: ConfigRecord


MAX_DECOMPRESSED_BYTES = 16 * 2**20
_COMPRESSION_LEVEL = 6

StreamRecord = typing.Union[  # noqa: UP007 - decoders need the plain union
    ConfigRecord,
    ConfigSnapshot,
]


def decode_config(data: bytes) -> ConfigRecord:
    """Return the configuration in `data`; raise CodecError if invalid."""
    record: ConfigRecord = codec.decode(_decompress(data), ConfigRecord)
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
    """Return a record as bytes, compressed as sheets are repetitive."""
    return zlib.compress(codec.encode(record), _COMPRESSION_LEVEL)


def decode(data: bytes) -> ConfigRecord | ConfigSnapshot:
    """Return the record in `data`; raise CodecError if invalid."""
    record: ConfigRecord | ConfigSnapshot = codec.decode(
        _decompress(data), StreamRecord
    )
    return record


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_DECOMPRESSED_BYTES)
    except zlib.error as exc:
        raise codec.CodecError(
            f'record is not zlib data: {exc}; check that all hosts run'
            ' compatible versions'
        ) from exc
    if not decompressor.eof:
        raise codec.CodecError(
            'the record is truncated or too large; publish it again'
        )
    return plain
