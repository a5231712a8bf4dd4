"""Define the state of hosts and fleet as shown to operators."""

import dataclasses
import enum

import msgspec

from hibiscusslip.model import resources
from hibiscusslip.scheduler import base


class HostCondition(enum.StrEnum):
    """Define the states of an entry host, as seen by the responding host."""

    LIVE = 'live'
    DRAINING = 'draining'
    UNREACHABLE = 'unreachable'


class LogHealth(enum.StrEnum):
    """Define how well the platform's log responds to a host."""

    GOOD = 'good'
    SLOW = 'slow'
    DOWN = 'down'


@dataclasses.dataclass(frozen=True, slots=True)
class ShardView:
    """Represent the state of one shard that a host owns.

    `queued` and `running` count tasks.
    """

    shard: str
    epoch: int
    queued: int
    running: int


KindView = base.KindSummary


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """Represent the state of one entry host."""

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
    """Represent the state of the fleet, merged from its hosts."""

    version: int
    author: str
    hosts: list[HostView]
    kinds: list[KindView]
    capacity: resources.Resources

    @property
    def unreachable(self) -> list[str]:
        """Return the names of the unreachable hosts."""
        return [
            host.name
            for host in self.hosts
            if host.condition is HostCondition.UNREACHABLE
        ]


def merge(version: int, author: str, hosts: list[HostView]) -> FleetStatus:
    """Return the state of the fleet, merged from the states of its hosts.

    `version` and `author` are those of the configuration in force.
    """
    kinds: dict[str, KindView] = {}
    capacity = resources.NOTHING
    for host in hosts:
        capacity = capacity + host.capacity
        for kind in host.kinds:
            previous = kinds.get(kind.kind)
            kinds[kind.kind] = _sum_kinds(previous, kind) if previous else kind
    ordered = sorted(hosts, key=lambda host: (host.zone, host.name))
    return FleetStatus(
        version,
        author,
        ordered,
        [kinds[name] for name in sorted(kinds)],
        capacity,
    )


def encode_host(view: HostView) -> bytes:
    """Return a host's state as JSON for other hosts."""
    return msgspec.json.encode(view)


def decode_host(document: bytes) -> HostView:
    """Return the host's state in a document; raises msgspec.DecodeError."""
    return msgspec.json.decode(document, type=HostView)


def _sum_kinds(one: KindView, other: KindView) -> KindView:
    return KindView(
        one.kind,
        one.queued + other.queued,
        one.running + other.running,
        one.held + other.held,
        one.guaranteed + other.guaranteed,
        max(one.oldest_wait, other.oldest_wait),
    )
