"""Send single blocking HTTP requests."""

import http.client
import json
import typing

TIMEOUT_S = 30.0


def call(
    port: int,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
    timeout: float = TIMEOUT_S,
) -> tuple[int, bytes]:
    """Send a request and return status and body of the response.

    A request body that isn't bytes is encoded as JSON.
    """
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body).encode()
    conn = http.client.HTTPConnection('127.0.0.1', port, timeout=timeout)
    try:
        conn.request(method, path, body, headers or {})
        response = conn.getresponse()
        return response.status, response.read()
    finally:
        conn.close()


def call_json(
    port: int, method: str, path: str, body: typing.Any = None
) -> typing.Any:
    """Return the JSON response of a request that must succeed."""
    status, response = call(port, method, path, body)
    assert status < 300, (status, response)
    return json.loads(response) if response else None
