"""Hold what operators see of hosts and of the whole fleet."""

import dataclasses
import enum

import msgspec

from hibiscusslip.model import resources
from hibiscusslip.scheduler import base


class HostCondition(enum.StrEnum):
    """Tell how an entry host stands, as seen by the one that answers."""

    LIVE = 'live'
    DRAINING = 'draining'
    UNREACHABLE = 'unreachable'


class LogHealth(enum.StrEnum):
    """Tell how the platform's log answers a host."""

    GOOD = 'good'
    SLOW = 'slow'
    DOWN = 'down'


@dataclasses.dataclass(frozen=True, slots=True)
class ShardView:
    """Hold the standing of one shard that a host owns."""

    shard: str
    epoch: int
    queued: int
    running: int


KindView = base.KindSummary


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """Hold one entry host's part of the view."""

    name: str
    zone: str
    condition: HostCondition
    incarnation: str = ''
    config_version: int = 0
    log: LogHealth = LogHealth.GOOD
    shards: list[ShardView] = dataclasses.field(default_factory=list)
    kinds: list[KindView] = dataclasses.field(default_factory=list)
    capacity: resources.Resources = resources.NOTHING


@dataclasses.dataclass(frozen=True, slots=True)
class FleetStatus:
    """Hold the view of the fleet, put together from its hosts."""

    version: int
    author: str
    hosts: list[HostView]
    kinds: list[KindView]
    capacity: resources.Resources

    @property
    def unreachable(self) -> list[str]:
        """Return the names of hosts whose part is missing."""
        return [
            host.name
            for host in self.hosts
            if host.condition is HostCondition.UNREACHABLE
        ]


def merge(version: int, author: str, hosts: list[HostView]) -> FleetStatus:
    """Return the fleet's view from the views of its hosts."""
    kinds: dict[str, KindView] = {}
    capacity = resources.NOTHING
    for host in hosts:
        capacity = capacity + host.capacity
        for kind in host.kinds:
            before = kinds.get(kind.kind)
            kinds[kind.kind] = _add(before, kind) if before else kind
    ordered = sorted(hosts, key=lambda host: (host.zone, host.name))
    return FleetStatus(
        version,
        author,
        ordered,
        [kinds[name] for name in sorted(kinds)],
        capacity,
    )


def encode_host(view: HostView) -> bytes:
    """Return a host's part as JSON, to be sent to other hosts."""
    return msgspec.json.encode(view)


def decode_host(document: bytes) -> HostView:
    """Return the part in a JSON document; raises msgspec.DecodeError."""
    return msgspec.json.decode(document, type=HostView)


def _add(one: KindView, other: KindView) -> KindView:
    return KindView(
        one.kind,
        one.queued + other.queued,
        one.running + other.running,
        one.held + other.held,
        one.guaranteed + other.guaranteed,
        max(one.oldest_wait, other.oldest_wait),
    )
