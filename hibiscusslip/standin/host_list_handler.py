"""Serve the in-memory host list over HTTP."""

import dataclasses
import time

from hibiscusslip.http import messages
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import wire as platform_wire
from hibiscusslip.standin import _routing
from hibiscusslip.standin import faults
from hibiscusslip.standin import memory_hosts
from hibiscusslip.standin import wire


class HostListHandler(_routing.RoutingHandler):
    """Serve the host list, its members, its faults and its counters."""

    def __init__(self, hosts: memory_hosts.MemoryHostList) -> None:
        super().__init__()
        self._hosts = hosts
        self.routes = {
            ('GET', platform_wire.HOSTS_PATH): self._fetch,
            ('POST', wire.ENDPOINTS_PATH): self._put_endpoints,
            ('POST', wire.ENTRY_HOSTS_PATH): self._put_entry_hosts,
            ('POST', wire.STATE_PATH): self._set_state,
            ('POST', wire.REMOVE_PATH): self._remove,
            ('POST', '/faults'): self._set_faults,
            ('GET', '/counters'): self._get_counters,
        }

    async def _fetch(self, req: messages.Request) -> messages.Response:
        try:
            listing = await self._hosts.fetch()
        except exceptions.PlatformError as exc:
            return messages.problem_response(
                503, 'host list unavailable', str(exc)
            )
        return _routing.json_response(
            platform_wire.HostsReply(
                [
                    platform_wire.build_endpoint_entry(m)
                    for m in listing.endpoints
                ],
                [
                    platform_wire.build_entry_host_entry(m)
                    for m in listing.entry_hosts
                ],
            )
        )

    async def _put_endpoints(self, req: messages.Request) -> messages.Response:
        entries = _routing.decode_body(req, list[platform_wire.EndpointEntry])
        return self._put(entries)

    async def _put_entry_hosts(
        self, req: messages.Request
    ) -> messages.Response:
        entries = _routing.decode_body(req, list[platform_wire.EntryHostEntry])
        return self._put(entries)

    def _put(self, entries: list) -> messages.Response:
        for entry in entries:
            self._hosts.table.put(time.monotonic(), entry.info())
        return self._counters()

    async def _set_state(self, req: messages.Request) -> messages.Response:
        change = _routing.decode_body(req, wire.StateChange)
        now = time.monotonic()
        self._hosts.table.set_state(now, change.name, change.state)
        return self._counters()

    async def _remove(self, req: messages.Request) -> messages.Response:
        removal = _routing.decode_body(req, wire.Removal)
        self._hosts.table.remove(time.monotonic(), removal.name)
        return self._counters()

    async def _set_faults(self, req: messages.Request) -> messages.Response:
        changes = _routing.decode_body(req, faults.HostFaults)
        faults.apply(changes, self._hosts.faults)
        return self._counters()

    async def _get_counters(self, req: messages.Request) -> messages.Response:
        return self._counters()

    def _counters(self) -> messages.Response:
        return _routing.json_response(
            {
                'fetches': self._hosts.fetches,
                'faults': dataclasses.asdict(self._hosts.faults),
            }
        )
