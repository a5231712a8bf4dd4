"""Route HTTP requests to actions."""

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
    """Map an HTTP method and a path to an action.

    A path has at most one segment `{id}`, whose value the action gets as its
    second argument, else an empty string. `query` names the query parameters
    that are allowed.
    """

    method: str
    path: str
    action: Action
    query: tuple[str, ...] = ()


class Router(server.Handler):
    """Dispatch requests over a fixed list of routes."""

    def __init__(self, routes: list[Route]) -> None:
        self.routes = routes
        self._by_path: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_path.setdefault(route.path, {})[route.method] = route
        self._templates = [
            tuple(path.split('/'))
            for path in self._by_path
            if PARAMETER in path
        ]

    async def handle(self, req: messages.Request) -> messages.Response:
        """Return the response of the matching route, or problem details."""
        try:
            return await self.dispatch(req)
        except exceptions.APIError as exc:
            return problems.to_response(exc)

    async def dispatch(self, req: messages.Request) -> messages.Response:
        """Return the response of the matching route; raises APIError."""
        methods, parameter = self._resolve(req.path)
        route = methods.get(req.method)
        if route is None:
            raise _method_not_allowed(req, list(methods))
        _check_query(req, route)
        return await route.action(req, parameter)

    def _resolve(self, path: str) -> tuple[dict[str, Route], str]:
        """Return the routes of a path by method, and its `{id}` value."""
        methods = self._by_path.get(path)
        if methods is not None and PARAMETER not in path:
            return methods, ''
        parts = path.split('/')
        for template in self._templates:
            if _matches(template, parts):
                parameter = parts[template.index(PARAMETER)]
                return self._by_path['/'.join(template)], parameter
        raise exceptions.APIError(
            404, 'no-such-path', f'{path} is not served; see docs/API.md'
        )


def json_response(
    status: int,
    document: typing.Any,
    headers: dict[str, str] = JSON_HEADERS,
) -> messages.Response:
    """Return a response with `document` encoded as JSON."""
    return messages.Response(status, headers, msgspec.json.encode(document))


def require_json(req: messages.Request) -> None:
    """Raise APIError unless the body is declared as uncompressed JSON.

    A request without a content type counts as JSON.
    """
    declared = req.headers.get('content-type', 'application/json')
    media_type = declared.partition(';')[0].strip().lower()
    if media_type != 'application/json' or 'content-encoding' in req.headers:
        raise exceptions.APIError(
            415,
            'not-json',
            f'the body is declared as {declared!r}; send plain JSON with'
            ' content-type application/json',
        )


def parse_seconds(req: messages.Request, name: str, limit: float) -> float:
    """Return a query parameter in seconds, 0 by default.

    Raises APIError unless it is a number from 0 to `limit`.
    """
    text = req.query.get(name, '0')
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= limit:
        raise exceptions.APIError(
            400,
            'bad-parameter',
            f'{name}={text!r} is not a number of seconds from 0 to'
            f' {limit:g}; correct it',
        )
    return value


def _matches(template: tuple[str, ...], parts: list[str]) -> bool:
    return len(template) == len(parts) and all(
        segment == part or (segment == PARAMETER and part != '')
        for segment, part in zip(template, parts, strict=True)
    )


def _method_not_allowed(
    req: messages.Request, allowed: list[str]
) -> exceptions.APIError:
    names = ', '.join(allowed)
    return exceptions.APIError(
        405,
        'wrong-method',
        f'{req.path} does not take {req.method}; use {names}',
        headers={'allow': names},
    )


def _check_query(req: messages.Request, route: Route) -> None:
    for name in req.query:
        if name not in route.query:
            names = ', '.join(route.query) or 'none'
            raise exceptions.APIError(
                400,
                'bad-parameter',
                f'the query parameter {name!r} is unknown; allowed: {names}',
            )
