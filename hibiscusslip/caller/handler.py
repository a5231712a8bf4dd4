"""Handle HTTP requests of callers."""

import collections.abc
import time
import typing

from hibiscusslip.caller import _documents
from hibiscusslip.caller import _submissions
from hibiscusslip.caller import exceptions
from hibiscusslip.caller import service
from hibiscusslip.http import messages
from hibiscusslip.model import work
from hibiscusslip.rest import exceptions as rest_exceptions
from hibiscusslip.rest import rates
from hibiscusslip.rest import routing

CHUNK_BYTES = 64 * 1024
OCTET_STREAM = 'application/octet-stream'

SubmissionLimits = _submissions.SubmissionLimits
T = typing.TypeVar('T')
Clock = collections.abc.Callable[[], float]


class CallerHandler(routing.Router):
    """Serve the routes of docs/API.md from a job service.

    Rates are limited per peer address and per team; `clock` is a monotonic
    clock in seconds, `unix_clock` returns unix time in seconds.
    """

    def __init__(
        self,
        jobs: service.JobService,
        limits: SubmissionLimits = SubmissionLimits(),
        peer_calls_per_second: float = 5000.0,
        team_jobs_per_second: float = 2000.0,
        clock: Clock = time.monotonic,
        unix_clock: Clock = time.time,
    ) -> None:
        self._jobs = jobs
        self._limits = limits
        self._peer_rates = rates.RateLimiter(peer_calls_per_second)
        self._team_rates = rates.RateLimiter(team_jobs_per_second)
        self._clock = clock
        self._unix_clock = unix_clock
        job_path = '/v1/jobs/{id}'
        super().__init__(
            [
                routing.Route('POST', '/v1/jobs', self._submit, ('wait',)),
                routing.Route('GET', job_path, self._status, ('wait',)),
                routing.Route('DELETE', job_path, self._cancel),
                routing.Route('GET', f'{job_path}/explain', self._explain),
                routing.Route('GET', f'{job_path}/answer', self._answer),
                routing.Route('GET', '/healthz', self._health),
            ]
        )

    async def _submit(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        self._check_peer_rate(req)
        now = self._unix_clock()
        submission = _submissions.parse(req, self._jobs, self._limits, now)
        self._check_team_rates(submission.specs)
        try:
            states = await self._run_submission(submission)
        except exceptions.JobError as exc:
            raise _to_api_error(exc, submitting=True) from exc
        if submission.single:
            return _respond_submitted(states[0])
        jobs = [_documents.from_state(state) for state in states]
        return routing.json_response(200, _documents.JobStatesDocument(jobs))

    async def _run_submission(
        self, submission: _submissions.Submission
    ) -> list[service.JobState]:
        wait = submission.wait
        if submission.single:
            spec = submission.specs[0]
            return [await self._jobs.submit_and_wait(spec, wait)]
        return await self._jobs.submit_all(submission.specs, wait)

    async def _status(
        self, req: messages.Request, job_id: str
    ) -> messages.Response:
        self._check_peer_rate(req)
        wait = routing.parse_seconds(req, 'wait', self._limits.max_wait)
        if wait > 0:
            state = await _translate_errors(self._jobs.wait(job_id, wait))
        else:
            state = await _translate_errors(self._jobs.status(job_id))
        return routing.json_response(200, _documents.from_state(state))

    async def _cancel(
        self, req: messages.Request, job_id: str
    ) -> messages.Response:
        self._check_peer_rate(req)
        state = await _translate_errors(self._jobs.cancel(job_id))
        status = 200 if state.outcome.final else 202
        return routing.json_response(status, _documents.from_state(state))

    async def _explain(
        self, req: messages.Request, job_id: str
    ) -> messages.Response:
        self._check_peer_rate(req)
        history = await _translate_errors(self._jobs.explain(job_id))
        return routing.json_response(
            200,
            _documents.JobHistoryDocument(
                history.job_id, history.outcome, history.lines
            ),
        )

    async def _answer(
        self, req: messages.Request, job_id: str
    ) -> messages.Response:
        self._check_peer_rate(req)
        state = await _translate_errors(self._jobs.status(job_id))
        if state.outcome is not work.Outcome.SUCCEEDED:
            raise rest_exceptions.APIError(
                409,
                'no-answer',
                f'the job is {state.outcome}, and only one that succeeded has'
                ' an answer; wait for it with GET /v1/jobs/{id}?wait=60',
                extra={'job_id': job_id, 'outcome': state.outcome},
            )
        answer = await _translate_errors(self._jobs.answer(job_id))
        headers = {'content-type': OCTET_STREAM}
        if not isinstance(answer, bytes):
            return messages.Response(200, headers, answer)
        headers['content-length'] = str(len(answer))
        return messages.Response(200, headers, _chunks(answer))

    async def _health(
        self, req: messages.Request, _: str
    ) -> messages.Response:
        readiness = self._jobs.readiness()
        document = _documents.ReadinessDocument(
            readiness.ready, readiness.detail
        )
        return routing.json_response(200 if readiness.ready else 503, document)

    def _check_peer_rate(self, req: messages.Request) -> None:
        peer = req.peer.rpartition(':')[0]
        wait = self._peer_rates.acquire(peer, self._clock())
        if wait > 0:
            raise _too_many_requests('calls come from this address', wait)

    def _check_team_rates(self, specs: list[work.JobSpec]) -> None:
        counts: dict[str, int] = {}
        for spec in specs:
            counts[spec.team] = counts.get(spec.team, 0) + 1
        for team, count in counts.items():
            wait = self._team_rates.acquire(team, self._clock(), count)
            if wait > 0:
                raise _too_many_requests(
                    f'jobs come from the team {team!r}', wait
                )


async def _translate_errors(
    call: collections.abc.Awaitable[T],
) -> T:
    try:
        return await call
    except exceptions.JobError as exc:
        raise _to_api_error(exc, submitting=False) from exc


async def _chunks(data: bytes) -> collections.abc.AsyncIterator[bytes]:
    for start in range(0, len(data), CHUNK_BYTES):
        yield data[start : start + CHUNK_BYTES]


def _too_many_requests(what: str, wait: float) -> rest_exceptions.APIError:
    return rest_exceptions.APIError(
        429,
        'too-many-requests',
        f'too many {what}; nothing was done, try again after retry_after s',
        retry_after=wait,
        extra={'outcome': work.Outcome.NOT_RUN},
    )


def _respond_submitted(state: service.JobState) -> messages.Response:
    if state.outcome is work.Outcome.NOT_RUN:
        raise rest_exceptions.APIError(
            422 if state.retry_after is None else 429,
            'not-run',
            state.detail,
            retry_after=state.retry_after,
            extra={
                'job_id': state.job_id,
                'outcome': state.outcome,
                'nearest': state.nearest,
            },
        )
    return routing.json_response(
        200 if state.outcome.final else 202,
        _documents.from_state(state),
        routing.JSON_HEADERS | {'location': f'/v1/jobs/{state.job_id}'},
    )


def _to_api_error(
    exc: exceptions.JobError, submitting: bool
) -> rest_exceptions.APIError:
    if isinstance(exc, exceptions.UnknownJob):
        return rest_exceptions.APIError(404, 'unknown-job', str(exc))
    if isinstance(exc, exceptions.KeyReused):
        return rest_exceptions.APIError(422, 'key-reused', str(exc))
    if isinstance(exc, exceptions.Unavailable):
        extra = {'outcome': work.Outcome.NOT_RUN} if submitting else {}
        return rest_exceptions.APIError(
            503, 'unavailable', str(exc), exc.retry_after, extra
        )
    extra = {'outcome': work.Outcome.UNKNOWN} if submitting else {}
    return rest_exceptions.APIError(504, 'unsettled', str(exc), extra=extra)
