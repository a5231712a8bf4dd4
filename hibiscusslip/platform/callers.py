"""Speak HTTP with callers: requests in, responses out."""

import msgspec

from hibiscusslip.dispatch import model
from hibiscusslip.http import messages
from hibiscusslip.platform import documents
from hibiscusslip.platform import settings

METRICS_PATH = '/metrics'
DEFAULT_PATIENCE_S = 3.0
_JSON = {'content-type': 'application/json'}


def requested_host(req: messages.Request) -> str:
    """Return the name of the host that the caller asked."""
    return req.headers.get('host', '').partition(':')[0]


def request_timeout(req: messages.Request) -> float:
    """Return how long the caller waits for an answer, in seconds."""
    try:
        wait_ms = float(req.headers['x-deadline-ms'])
    except (KeyError, ValueError):
        return DEFAULT_PATIENCE_S
    return wait_ms / settings.MS_PER_S


def read_job(req: messages.Request) -> model.JobSpec:
    """Return the job in a request; raises RequestInvalid."""
    return documents.read_job(req.body)


def accepted() -> messages.Response:
    """Tell that what was asked is stored."""
    return messages.Response(200, _JSON, b'{}')


def job_state(state: str) -> messages.Response:
    """Tell how far a job is."""
    return _json(200, {'State': state})


def queue_size(pending: int) -> messages.Response:
    """Tell how many jobs of a queue haven't begun."""
    return _json(200, {'Pending': pending})


def unavailable(
    reason: str, retry_after: int, elsewhere: bool = False
) -> messages.Response:
    """Tell that nothing was done and when to come back, in seconds.

    `elsewhere` ends the connection, so that the next try may reach another
    host.
    """
    response = _problem(503, reason, retry_after)
    if not elsewhere:
        return response
    headers = {**response.headers, 'connection': 'close'}
    return messages.Response(503, headers, response.body)


def queue_not_found() -> messages.Response:
    """Tell that no such queue exists."""
    return _problem(404, 'no such queue; check host and path')


def job_not_found() -> messages.Response:
    """Tell that no such job exists."""
    return _problem(410, 'no such job')


def outcome_unknown() -> messages.Response:
    """Tell that the job may have been stored; send it again."""
    return _problem(504, 'no answer of the store; send the same job again')


def bad_request(reason: str) -> messages.Response:
    """Tell what to mend in a request."""
    return _problem(400, reason)


def method_not_allowed() -> messages.Response:
    """Tell that a method isn't served."""
    return _problem(405, 'use POST, GET or DELETE')


def readiness(ok: bool) -> messages.Response:
    """Tell whether this host takes connections."""
    return messages.Response(200 if ok else 503)


def metrics(text: bytes) -> messages.Response:
    """Return the metrics page."""
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
