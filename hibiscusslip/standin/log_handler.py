"""Serve the in-memory log over HTTP."""

import dataclasses
import typing
import urllib.parse

import msgspec

from hibiscusslip.http import exceptions as http_exceptions
from hibiscusslip.http import messages
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import wire
from hibiscusslip.standin import _routing
from hibiscusslip.standin import faults
from hibiscusslip.standin import memory_log

MAX_READ_RECORDS = 10_000


class LogHandler(_routing.RoutingHandler):
    """Serve appends and reads, and control faults and counters.

    An append with an unknown outcome drops the connection.
    """

    def __init__(self, log: memory_log.MemoryLog) -> None:
        super().__init__()
        self._log = log
        self.routes['POST', '/faults'] = self._set_faults
        self.routes['GET', '/counters'] = self._get_counters

    def find_route(self, req: messages.Request) -> _routing.Route | None:
        """Return the route for a request, or None."""
        if req.path.startswith(wire.STREAMS_PATH):
            return {'POST': self._append, 'GET': self._read}.get(req.method)
        return super().find_route(req)

    async def _append(self, req: messages.Request) -> messages.Response:
        stream = _stream_of(req)
        body = _routing.decode_body(req, wire.AppendRequest)
        try:
            offset = await self._log.append(stream, body.records)
        except exceptions.LogUnavailable as exc:
            return _unavailable(exc)
        except exceptions.AppendOutcomeUnknown as exc:
            raise http_exceptions.DropConnection(str(exc)) from exc
        return _routing.json_response(wire.AppendReply(offset))

    async def _read(self, req: messages.Request) -> messages.Response:
        stream = _stream_of(req)
        offset = int(_routing.parse_number(req, 'offset', 0))
        limit = int(_routing.parse_number(req, 'limit', MAX_READ_RECORDS))
        wait = _routing.parse_wait(req)
        try:
            batch = await self._log.read(
                stream, offset, min(limit, MAX_READ_RECORDS), wait
            )
        except exceptions.LogUnavailable as exc:
            return _unavailable(exc)
        except exceptions.RecordsTrimmed as exc:
            return _trimmed(exc)
        records = [wire.WireRecord(r.offset, r.data) for r in batch.records]
        return _routing.json_response(
            wire.ReadReply(
                records,
                batch.next_offset,
                batch.first_offset,
                batch.end_offset,
            )
        )

    async def _set_faults(self, req: messages.Request) -> messages.Response:
        await self._log.set_faults(_routing.decode_body(req, faults.LogFaults))
        return await self._get_counters(req)

    async def _get_counters(self, req: messages.Request) -> messages.Response:
        counters: dict[str, typing.Any] = dataclasses.asdict(
            self._log.counters
        )
        counters['end_offsets'] = self._log.end_offsets()
        counters['faults'] = dataclasses.asdict(self._log.faults)
        return _routing.json_response(counters)


def _stream_of(req: messages.Request) -> str:
    name = urllib.parse.unquote(req.path.removeprefix(wire.STREAMS_PATH))
    try:
        return msgspec.convert(name, wire.StreamName)
    except msgspec.ValidationError as exc:
        raise _routing.exceptions.StandinError(
            f'invalid stream name: {exc}; use letters, digits, dots and dashes'
        ) from exc


def _unavailable(exc: Exception) -> messages.Response:
    return messages.problem_response(
        wire.STATUS_UNAVAILABLE, 'log unavailable', str(exc)
    )


def _trimmed(exc: exceptions.RecordsTrimmed) -> messages.Response:
    body = msgspec.json.encode(wire.TrimmedReply(exc.first, str(exc)))
    headers = {'content-type': 'application/json'}
    return messages.Response(wire.STATUS_TRIMMED, headers, body)
