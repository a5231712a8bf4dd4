"""Handle signed HTTP requests of operators."""

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

MAX_HISTORY_EVENTS = 1000
MAX_NAME_CHARS = 64
CALLS_PER_SECOND = 200.0
STATUS_BY_RESULT = {
    'accepted': 200,
    'lost_race': 409,
    'not_published': 503,
    'unsettled': 504,
    'faulty': 422,
}

Clock = collections.abc.Callable[[], float]
APPLY_PARAMETERS = ('made_from', 'author', 'record_id', 'after_gap')
SELECTOR_PARAMETERS = ('team', 'kind', 'workload', 'outcome')


class OperatorHandler(routing.Router):
    """Serve the routes of docs/operators/api.md from a fleet service.

    `calls_per_second` limits each peer address; `clock` is a monotonic clock
    in seconds, `unix_clock` returns unix time in seconds.
    """

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
        route = routing.Route
        super().__init__(
            [
                route('GET', '/v1/status', self._status),
                route('GET', '/v1/history', self._history, ('limit',)),
                route('POST', host, self._drain_host),
                route('POST', endpoint, self._drain_endpoint),
                route('GET', '/v1/jobs', self._select, SELECTOR_PARAMETERS),
                route('POST', '/v1/cancellations', self._cancel),
                route('GET', job, self._explain),
                route('GET', config, self._current_config),
                route('POST', config, self._apply_config, APPLY_PARAMETERS),
                route('GET', f'{config}/in-force', self._config_versions),
            ]
        )

    async def dispatch(self, req: messages.Request) -> messages.Response:
        """Check rate and signature of a request, then dispatch it.

        Raises APIError.
        """
        peer = req.peer.rpartition(':')[0]
        wait = self._rates.acquire(peer, self._clock())
        if wait > 0:
            raise rest_exceptions.APIError(
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
            raise _to_api_error(exc) from exc

    async def _status(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        return _respond(await self._fleet.status())

    async def _history(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        limit = _parse_int(
            req, 'limit', MAX_HISTORY_EVENTS, MAX_HISTORY_EVENTS
        )
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
        routing.require_json(req)
        try:
            document = msgspec.json.decode(
                req.body, type=documents.CancelDocument
            )
        except (msgspec.DecodeError, ValueError) as exc:
            raise _bad_request(f'{exc}; correct the body') from None
        selector = service.Selector(
            document.team,
            document.kind,
            document.workload,
            document.outcome,
        )
        _check_selector(selector)
        return _respond(await self._fleet.cancel(selector, document.at_most))

    async def _explain(
        self, req: messages.Request, job_id: str
    ) -> messages.Response:
        lines = await self._fleet.explain(job_id)
        return _respond(documents.JobHistoryDocument(job_id, lines))

    async def _current_config(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        return _respond(documents.from_record(await self._fleet.current()))

    async def _apply_config(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        parsed = sheet.parse(req.body)
        if isinstance(parsed, list):
            document = documents.ApplyResultDocument(
                'faulty',
                detail='the sheet has faults; mend each and apply again',
                faults=parsed,
            )
        else:
            result = await self._fleet.apply(_parse_proposal(req, parsed))
            document = documents.from_publication(result)
        return routing.json_response(
            STATUS_BY_RESULT[document.result], document
        )

    async def _config_versions(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        return _respond(
            documents.ConfigVersionsDocument(
                await self._fleet.config_versions()
            )
        )


def _respond(document: typing.Any) -> messages.Response:
    return routing.json_response(200, document)


def _parse_proposal(
    req: messages.Request, content: sheet.Sheet
) -> service.ConfigProposal:
    record_id = req.query.get('record_id', '')
    author = req.query.get('author', '')
    for name, text in (('record_id', record_id), ('author', author)):
        if not 1 <= len(text) <= MAX_NAME_CHARS or not text.isprintable():
            raise _bad_request(
                f'{name} must have 1 to {MAX_NAME_CHARS} printable'
                ' characters; correct it'
            )
    return service.ConfigProposal(
        record_id,
        _parse_int(req, 'made_from', 2**53),
        author,
        content,
        req.query.get('after_gap') == 'yes',
    )


def _parse_int(
    req: messages.Request, name: str, limit: int, default: int | None = None
) -> int:
    text = req.query.get(name, '' if default is None else str(default))
    if not (text.isascii() and text.isdigit() and int(text) <= limit):
        raise _bad_request(
            f'{name}={text!r} is not a whole number from 0 to {limit};'
            ' correct it'
        )
    return int(text)


def _check_selector(selector: service.Selector) -> None:
    if selector.empty:
        raise _bad_request(
            'the selector is empty and would match every job; give team,'
            ' kind, workload or outcome'
        )
    if selector.outcome not in ('', 'queued', 'running'):
        raise _bad_request('outcome must be queued or running; correct it')


def _bad_request(detail: str) -> rest_exceptions.APIError:
    return rest_exceptions.APIError(400, 'bad-request', detail)


def _to_api_error(exc: exceptions.OperatorError) -> rest_exceptions.APIError:
    detail = str(exc)
    if isinstance(exc, exceptions.AuthenticationFailed):
        return rest_exceptions.APIError(
            401,
            'not-authentic',
            detail,
            headers={'www-authenticate': signing.SCHEME},
        )
    if isinstance(exc, exceptions.UnknownTarget):
        return rest_exceptions.APIError(404, 'unknown-target', detail)
    if isinstance(exc, exceptions.SelectionGrew):
        return rest_exceptions.APIError(409, 'selection-grew', detail)
    if isinstance(exc, exceptions.Unavailable):
        return rest_exceptions.APIError(
            503, 'unavailable', detail, exc.retry_after
        )
    return rest_exceptions.APIError(504, 'unsettled', detail)
