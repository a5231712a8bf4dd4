"""Append to and read from the platform's log over HTTP."""

import typing

import msgspec

from hibiscusslip.http import client
from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages
from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import wire

APPEND_CONNECTIONS = 2
READ_CONNECTIONS = 16
DEFAULT_TIMEOUT_S = 5.0
REFUSED_STATUSES = range(400, 500)


class HttpLog(base.Log):
    """Append to and read from the log server at one address.

    `timeout` bounds each call, in seconds; a read may take its `wait`
    longer.
    """

    def __init__(
        self,
        address: str,
        port: int,
        timeout: float = DEFAULT_TIMEOUT_S,
        bounds: limits.Limits = limits.DEFAULT,
    ) -> None:
        self._timeout = timeout
        self._appends = client.Pool(address, port, bounds, APPEND_CONNECTIONS)
        self._reads = client.Pool(address, port, bounds, READ_CONNECTIONS)

    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append records atomically and return the offset of the first.

        Raises LogUnavailable if provably nothing was written, and
        AppendOutcomeUnknown if the records may have been written.
        """
        body = msgspec.json.encode(wire.AppendRequest(records))
        try:
            response = await self._appends.call(
                'POST',
                wire.stream_path(stream),
                body=body,
                timeout=self._timeout,
            )
        except http_exceptions.NotSent as exc:
            raise exceptions.LogUnavailable(str(exc)) from exc
        except http_exceptions.HttpError as exc:
            raise exceptions.AppendOutcomeUnknown(str(exc)) from exc
        return _appended_offset(response)

    async def read(
        self, stream: str, offset: int, limit: int, wait: float
    ) -> base.ReadBatch:
        """Read up to `limit` records, starting at `offset`.

        If there is none yet, wait up to `wait` seconds for one. Raises
        LogUnavailable, and RecordsTrimmed if `offset` lies before the oldest
        record that the log retains.
        """
        query = f'?offset={offset}&limit={limit}&wait={wait:g}'
        try:
            response = await self._reads.call(
                'GET',
                wire.stream_path(stream) + query,
                timeout=self._timeout,
                wait=wait,
            )
        except http_exceptions.HttpError as exc:
            raise exceptions.LogUnavailable(str(exc)) from exc
        if response.status == wire.STATUS_TRIMMED:
            reply = _decode_read(response, wire.TrimmedReply)
            raise exceptions.RecordsTrimmed(stream, offset, reply.first_offset)
        if response.status != wire.STATUS_OK:
            raise exceptions.LogUnavailable(_describe(response))
        return _to_batch(_decode_read(response, wire.ReadReply))

    async def close(self) -> None:
        """Close the connections."""
        await self._appends.close()
        await self._reads.close()


def _appended_offset(response: messages.Response) -> int:
    status = response.status
    if status == wire.STATUS_UNAVAILABLE or status in REFUSED_STATUSES:
        raise exceptions.LogUnavailable(_describe(response))
    if status != wire.STATUS_OK:
        raise exceptions.AppendOutcomeUnknown(_describe(response))
    try:
        return wire.decode(_bytes(response), wire.AppendReply).offset
    except exceptions.PlatformError as exc:
        raise exceptions.AppendOutcomeUnknown(str(exc)) from exc


def _decode_read(
    response: messages.Response, expected: typing.Any
) -> typing.Any:
    try:
        return wire.decode(_bytes(response), expected)
    except exceptions.PlatformError as exc:
        raise exceptions.LogUnavailable(str(exc)) from exc


def _to_batch(reply: wire.ReadReply) -> base.ReadBatch:
    return base.ReadBatch(
        [base.LogRecord(rec.offset, rec.data) for rec in reply.records],
        reply.next_offset,
        reply.first_offset,
        reply.end_offset,
    )


def _bytes(response: messages.Response) -> bytes:
    assert isinstance(response.body, bytes)
    return response.body


def _describe(response: messages.Response) -> str:
    text = _bytes(response).decode('utf-8', 'replace')
    return f'the log answered {response.status}: {text[:200]}; try again later'
