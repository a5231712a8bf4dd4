"""Answer operators' signed HTTP requests."""

import collections.abc
import time
import typing

import msgspec

from hibiscusslip.http import messages
from hibiscusslip.operator import documents
from hibiscusslip.operator import exceptions
from hibiscusslip.operator import service
from hibiscusslip.operator import signing
from hibiscusslip.rest import exceptions as rest_exceptions
from hibiscusslip.rest import rates
from hibiscusslip.rest import routing
import hibiscusslip.sheet as sheet

MAX_HISTORY = 1000
MAX_NAME_CHARS = 64
CALLS_PER_SECOND = 200.0
STATUSES = {
    'accepted': 200,
    'lost_race': 409,
    'not_published': 503,
    'unsettled': 504,
    'faulty': 422,
}

Clock = collections.abc.Callable[[], float]
APPLY_QUERY = ('made_from', 'author', 'record_id', 'after_gap')
SELECTOR_QUERY = ('team', 'kind', 'workload', 'outcome')


class OperatorHandler(routing.Router):
    """Serve the routes of docs/operators/api.md from a fleet service."""

    def __init__(
        self,
        fleet: service.FleetService,
        verifier: signing.Verifier,
        calls_per_second: float = CALLS_PER_SECOND,
        clock: Clock = time.monotonic,
        unix_clock: Clock = time.time,
    ) -> None:
        self._fleet = fleet
        self._verifier = verifier
        self._rates = rates.RateLimiter(calls_per_second)
        self._clock = clock
        self._unix_clock = unix_clock
        config = '/v1/configuration'
        job = '/v1/jobs/{id}/explain'
        host = '/v1/hosts/{id}/drain'
        endpoint = '/v1/endpoints/{id}/drain'
        make = routing.Route
        super().__init__(
            [
                make('GET', '/v1/status', self._status),
                make('GET', '/v1/history', self._history, ('limit',)),
                make('POST', host, self._drain_host),
                make('POST', endpoint, self._drain_endpoint),
                make('GET', '/v1/jobs', self._select, SELECTOR_QUERY),
                make('POST', '/v1/cancellations', self._cancel),
                make('GET', job, self._explain),
                make('GET', config, self._current),
                make('POST', config, self._apply, APPLY_QUERY),
                make('GET', f'{config}/in-force', self._in_force),
            ]
        )

    async def dispatch(self, req: messages.Request) -> messages.Response:
        """Return the response to a request, once its signature holds."""
        peer = req.peer.rpartition(':')[0]
        wait = self._rates.take(peer, self._clock())
        if wait > 0:
            raise rest_exceptions.Refusal(
                429,
                'too-many-requests',
                'too many calls from this address; try again after'
                ' retry_after s',
                wait,
            )
        try:
            self._verifier.verify(req, self._unix_clock())
            return await super().dispatch(req)
        except exceptions.OperatorError as exc:
            raise _refusal(exc) from exc

    async def _status(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        return _respond(await self._fleet.status())

    async def _history(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        limit = _whole(req, 'limit', MAX_HISTORY, MAX_HISTORY)
        events = await self._fleet.history(limit)
        return _respond(documents.EventsDocument(events))

    async def _drain_host(
        self, req: messages.Request, host: str
    ) -> messages.Response:
        return _respond(await self._fleet.drain_host(host))

    async def _drain_endpoint(
        self, req: messages.Request, endpoint: str
    ) -> messages.Response:
        return _respond(await self._fleet.drain_endpoint(endpoint))

    async def _select(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        selector = service.Selector(**req.query)
        _check_selector(selector)
        return _respond(await self._fleet.select(selector))

    async def _cancel(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        routing.check_json(req)
        try:
            wanted = msgspec.json.decode(
                req.body, type=documents.CancelDocument
            )
        except (msgspec.DecodeError, ValueError) as exc:
            raise _malformed(f'{exc}; correct the body') from None
        selector = service.Selector(
            wanted.team, wanted.kind, wanted.workload, wanted.outcome
        )
        _check_selector(selector)
        return _respond(await self._fleet.cancel(selector, wanted.at_most))

    async def _explain(
        self, req: messages.Request, job_id: str
    ) -> messages.Response:
        lines = await self._fleet.explain(job_id)
        return _respond(documents.JobHistoryDocument(job_id, lines))

    async def _current(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        return _respond(documents.from_record(await self._fleet.current()))

    async def _apply(self, req: messages.Request, _: str) -> messages.Response:
        found = sheet.parse(req.body)
        if isinstance(found, list):
            document = documents.ApplyResultDocument(
                'faulty',
                detail='the sheet has faults; mend each and apply again',
                faults=found,
            )
        else:
            result = await self._fleet.apply(_proposal(req, found))
            document = documents.from_publication(result)
        return routing.respond(STATUSES[document.result], document)

    async def _in_force(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        return _respond(
            documents.ConfigVersionsDocument(
                await self._fleet.config_versions()
            )
        )


def _respond(document: typing.Any) -> messages.Response:
    return routing.respond(200, document)


def _proposal(
    req: messages.Request, content: sheet.Sheet
) -> service.ConfigProposal:
    record_id = req.query.get('record_id', '')
    author = req.query.get('author', '')
    for name, text in (('record_id', record_id), ('author', author)):
        if not 1 <= len(text) <= MAX_NAME_CHARS or not text.isprintable():
            raise _malformed(
                f'{name} must have 1 to {MAX_NAME_CHARS} printable'
                ' characters; correct it'
            )
    return service.ConfigProposal(
        record_id,
        _whole(req, 'made_from', 2**53),
        author,
        content,
        req.query.get('after_gap') == 'yes',
    )


def _whole(
    req: messages.Request, name: str, limit: int, default: int | None = None
) -> int:
    text = req.query.get(name, '' if default is None else str(default))
    if not (text.isascii() and text.isdigit() and int(text) <= limit):
        raise _malformed(
            f'{name}={text!r} is not a whole number from 0 to {limit};'
            ' correct it'
        )
    return int(text)


def _check_selector(selector: service.Selector) -> None:
    if selector.empty:
        raise _malformed(
            'the selector is empty and would match every job; give team,'
            ' kind, workload or outcome'
        )
    if selector.outcome not in ('', 'queued', 'running'):
        raise _malformed('outcome must be queued or running; correct it')


def _malformed(detail: str) -> rest_exceptions.Refusal:
    return rest_exceptions.Refusal(400, 'bad-request', detail)


def _refusal(exc: exceptions.OperatorError) -> rest_exceptions.Refusal:
    detail = str(exc)
    if isinstance(exc, exceptions.NotAuthentic):
        return rest_exceptions.Refusal(
            401,
            'not-authentic',
            detail,
            headers={'www-authenticate': signing.SCHEME},
        )
    if isinstance(exc, exceptions.UnknownTarget):
        return rest_exceptions.Refusal(404, 'unknown-target', detail)
    if isinstance(exc, exceptions.SelectionGrew):
        return rest_exceptions.Refusal(409, 'selection-grew', detail)
    if isinstance(exc, exceptions.Unavailable):
        return rest_exceptions.Refusal(
            503, 'unavailable', detail, exc.retry_after
        )
    return rest_exceptions.Refusal(504, 'unsettled', detail)
