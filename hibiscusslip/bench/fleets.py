"""Describe the fleets and the work that the policy is measured with."""

import dataclasses

from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.scheduler import base

SLOTS = 8
CONNECTIONS = 64
GIB = 1024
CORE = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Hold a number of equal endpoints; memory is in GiB."""

    prefix: str
    number: int
    cores: int
    memory: int
    accelerators: int
    per_rack: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Hold the endpoints of one deployment and its teams.

    Run times are `pace` times as long as usual.
    """

    name: str
    pools: tuple[Pool, ...]
    teams: int
    pace: float = 1.0


PEACHTREE = Fleet(
    'peachtree',
    (Pool('planner', 18, 64, 256, 0, 5), Pool('print', 7, 128, 256, 8, 3)),
    24,
)
ESTENDAL = Fleet(
    'estendal',
    (Pool('costing', 19, 32, 128, 0, 4), Pool('render', 8, 128, 256, 8, 3)),
    12,
)
LETTER = Fleet(
    'letter',
    (
        Pool('general', 2000, 64, 256, 0, 40),
        Pool('accelerated', 500, 128, 256, 8, 20),
    ),
    260,
    3.0,
)


def scaled(workers: int, teams: int = 260) -> Fleet:
    """Return a fleet of a given size in the proportions of the largest."""
    accelerated = max(1, workers // 5)
    return Fleet(
        f'{workers} workers',
        (
            Pool('general', workers - accelerated, 64, 256, 0, 40),
            Pool('accelerated', accelerated, 128, 256, 8, 20),
        ),
        teams,
    )


def endpoints(fleet: Fleet) -> list[places.EndpointInfo]:
    """Return the endpoints of a fleet, all live."""
    infos = []
    for pool in fleet.pools:
        room = resources.Resources(
            pool.cores * CORE,
            pool.memory * GIB,
            pool.accelerators,
            SLOTS,
            CONNECTIONS,
        )
        for i in range(pool.number):
            rack = f'{pool.prefix}-r{i // pool.per_rack}'
            name = f'{pool.prefix}-{i:05}'
            infos.append(places.EndpointInfo(name, 'z', rack, '::1', 1, room))
    return infos


def policy(
    fleet: Fleet, shares: dict[str, tuple[float, float]]
) -> base.FleetPolicy:
    """Return shares by kind and an unlimited quota for each team."""
    plenty = resources.Resources(2**60, 2**60, 2**40, 2**40, 2**40)
    return base.FleetPolicy(
        1,
        {
            kind: base.KindShare(kind, guarantee, ceiling)
            for kind, (guarantee, ceiling) in shares.items()
        },
        {
            f'team{i}': base.TeamQuota(f'team{i}', plenty)
            for i in range(fleet.teams)
        },
    )
