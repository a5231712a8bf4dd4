"""Build problem details responses (RFC 9457)."""

import http
import math

import msgspec

from hibiscusslip.http import messages
from hibiscusslip.rest import exceptions

MEDIA_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:hibiscusslip:problem:'


def to_response(error: exceptions.APIError) -> messages.Response:
    """Return the problem details response of an error."""
    document = {
        'type': TYPE_PREFIX + error.code,
        'title': http.HTTPStatus(error.status).phrase,
        'status': error.status,
        'detail': error.detail,
        **error.extra,
    }
    headers = {'content-type': MEDIA_TYPE, **error.headers}
    if error.retry_after is not None:
        document['retry_after'] = error.retry_after
        seconds = max(1, math.ceil(error.retry_after))
        headers['retry-after'] = str(seconds)
    return messages.Response(
        error.status, headers, msgspec.json.encode(document)
    )
