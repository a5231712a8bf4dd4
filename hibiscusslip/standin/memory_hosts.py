"""Serve a host list that lags behind its changes from memory."""

import collections
import dataclasses
import time

import curio

from hibiscusslip.model import places
from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions
from hibiscusslip.standin import exceptions as standin_exceptions
from hibiscusslip.standin import faults

MAX_PENDING_CHANGES = 100_000

Member = places.EndpointInfo | base.EntryHostInfo


@dataclasses.dataclass(frozen=True, slots=True)
class _Change:
    changed_at: float
    kind: type
    name: str
    member: Member | None


class HostTable:
    """Store the members and the changes that aren't visible yet."""

    def __init__(self) -> None:
        self._visible: dict[tuple[type, str], Member] = {}
        self._latest: dict[tuple[type, str], Member] = {}
        self._pending: collections.deque[_Change] = collections.deque()

    def put(self, now: float, member: Member) -> None:
        """Add or replace a member."""
        self._latest[type(member), member.name] = member
        self._record_change(_Change(now, type(member), member.name, member))

    def remove(self, now: float, name: str) -> None:
        """Remove a member; raises StandinError for an unknown name."""
        key = self._require_key(name)
        del self._latest[key]
        self._record_change(_Change(now, key[0], name, None))

    def set_state(
        self, now: float, name: str, state: places.EndpointState
    ) -> None:
        """Change a member's state; raises StandinError for an unknown name."""
        member = self._latest[self._require_key(name)]
        self.put(now, dataclasses.replace(member, state=state))

    def list_members(self, now: float, lag: float) -> base.HostListing:
        """Return the list as it was `lag` seconds ago."""
        while self._pending and self._pending[0].changed_at <= now - lag:
            self._make_visible(self._pending.popleft())
        members = self._visible.values()
        return base.HostListing(
            [m for m in members if isinstance(m, places.EndpointInfo)],
            [m for m in members if isinstance(m, base.EntryHostInfo)],
        )

    def _require_key(self, name: str) -> tuple[type, str]:
        for kind in (places.EndpointInfo, base.EntryHostInfo):
            if (kind, name) in self._latest:
                return kind, name
        raise standin_exceptions.StandinError(
            f'no member named {name}; add it first'
        )

    def _record_change(self, change: _Change) -> None:
        if len(self._pending) >= MAX_PENDING_CHANGES:
            self._make_visible(self._pending.popleft())
        self._pending.append(change)

    def _make_visible(self, change: _Change) -> None:
        key = change.kind, change.name
        if change.member is None:
            self._visible.pop(key, None)
        else:
            self._visible[key] = change.member


class MemoryHostList(base.HostList):
    """Serve a host table with its lag and faults."""

    def __init__(self, lag: float = 0.0) -> None:
        self.table = HostTable()
        self.faults = faults.HostFaultState(lag=lag)
        self.fetches = 0

    async def fetch(self) -> base.HostListing:
        """Return the members that are visible now.

        Raises PlatformError while the host list is down.
        """
        self.fetches += 1
        await curio.sleep(self.faults.latency)
        if self.faults.down:
            raise exceptions.PlatformError(
                'the host list is down; try again later'
            )
        return self.table.list_members(time.monotonic(), self.faults.lag)

    async def close(self) -> None:
        """Do nothing, as the list is shared."""
