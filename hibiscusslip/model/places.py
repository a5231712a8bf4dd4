"""Define hosts, endpoints and the shards that group endpoints."""

import dataclasses
import enum

from hibiscusslip.model import resources


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Shard:
    """Identify a partition of an availability zone's endpoints and jobs.

    A shard is the unit of ownership: exactly one entry host of its
    availability zone may act for the endpoints and the jobs in it.
    """

    zone: str
    number: int

    def __str__(self) -> str:
        return f'{self.zone}:{self.number}'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class HostId:
    """Identify an entry host and one incarnation of its process."""

    name: str
    incarnation: str

    def __str__(self) -> str:
        return f'{self.name}#{self.incarnation}'


class EndpointState(enum.StrEnum):
    """Enumerate the states of an endpoint; only LIVE ones get new work."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointInfo:
    """Represent an endpoint as the platform's host list describes it."""

    name: str
    zone: str
    rack: str
    address: str
    port: int
    capacity: resources.Resources
    state: EndpointState = EndpointState.LIVE


def parse_shard(text: str) -> Shard:
    """Return the shard whose `str()` is `text`; raise ValueError."""
    zone, _, number = text.rpartition(':')
    return Shard(zone, int(number))
