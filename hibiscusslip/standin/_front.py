"""Answer HTTP requests by a table of routes."""

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


class Front(server.Handler):
    """Call the route for a request's method and path."""

    def __init__(self) -> None:
        self.routes: dict[tuple[str, str], Route] = {}

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the route's response, or one that tells what is wrong."""
        route = self.find(req)
        if route is None:
            return messages.problem_response(
                404, 'not found', f'no {req.method} {req.path}; see the docs'
            )
        try:
            return await route(req)
        except exceptions.StandinError as exc:
            return messages.problem_response(400, 'bad request', str(exc))

    def find(self, req: messages.Request) -> Route | None:
        """Return the route for a request."""
        return self.routes.get((req.method, req.path))


def reply(message: typing.Any) -> messages.Response:
    """Return a response with a message as JSON."""
    return messages.Response(
        200,
        {'content-type': 'application/json'},
        msgspec.json.encode(message),
    )


def decode(req: messages.Request, expected: typing.Any) -> typing.Any:
    """Return the message in the body; raises StandinError."""
    try:
        return msgspec.json.decode(req.body, type=expected)
    except (msgspec.DecodeError, ValueError) as exc:
        raise exceptions.StandinError(f'bad body: {exc}; mend it') from exc


def number(req: messages.Request, name: str, default: float) -> float:
    """Return a number of the query, not negative; raises StandinError."""
    text = req.query.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError as exc:
        raise exceptions.StandinError(
            f'{name}={text} is no number; give one'
        ) from exc
    if not 0 <= value < float('inf'):
        raise exceptions.StandinError(f'{name} must be 0 or more')
    return value


def wait_of(req: messages.Request) -> float:
    """Return how long a request may wait, in seconds."""
    return min(number(req, 'wait', 0.0), MAX_WAIT_S)
