"""Drain an entry host or an endpoint and wait until it is drained."""

import time

import curio

from hibiscusslip.commands import _client
from hibiscusslip.commands import _output
from hibiscusslip.commands import exceptions
from hibiscusslip.operator import service
from hibiscusslip.operator import views

POLL_INTERVAL_S = 0.5


async def drain_endpoint(
    client: _client.Client, name: str, wait: float, as_json: bool
) -> int:
    """Stop placing work on an endpoint and wait until it has none left."""
    path = _client.build_path('v1', 'endpoints', name, 'drain')
    deadline = time.monotonic() + wait
    last_detail = ''
    while True:
        call = _client.Call('POST', path)
        state = await _client.fetch(client, call, service.DrainState)
        if state.detail != last_detail:
            last_detail = state.detail
            _output.show(state, as_json, f'{name}: {last_detail}')
        if state.done:
            return exceptions.ExitCode.DONE
        if time.monotonic() >= deadline:
            return exceptions.ExitCode.INCOMPLETE
        await curio.sleep(POLL_INTERVAL_S)


async def drain_host(
    client: _client.Client, name: str, wait: float, as_json: bool
) -> int:
    """Drain an entry host and wait until its current incarnation has stopped.

    The request is sent only once, as the host's replacement may have the same
    name and would be drained as well.
    """
    deadline = time.monotonic() + wait
    incarnation = await _find_incarnation(client, name)
    path = _client.build_path('v1', 'hosts', name, 'drain')
    call = _client.Call('POST', path)
    state = await _client.fetch(client, call, service.DrainState)
    _output.show(state, as_json, f'{name}: {state.detail}')
    while await _poll_incarnation(client, name) == incarnation:
        if time.monotonic() >= deadline:
            return exceptions.ExitCode.INCOMPLETE
        await curio.sleep(POLL_INTERVAL_S)
    stopped = service.DrainState(
        name, True, 'it has stopped, or can not be reached'
    )
    _output.show(stopped, as_json, f'{name}: {stopped.detail}')
    return exceptions.ExitCode.DONE


async def _find_incarnation(client: _client.Client, name: str) -> str:
    """Return the incarnation of a host, empty if it is unreachable."""
    call = _client.Call('GET', '/v1/status')
    status = await _client.fetch(client, call, views.FleetStatus)
    for host in status.hosts:
        unreachable = host.condition is views.HostCondition.UNREACHABLE
        if host.name == name and not unreachable:
            return str(host.incarnation)
    return ''


async def _poll_incarnation(client: _client.Client, name: str) -> str:
    try:
        return await _find_incarnation(client, name)
    except exceptions.CommandError as exc:
        raise exceptions.CommandError(
            f'{exc}; {name} was asked to stop, check the status through'
            ' another host',
            exceptions.ExitCode.INCOMPLETE,
        ) from exc
