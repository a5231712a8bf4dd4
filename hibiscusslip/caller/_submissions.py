"""Read submissions strictly."""

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
# One unrepeated character class, so that no input makes matching slow.
_KEY = re.compile(r'[!-~]{1,128}')
_ONE = msgspec.json.Decoder(_documents.JobDocument)
_MANY = msgspec.json.Decoder(list[_documents.JobDocument])


@dataclasses.dataclass(frozen=True, slots=True)
class SubmissionLimits:
    """Bound what one submission may ask for; times are in seconds."""

    max_jobs: int = 1000
    max_tasks: int = 1000
    max_wait: float = 300.0


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """Hold the jobs of one request; `single` when it was no list."""

    specs: list[work.JobSpec]
    single: bool
    wait: float


def read(
    req: messages.Request,
    jobs: service.JobService,
    bounds: SubmissionLimits,
    now: float,
) -> Submission:
    """Return the submission in a request; raises Refusal.

    `now` is unix time in seconds.
    """
    routing.check_json(req)
    wait = routing.seconds(req, 'wait', bounds.max_wait)
    key = _key(req)
    trace = traces.extract_traceparent(req.headers)
    single = not req.body.lstrip(b' \t\r\n').startswith(b'[')
    documents = _decode(req.body, single)
    if not 1 <= len(documents) <= bounds.max_jobs:
        raise _refuse(
            f'a submission holds 1 to {bounds.max_jobs} jobs, this one'
            f' {len(documents)}; split it'
        )
    specs = []
    for index, document in enumerate(documents):
        _check(document, index, bounds, now)
        own_key = key if single or not key else f'{key}/{index}'
        spec = _to_spec(document, jobs, own_key, wait > 0, trace)
        specs.append(spec)
    return Submission(specs, single, wait)


def _decode(body: bytes, single: bool) -> list[_documents.JobDocument]:
    try:
        return [_ONE.decode(body)] if single else _MANY.decode(body)
    except (msgspec.DecodeError, ValueError) as exc:
        raise _refuse(
            f'the body is not a job or a list of jobs: {exc}; correct it,'
            ' see docs/API.md'
        ) from None


def _key(req: messages.Request) -> str:
    key = req.headers.get(KEY_HEADER, '')
    if KEY_HEADER in req.headers and not _KEY.fullmatch(key):
        raise _refuse(
            'the idempotency key is not 1 to 128 visible ASCII characters;'
            ' use a UUID for example'
        )
    return key


def _check(
    document: _documents.JobDocument,
    index: int,
    bounds: SubmissionLimits,
    now: float,
) -> None:
    where = f'job {index}: '
    if document.tasks > bounds.max_tasks:
        raise _refuse(
            f'{where}{document.tasks} tasks are above the limit of'
            f' {bounds.max_tasks}; split the job'
        )
    if document.payload and document.payload_base64:
        raise _refuse(f'{where}give payload or payload_base64, not both')
    if document.deadline is not None and document.deadline <= now:
        raise exceptions.Refusal(
            422,
            'deadline-passed',
            f'{where}the deadline {document.deadline:.0f} has passed; it is'
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


def _refuse(detail: str) -> exceptions.Refusal:
    return exceptions.Refusal(
        400,
        'bad-submission',
        detail,
        extra={'outcome': work.Outcome.NOT_RUN},
    )
