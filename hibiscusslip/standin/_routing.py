"""Dispatch HTTP requests by a table of routes."""

import collections.abc
import typing

import msgspec

from hibiscusslip.http import messages
from hibiscusslip.http import server
from hibiscusslip.standin import exceptions

MAX_WAIT_S = 60.0

Route = collections.abc.Callable[
    [messages.Request], collections.abc.Awaitable[messages.Response]
]


class RoutingHandler(server.Handler):
    """Dispatch each request to the route for its method and path."""

    def __init__(self) -> None:
        self.routes: dict[tuple[str, str], Route] = {}

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response of the route, or an error response."""
        route = self.find_route(req)
        if route is None:
            return messages.problem_response(
                404, 'not found', f'no {req.method} {req.path}; see the docs'
            )
        try:
            return await route(req)
        except exceptions.StandinError as exc:
            return messages.problem_response(400, 'bad request', str(exc))

    def find_route(self, req: messages.Request) -> Route | None:
        """Return the route for a request, or None."""
        return self.routes.get((req.method, req.path))


def json_response(message: typing.Any) -> messages.Response:
    """Return a response with `message` encoded as JSON."""
    return messages.Response(
        200,
        {'content-type': 'application/json'},
        msgspec.json.encode(message),
    )


def decode_body(req: messages.Request, expected: typing.Any) -> typing.Any:
    """Return the JSON body as `expected`; raises StandinError."""
    try:
        return msgspec.json.decode(req.body, type=expected)
    except (msgspec.DecodeError, ValueError) as exc:
        raise exceptions.StandinError(
            f'invalid body: {exc}; correct it'
        ) from exc


def parse_number(req: messages.Request, name: str, default: float) -> float:
    """Return a query parameter that is 0 or more; raises StandinError."""
    text = req.query.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError as exc:
        raise exceptions.StandinError(
            f'{name}={text} is not a number; pass a number'
        ) from exc
    if not 0 <= value < float('inf'):
        raise exceptions.StandinError(
            f'{name}={text} is out of range; pass 0 or more'
        )
    return value


def parse_wait(req: messages.Request) -> float:
    """Return the wait time of a long poll in seconds, with an upper limit."""
    return min(parse_number(req, 'wait', 0.0), MAX_WAIT_S)
