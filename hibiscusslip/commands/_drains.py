"""Empty an entry host or an endpoint and follow it to its end."""

import time

import curio

from hibiscusslip.commands import _client
from hibiscusslip.commands import _output
from hibiscusslip.commands import exceptions
from hibiscusslip.operator import service
from hibiscusslip.operator import views

POLL_S = 0.5


async def drain_endpoint(
    client: _client.Client, name: str, wait: float, as_json: bool
) -> int:
    """Give an endpoint no new work and wait until it is empty."""
    path = _client.path_of('v1', 'endpoints', name, 'drain')
    deadline = time.monotonic() + wait
    shown = ''
    while True:
        call = _client.Call('POST', path)
        found = await _client.fetch(client, call, service.DrainState)
        if found.detail != shown:
            shown = found.detail
            _output.show(found, as_json, f'{name}: {shown}')
        if found.done:
            return exceptions.Exit.DONE
        if time.monotonic() >= deadline:
            return exceptions.Exit.INCOMPLETE
        await curio.sleep(POLL_S)


async def drain_host(
    client: _client.Client, name: str, wait: float, as_json: bool
) -> int:
    """Ask an entry host once to stop, and wait until this run of it is gone.

    It is asked only once, as the host that replaces it may have its name.
    """
    deadline = time.monotonic() + wait
    before = await _incarnation(client, name)
    path = _client.path_of('v1', 'hosts', name, 'drain')
    call = _client.Call('POST', path)
    found = await _client.fetch(client, call, service.DrainState)
    _output.show(found, as_json, f'{name}: {found.detail}')
    while await _incarnation_or_gone(client, name) == before:
        if time.monotonic() >= deadline:
            return exceptions.Exit.INCOMPLETE
        await curio.sleep(POLL_S)
    stopped = service.DrainState(
        name, True, 'it has stopped, or can not be reached'
    )
    _output.show(stopped, as_json, f'{name}: {stopped.detail}')
    return exceptions.Exit.DONE


async def _incarnation(client: _client.Client, name: str) -> str:
    """Return the incarnation of a live host, empty for any other."""
    call = _client.Call('GET', '/v1/status')
    found = await _client.fetch(client, call, views.FleetStatus)
    for host in found.hosts:
        gone = host.condition is views.HostCondition.UNREACHABLE
        if host.name == name and not gone:
            return str(host.incarnation)
    return ''


async def _incarnation_or_gone(client: _client.Client, name: str) -> str:
    try:
        return await _incarnation(client, name)
    except exceptions.CommandError as exc:
        raise exceptions.CommandError(
            f'{exc}; {name} was asked to stop, look at the status by way of'
            ' another host',
            exceptions.Exit.INCOMPLETE,
        ) from exc
