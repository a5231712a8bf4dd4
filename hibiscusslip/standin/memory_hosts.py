"""Serve the lagging host list from memory."""

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
    at: float
    kind: type
    name: str
    member: Member | None


class HostTable:
    """Hold the members and the changes that aren't shown yet."""

    def __init__(self) -> None:
        self._shown: dict[tuple[type, str], Member] = {}
        self._latest: dict[tuple[type, str], Member] = {}
        self._pending: collections.deque[_Change] = collections.deque()

    def put(self, now: float, member: Member) -> None:
        """Add or replace a member."""
        self._latest[type(member), member.name] = member
        self._note(_Change(now, type(member), member.name, member))

    def remove(self, now: float, name: str) -> None:
        """Remove a member; raises StandinError for an unknown name."""
        key = self._find(name)
        del self._latest[key]
        self._note(_Change(now, key[0], name, None))

    def set_state(
        self, now: float, name: str, state: places.EndpointState
    ) -> None:
        """Change a member's state; raises StandinError for no such name."""
        member = self._latest[self._find(name)]
        self.put(now, dataclasses.replace(member, state=state))

    def list_members(self, now: float, lag: float) -> base.HostListing:
        """Return the list as it was `lag` seconds ago."""
        while self._pending and self._pending[0].at <= now - lag:
            self._show(self._pending.popleft())
        members = self._shown.values()
        return base.HostListing(
            [m for m in members if isinstance(m, places.EndpointInfo)],
            [m for m in members if isinstance(m, base.EntryHostInfo)],
        )

    def _find(self, name: str) -> tuple[type, str]:
        for kind in (places.EndpointInfo, base.EntryHostInfo):
            if (kind, name) in self._latest:
                return kind, name
        raise standin_exceptions.StandinError(
            f'no member named {name}; add it first'
        )

    def _note(self, change: _Change) -> None:
        if len(self._pending) >= MAX_PENDING_CHANGES:
            self._show(self._pending.popleft())
        self._pending.append(change)

    def _show(self, change: _Change) -> None:
        key = change.kind, change.name
        if change.member is None:
            self._shown.pop(key, None)
        else:
            self._shown[key] = change.member


class MemoryHostList(base.HostList):
    """Show a host table as it was some time ago."""

    def __init__(self, lag: float = 0.0) -> None:
        self.table = HostTable()
        self.faults = faults.HostFaultState(lag=lag)
        self.fetches = 0

    async def fetch(self) -> base.HostListing:
        """Return the list as the platform shows it now.

        Raises PlatformError when it can't be had.
        """
        self.fetches += 1
        await curio.sleep(self.faults.latency)
        if self.faults.down:
            raise exceptions.PlatformError(
                'the host list is down; try again later'
            )
        return self.table.list_members(time.monotonic(), self.faults.lag)

    async def close(self) -> None:
        """Do nothing: the list stays for its other users."""
