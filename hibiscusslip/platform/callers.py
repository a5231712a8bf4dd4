"""Parse callers' HTTP requests and build the responses to them."""

import math

import msgspec

from hibiscusslip.dispatch import model
from hibiscusslip.http import messages
from hibiscusslip.platform import documents
from hibiscusslip.platform import settings

METRICS_PATH = '/metrics'
DEFAULT_TIMEOUT_S = 3.0
MAX_TIMEOUT_S = 60.0
MAX_PLAIN_BODY_BYTES = 16 * 1024  # larger ones are stored without blanks
_JSON = {'content-type': 'application/json'}


def requested_host(req: messages.Request) -> str:
    """Return the name in the Host header, without the port."""
    return req.headers.get('host', '').partition(':')[0]


def key_digest(req: messages.Request) -> bytes | None:
    """Return the digest of the caller's key, None if it sends none."""
    header = req.headers.get('authorization', '')
    scheme, _, key = header.partition(' ')
    key = key.strip()
    if scheme.lower() != 'bearer' or not key:
        return None
    return documents.key_digest(key)


def request_timeout(req: messages.Request) -> float:
    """Return how long the caller waits for the response, in seconds.

    The x-deadline-ms header gives it; without a valid one, DEFAULT_TIMEOUT_S
    applies.
    """
    try:
        wait_ms = float(req.headers['x-deadline-ms'])
    except (KeyError, ValueError):
        return DEFAULT_TIMEOUT_S
    if not math.isfinite(wait_ms):
        return DEFAULT_TIMEOUT_S
    return min(wait_ms / settings.MS_PER_S, MAX_TIMEOUT_S)


def read_job(req: messages.Request) -> model.JobSpec:
    """Return the job in a request's body; raises JobInvalid."""
    return documents.read_job(req.body)


def compact_body(req: messages.Request) -> bytes:
    """Return the body of a valid job, without blanks if it is large."""
    if len(req.body) <= MAX_PLAIN_BODY_BYTES:
        return req.body
    return msgspec.json.format(req.body, indent=-1)


def accepted() -> messages.Response:
    """Return a 200: the job or the cancellation is stored."""
    return messages.Response(200, _JSON, b'{}')


def job_state(state: str) -> messages.Response:
    """Return a 200 with the state of a job."""
    return _json(200, {'State': state})


def queue_size(pending: int) -> messages.Response:
    """Return a 200 with the number of a queue's jobs yet to start."""
    return _json(200, {'Pending': pending})


def unavailable(
    reason: str, retry_after: int, elsewhere: bool = False
) -> messages.Response:
    """Return a 503: nothing was done; retry after `retry_after` seconds.

    `elsewhere` closes the connection, so that the retry may reach another
    host.
    """
    response = _problem(503, reason, retry_after)
    if not elsewhere:
        return response
    headers = {**response.headers, 'connection': 'close'}
    return messages.Response(503, headers, response.body)


def rejected(reason: str, retry_after: int) -> messages.Response:
    """Return a 429: the job has not run and never runs, as load is high."""
    return _problem(429, reason, retry_after)


def queue_not_found() -> messages.Response:
    """Return a 404: no queue matches the host and the path."""
    return _problem(404, 'no such queue; check host and path')


def key_refused() -> messages.Response:
    """Return a 401: the queue needs a key that the configuration has."""
    response = _problem(
        401, "the queue needs a valid key; send 'Authorization: Bearer KEY'"
    )
    headers = {**response.headers, 'www-authenticate': 'Bearer'}
    return messages.Response(401, headers, response.body)


def job_not_found() -> messages.Response:
    """Return a 410: the job doesn't exist."""
    return _problem(410, 'no such job')


def outcome_unknown() -> messages.Response:
    """Return a 504: the write may have taken effect.

    Sending the same request again is safe, as the store keeps one record a
    job.
    """
    return _problem(504, 'no answer of the store; send the same job again')


def bad_request(reason: str) -> messages.Response:
    """Return a 400; `reason` says what is wrong and how to correct it."""
    return _problem(400, reason)


def job_too_large() -> messages.Response:
    """Return a 413: the job doesn't fit into a record of the store."""
    return _problem(413, "the job doesn't fit into a record; shorten it")


def method_not_allowed() -> messages.Response:
    """Return a 405: the method isn't supported."""
    return _problem(405, 'use POST, GET or DELETE')


def readiness(ok: bool) -> messages.Response:
    """Return a 200 if this host accepts connections, else a 503."""
    return messages.Response(200 if ok else 503)


def metrics(text: bytes) -> messages.Response:
    """Return a 200 with the metrics in the Prometheus text format."""
    return messages.Response(200, {'content-type': 'text/plain'}, text)


def _json(status: int, body: dict[str, object]) -> messages.Response:
    return messages.Response(status, _JSON, msgspec.json.encode(body))


def _problem(
    status: int, reason: str, retry_after: int | None = None
) -> messages.Response:
    response = _json(status, {'Error': reason})
    if retry_after is None:
        return response
    headers = {**response.headers, 'retry-after': str(retry_after)}
    return messages.Response(status, headers, response.body)
