"""Find the function that answers a request."""

import collections.abc
import dataclasses
import typing

import msgspec

from hibiscusslip.http import messages
from hibiscusslip.http import server
from hibiscusslip.rest import exceptions
from hibiscusslip.rest import problems

Action = collections.abc.Callable[
    [messages.Request, str],
    collections.abc.Awaitable[messages.Response],
]
PARAMETER = '{id}'
JSON_HEADERS = {'content-type': 'application/json'}


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Bind a method and a path to an action.

    A path has at most one parameter `{id}`, which the action gets as its
    second argument; `query` names the query parameters allowed.
    """

    method: str
    path: str
    action: Action
    query: tuple[str, ...] = ()


class Router(server.Handler):
    """Answer requests by a fixed list of routes."""

    def __init__(self, routes: list[Route]) -> None:
        self.routes = routes
        self._by_path: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_path.setdefault(route.path, {})[route.method] = route
        self._shapes = [
            tuple(path.split('/'))
            for path in self._by_path
            if PARAMETER in path
        ]

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response of the route that fits, or a problem."""
        try:
            return await self.dispatch(req)
        except exceptions.Refusal as refusal:
            return problems.respond(refusal)

    async def dispatch(self, req: messages.Request) -> messages.Response:
        """Return the response of the route that fits; raises Refusal."""
        methods, found = self._find(req.path)
        route = methods.get(req.method)
        if route is None:
            raise _wrong_method(req, list(methods))
        _check_query(req, route)
        return await route.action(req, found)

    def _find(self, path: str) -> tuple[dict[str, Route], str]:
        """Return the routes of a path by method, and its parameter."""
        methods = self._by_path.get(path)
        if methods is not None and PARAMETER not in path:
            return methods, ''
        parts = path.split('/')
        for shape in self._shapes:
            if _fits(shape, parts):
                found = parts[shape.index(PARAMETER)]
                return self._by_path['/'.join(shape)], found
        raise exceptions.Refusal(
            404, 'no-such-path', f'{path} is not served; see docs/API.md'
        )


def respond(
    status: int,
    document: typing.Any,
    headers: dict[str, str] = JSON_HEADERS,
) -> messages.Response:
    """Return a response with a JSON document."""
    return messages.Response(status, headers, msgspec.json.encode(document))


def check_json(req: messages.Request) -> None:
    """Refuse a body that isn't declared as plain JSON."""
    declared = req.headers.get('content-type', 'application/json')
    plain = declared.partition(';')[0].strip().lower()
    if plain != 'application/json' or 'content-encoding' in req.headers:
        raise exceptions.Refusal(
            415,
            'not-json',
            f'the body is declared as {declared!r}; send plain JSON with'
            ' content-type application/json',
        )


def seconds(req: messages.Request, name: str, limit: float) -> float:
    """Return a query parameter as seconds from 0 to `limit`."""
    text = req.query.get(name, '0')
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= limit:
        raise exceptions.Refusal(
            400,
            'bad-parameter',
            f'{name}={text!r} is not a number of seconds from 0 to'
            f' {limit:g}; correct it',
        )
    return value


def _fits(shape: tuple[str, ...], parts: list[str]) -> bool:
    return len(shape) == len(parts) and all(
        want == part or (want == PARAMETER and part != '')
        for want, part in zip(shape, parts, strict=True)
    )


def _wrong_method(
    req: messages.Request, allowed: list[str]
) -> exceptions.Refusal:
    names = ', '.join(allowed)
    return exceptions.Refusal(
        405,
        'wrong-method',
        f'{req.path} does not take {req.method}; use {names}',
        headers={'allow': names},
    )


def _check_query(req: messages.Request, route: Route) -> None:
    for name in req.query:
        if name not in route.query:
            names = ', '.join(route.query) or 'none'
            raise exceptions.Refusal(
                400,
                'bad-parameter',
                f'the query parameter {name!r} is unknown; allowed: {names}',
            )
