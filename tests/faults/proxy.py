"""Run a TCP proxy with fault injection as a separate process.

Run `python -m tests.faults.proxy --control PORT`; it prints the control
port as JSON. `POST /routes` opens a route, `POST /faults` changes its faults
and `GET /counters` returns the traffic. "up" is the direction to the target.
"""

import argparse
import sys
import typing

import curio
import msgspec

from hibiscusslip.http import limits
from hibiscusslip.http import messages
from hibiscusslip.http import server
from tests.faults import proxy_route


class Control(server.Handler):
    """Open routes and change their faults over HTTP."""

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self._routes: dict[str, proxy_route.Route] = {}

    async def handle(self, req: messages.Request) -> messages.Response:
        """Handle one control request."""
        if req.path == '/routes':
            return await self._open(req)
        if req.path == '/faults':
            return await self._change_faults(req)
        return _reply({n: r.counters() for n, r in self._routes.items()})

    async def _open(self, req: messages.Request) -> messages.Response:
        request = msgspec.json.decode(req.body, type=proxy_route.RouteRequest)
        route = proxy_route.Route(request, self._seed)
        port = await route.listen()
        self._routes[request.name] = route
        return _reply({'port': port})

    async def _change_faults(self, req: messages.Request) -> messages.Response:
        changes = msgspec.json.decode(req.body, type=proxy_route.RouteFaults)
        matching = [n for n in self._routes if _matches(changes.route, n)]
        if not matching:
            return messages.problem_response(
                404, 'no such route', changes.route
            )
        for name in matching:
            await self._routes[name].change(changes)
        return _reply(matching)


def _matches(pattern: str, name: str) -> bool:
    if pattern.endswith('*'):
        return name.startswith(pattern[:-1])
    return name == pattern


def _reply(content: typing.Any) -> messages.Response:
    return messages.Response(200, {}, msgspec.json.encode(content))


async def run(control_port: int, seed: int) -> None:
    """Serve the control port until the process ends."""
    control = server.Server(Control(seed), limits.Limits())
    port = await control.listen('127.0.0.1', control_port)
    print(msgspec.json.encode([{'name': 'control', 'port': port}]).decode())
    sys.stdout.flush()
    await control.serve()


def main() -> None:
    """Parse the arguments and run the proxy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--control', type=int, default=0)
    parser.add_argument('--seed', type=int, default=1)
    args = parser.parse_args()
    curio.run(run, args.control, args.seed)


if __name__ == '__main__':
    main()
