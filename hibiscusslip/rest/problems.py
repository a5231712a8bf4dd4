"""Answer with problem details as RFC 9457 describes them."""

import http
import math

import msgspec

from hibiscusslip.http import messages
from hibiscusslip.rest import exceptions

MEDIA_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:hibiscusslip:problem:'


def respond(refusal: exceptions.Refusal) -> messages.Response:
    """Return the response that tells a refusal."""
    document = {
        'type': TYPE_PREFIX + refusal.code,
        'title': http.HTTPStatus(refusal.status).phrase,
        'status': refusal.status,
        'detail': refusal.detail,
        **refusal.extra,
    }
    headers = {'content-type': MEDIA_TYPE, **refusal.headers}
    if refusal.retry_after is not None:
        document['retry_after'] = refusal.retry_after
        seconds = max(1, math.ceil(refusal.retry_after))
        headers['retry-after'] = str(seconds)
    return messages.Response(
        refusal.status, headers, msgspec.json.encode(document)
    )
