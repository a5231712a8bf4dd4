"""Parse and validate submissions."""

import dataclasses
import re

import msgspec

from hibiscusslip.caller import _documents
from hibiscusslip.caller import service
from hibiscusslip.http import messages
from hibiscusslip.model import work
from hibiscusslip.observe import traces
from hibiscusslip.rest import exceptions
from hibiscusslip.rest import routing

KEY_HEADER = 'idempotency-key'
# A single bounded character class can't backtrack, so that no input makes
# matching slow.
_KEY_PATTERN = re.compile(r'[!-~]{1,128}')
_JOB_DECODER = msgspec.json.Decoder(_documents.JobDocument)
_JOB_LIST_DECODER = msgspec.json.Decoder(list[_documents.JobDocument])


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionLimits:
    """Store the limits on one submission; `max_wait` is in seconds."""

    max_jobs: int = 1000
    max_tasks: int = 1000
    max_wait: float = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """Represent the jobs of one request.

    `single` is whether the body was one job rather than a list; `wait` is
    how long the caller waits for completion, in seconds.
    """

    specs: list[work.JobSpec]
    single: bool
    wait: float


def parse(
    req: messages.Request,
    jobs: service.JobService,
    limits: SubmissionLimits,
    now: float,
) -> Submission:
    """Return the submission of a request; raises APIError if it is invalid.

    `now` is unix time in seconds.
    """
    routing.require_json(req)
    wait = routing.parse_seconds(req, 'wait', limits.max_wait)
    key = _parse_key(req)
    trace = traces.extract_traceparent(req.headers)
    single = not req.body.lstrip(b' \t\r\n').startswith(b'[')
    documents = _decode(req.body, single)
    if not 1 <= len(documents) <= limits.max_jobs:
        raise _bad_submission(
            f'a submission holds 1 to {limits.max_jobs} jobs, this one'
            f' {len(documents)}; split it'
        )
    specs = []
    for index, document in enumerate(documents):
        _validate(document, index, limits, now)
        job_key = key if single or not key else f'{key}/{index}'
        spec = _to_spec(document, jobs, job_key, wait > 0, trace)
        specs.append(spec)
    return Submission(specs, single, wait)


def _decode(body: bytes, single: bool) -> list[_documents.JobDocument]:
    try:
        return (
            [_JOB_DECODER.decode(body)]
            if single
            else _JOB_LIST_DECODER.decode(body)
        )
    except (msgspec.DecodeError, ValueError) as exc:
        raise _bad_submission(
            f'the body is not a job or a list of jobs: {exc}; correct it,'
            ' see docs/API.md'
        ) from None


def _parse_key(req: messages.Request) -> str:
    key = req.headers.get(KEY_HEADER, '')
    if KEY_HEADER in req.headers and not _KEY_PATTERN.fullmatch(key):
        raise _bad_submission(
            'the idempotency key is not 1 to 128 visible ASCII characters;'
            ' use a UUID for example'
        )
    return key


def _validate(
    document: _documents.JobDocument,
    index: int,
    limits: SubmissionLimits,
    now: float,
) -> None:
    prefix = f'job {index}: '
    if document.tasks > limits.max_tasks:
        raise _bad_submission(
            f'{prefix}{document.tasks} tasks are above the limit of'
            f' {limits.max_tasks}; split the job'
        )
    if document.payload and document.payload_base64:
        raise _bad_submission(
            f'{prefix}give payload or payload_base64, not both'
        )
    if document.deadline is not None and document.deadline <= now:
        raise exceptions.APIError(
            422,
            'deadline-passed',
            f'{prefix}the deadline {document.deadline:.0f} has passed; it is'
            ' unix time in seconds, send a later one',
            extra={'outcome': work.Outcome.NOT_RUN},
        )


def _to_spec(
    document: _documents.JobDocument,
    jobs: service.JobService,
    key: str,
    waiting: bool,
    trace: str,
) -> work.JobSpec:
    return _documents.to_spec(
        document,
        jobs.new_job_id(document.team, key),
        key,
        waiting,
        jobs.default_urgency(document.kind),
        trace,
    )


def _bad_submission(detail: str) -> exceptions.APIError:
    return exceptions.APIError(
        400,
        'bad-submission',
        detail,
        extra={'outcome': work.Outcome.NOT_RUN},
    )
