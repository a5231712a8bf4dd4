"""Call the platform's store of partitioned topics.

A topic is a log. A keyed topic, whose name starts with KEYED_PREFIX, also
keeps the newest value of each key.
"""

import base64
import binascii
import collections.abc
import dataclasses
import struct
import typing
import urllib.parse

import curio
import msgspec

from hibiscusslip.http import client
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages
from hibiscusslip.http import uplink as uplinks
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import settings

CONFIG_TOPIC = 'keyed.op'
ENDPOINTS_TOPIC = 'keyed.servers'
CONFIG_KEY = 'config'
KEYED_PREFIX = 'keyed.'
CONNECTIONS = 40
MAX_READ_KB = 1024
MAX_PAGE_ATTEMPTS = 4
PAGE_RETRY_PAUSE_S = 0.1

_LENGTH = struct.Struct('>I')
_BOUNDS = struct.Struct('>QQ')
_JSON = {'content-type': 'application/json'}
_RAW = {'content-type': 'application/octet-stream'}
_HTTP = limits.Limits(
    connect_timeout=0.7, idle_timeout=20.0, tcp_user_timeout=2.0
)


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Represent the records of a partition from the offset `start` on.

    `first` is the oldest offset that the partition retains, and `end` is one
    past the newest.
    """

    start: int
    records: list[bytes]
    first: int
    end: int

    @property
    def next_offset(self) -> int:
        """Return the offset to continue reading from."""
        return self.start + len(self.records)


@dataclasses.dataclass(frozen=True, slots=True)
class NewestValues:
    """Represent the newest value of each key of a partition.

    `offsets` maps each key to the offset of its newest record. All records
    before `end` are included, so reading continues there.
    """

    values: dict[str, bytes]
    offsets: dict[str, int]
    end: int


class _Item(msgspec.Struct):
    key: str = msgspec.field(name='Key')
    value: str = msgspec.field(name='Value', default='')
    offset: int = msgspec.field(name='Offset', default=0)


class _Page(msgspec.Struct):
    items: list[_Item]
    end: int = msgspec.field(name='End')
    more: bool = msgspec.field(name='MorePages', default=False)


class _Appended(msgspec.Struct):
    offset: int = msgspec.field(name='Offset', default=0)
    end: int = msgspec.field(name='End', default=0)


class _Conflict(msgspec.Struct):
    reason: str = msgspec.field(name='Reason', default='')
    end: int = msgspec.field(name='End', default=0)
    seq: int = msgspec.field(name='Seq', default=0)
    first: int = msgspec.field(name='First', default=0)


class Store:
    """Call the store over a pool of connections.

    `calls` counts the calls by result: the HTTP status, or 'not_sent' or
    'unsettled' if there was no response. `timeout` in seconds is the longest
    silence that is accepted: a large response takes as long as it needs, and
    the time that `uplink` may need for the records of an append is added.
    """

    def __init__(
        self, address: settings.Address, uplink: uplinks.Uplink
    ) -> None:
        self._pool = client.Pool(
            address.ip, address.port, _HTTP, CONNECTIONS, uplink
        )
        self.calls: dict[str, int] = {}

    async def append(
        self,
        topic: str,
        records: list[bytes],
        timeout: float,
        *,
        part: int = 0,
        at: int | None = None,
        producer: tuple[str, int, int] | None = None,
    ) -> int:
        """Append records to a partition; return the offset of the first.

        With `at`, the append takes effect only if the partition ends at that
        offset (compare-and-append). `producer` is a name, an epoch and a
        sequence number: they make the append idempotent, and a higher epoch
        fences lower ones. Raises StoreUnavailable, StoreOutcomeUnknown,
        StoreConflict, ProducerFenced, OutOfOrderSequence.
        """
        query: dict[str, typing.Any] = {'Topic': topic, 'part': part}
        if at is not None:
            query['At'] = at
        if producer is not None:
            query['Producer'], query['epoch'], query['Seq'] = producer
        body = b''.join(_LENGTH.pack(len(r)) + r for r in records)
        path = f'/v1/log-append?{urllib.parse.urlencode(query)}'
        response = await self._call('POST', path, body, _RAW, timeout)
        if response.status == 200:
            return _decode(response, _Appended).offset
        raise self._to_exception(response)

    async def read(
        self,
        topic: str,
        start: int,
        wait: float,
        timeout: float,
        part: int = 0,
        began: collections.abc.Callable[[], None] | None = None,
    ) -> Batch:
        """Read the records from the offset `start` on.

        If there is none yet, wait up to `wait` seconds for one. `began` is
        called when the answer begins to arrive. Raises HistoryTrimmed,
        StoreUnavailable, StoreOutcomeUnknown.
        """
        query = urllib.parse.urlencode(
            {
                'Topic': topic,
                'part': part,
                'From': start,
                'MaxKb': MAX_READ_KB,
                'WaitMs': int(wait * settings.MS_PER_S),
            }
        )
        path = f'/v1/log-read?{query}'
        response = await self._call('GET', path, b'', {}, timeout, wait, began)
        if response.status == 200:
            return _to_batch(start, response.content)
        if response.status == 404:
            return Batch(start, [], 0, 0)  # nothing has been written to it yet
        raise self._to_exception(response)

    async def newest(
        self, topic: str, timeout: float, part: int = 0
    ) -> NewestValues:
        """Read the newest value of each key of a keyed topic.

        A page after the first is tried MAX_PAGE_ATTEMPTS times, as a new
        start would read all pages before it again. Raises StoreUnavailable,
        StoreOutcomeUnknown.
        """
        values: dict[str, bytes] = {}
        offsets: dict[str, int] = {}
        end: int | None = None
        after = ''
        while True:
            attempts = MAX_PAGE_ATTEMPTS if after else 1
            page = await self._try_page(topic, part, after, timeout, attempts)
            end = page.end if end is None else min(end, page.end)
            for item in page.items:
                offsets[item.key] = item.offset
                values[item.key] = _decode_value(item)
            if not page.more:
                return NewestValues(values, offsets, end)
            if not page.items:
                raise exceptions.StoreOutcomeUnknown(
                    'the store sent an empty page before the last; read again'
                )
            after = page.items[-1].key

    async def _try_page(
        self, topic: str, part: int, after: str, timeout: float, attempts: int
    ) -> _Page:
        for _ in range(attempts - 1):
            try:
                return await self._fetch_page(topic, part, after, timeout)
            except (
                exceptions.StoreUnavailable,
                exceptions.StoreOutcomeUnknown,
            ):
                await curio.sleep(PAGE_RETRY_PAUSE_S)
        return await self._fetch_page(topic, part, after, timeout)

    async def _fetch_page(
        self, topic: str, part: int, after: str, timeout: float
    ) -> _Page:
        query = {'Topic': topic, 'part': str(part)}
        if after:
            query['DependsOn'] = after  # here: the last key of the page before
        path = f'/v1/log-newest?{urllib.parse.urlencode(query)}'
        response = await self._call('GET', path, b'', {}, timeout)
        if response.status == 404 and not after:
            return _Page([], 0)
        if response.status != 200:
            raise self._to_exception(response)
        return _decode(response, _Page)

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
        timeout: float,
        wait: float = 0.0,
        began: collections.abc.Callable[[], None] | None = None,
    ) -> messages.Response:
        try:
            response = await self._pool.call(
                method,
                path,
                body=body,
                headers=headers,
                timeout=timeout,
                wait=wait,
                began=began,
            )
        except http_exceptions.NotSent as exc:
            self._count('not_sent')
            raise exceptions.StoreUnavailable(str(exc)) from exc
        except http_exceptions.CallUnsettled as exc:
            self._count('unsettled')
            raise exceptions.StoreOutcomeUnknown(
                str(exc), exc.transfer
            ) from exc
        self._count(str(response.status))
        return response

    def _count(self, outcome: str) -> None:
        self.calls[outcome] = self.calls.get(outcome, 0) + 1

    def _to_exception(self, response: messages.Response) -> Exception:
        status = response.status
        if status == 412:
            return exceptions.StoreConflict(_decode(response, _Conflict).end)
        if status == 410:
            return exceptions.HistoryTrimmed(
                _decode(response, _Conflict).first
            )
        if status == 409:
            conflict = _decode(response, _Conflict)
            if conflict.reason == 'fenced':
                return exceptions.ProducerFenced('a newer epoch has written')
            return exceptions.OutOfOrderSequence(conflict.seq)
        return exceptions.StoreUnavailable(
            f'the store answered {status}; try again later'
        )


def encode_keyed(key: str, value: bytes = b'') -> bytes:
    """Return a record of a keyed topic; an empty value deletes the key."""
    name = key.encode('utf-8')
    return bytes([len(name)]) + name + value


def decode_keyed(record: bytes) -> tuple[str, bytes]:
    """Return the key and the value in a record of a keyed topic.

    The key is '' if the record is empty.
    """
    if not record:
        return '', b''
    size = record[0]
    name = record[1 : 1 + size].decode('utf-8', 'replace')
    return name, record[1 + size :]


def _decode_value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.value)
    except (binascii.Error, ValueError):
        return b''


def _to_batch(start: int, body: bytes) -> Batch:
    try:
        end, first = _BOUNDS.unpack_from(body)
        records = []
        position = _BOUNDS.size
        while position < len(body):
            (size,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            records.append(body[position : position + size])
            position += size
    except struct.error as exc:
        raise exceptions.StoreOutcomeUnknown(
            f'the store sent a broken answer: {exc}; read again'
        ) from exc
    return Batch(start, records, first, end)


def _decode(response: messages.Response, kind: typing.Any) -> typing.Any:
    try:
        return msgspec.json.decode(response.content, type=kind)
    except msgspec.MsgspecError as exc:
        raise exceptions.StoreOutcomeUnknown(
            f'the store sent a broken answer: {exc}; call again'
        ) from exc
