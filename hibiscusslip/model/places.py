"""Describe hosts, endpoints and the shards that group endpoints."""

import dataclasses
import enum

from hibiscusslip.model import resources


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Shard:
    """Name one part of an availability zone's endpoints and jobs.

    A shard is the unit of ownership: exactly one entry host of its
    availability zone may act for the endpoints and the jobs in it.
    """

    zone: str
    number: int

    def __str__(self) -> str:
        return f'{self.zone}:{self.number}'


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class HostId:
    """Name one run of the process on an entry host."""

    name: str
    incarnation: str

    def __str__(self) -> str:
        return f'{self.name}#{self.incarnation}'


class EndpointState(enum.StrEnum):
    """Tell whether an endpoint takes new work."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointInfo:
    """Hold what the platform's host list says of one endpoint."""

    name: str
    zone: str
    rack: str
    address: str
    port: int
    capacity: resources.Resources
    state: EndpointState = EndpointState.LIVE


def parse_shard(text: str) -> Shard:
    """Return the shard that `str(shard)` was made from."""
    zone, _, number = text.rpartition(':')
    return Shard(zone, int(number))
