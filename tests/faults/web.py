"""Send single HTTP requests from tests, blocking."""

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
    """Return status and body; a body that isn't bytes is sent as JSON."""
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
    """Return the JSON answer of a request that has to succeed."""
    status, answer = call(port, method, path, body)
    assert status < 300, (status, answer)
    return json.loads(answer) if answer else None
