"""Describe the fleets that the scheduling policy is measured on."""

import dataclasses

from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.scheduler import base

SLOTS_PER_ENDPOINT = 8
CONNECTIONS_PER_ENDPOINT = 64
MIB_PER_GIB = 1024
CPU_MILLI_PER_CORE = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """Describe identical endpoints; `memory` is in GiB."""

    prefix: str
    number: int
    cores: int
    memory: int
    accelerators: int
    per_rack: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """Describe the endpoints of one deployment and its number of teams.

    `run_time_factor` scales the run times of all kinds of work.
    """

    name: str
    pools: tuple[Pool, ...]
    teams: int
    run_time_factor: float = 1.0


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
# The fleet of capacity.sizes.Target; the policy bench selects it as `letter`.
TWO_YEAR_TARGET = Fleet(
    'letter',
    (
        Pool('general', 2000, 64, 256, 0, 40),
        Pool('accelerated', 500, 128, 256, 8, 20),
    ),
    260,
    3.0,
)


def scaled_fleet(workers: int, teams: int = 260) -> Fleet:
    """Return a fleet of any size with the pools of TWO_YEAR_TARGET."""
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
    """Return the endpoints of a fleet."""
    infos = []
    for pool in fleet.pools:
        capacity = resources.Resources(
            pool.cores * CPU_MILLI_PER_CORE,
            pool.memory * MIB_PER_GIB,
            pool.accelerators,
            SLOTS_PER_ENDPOINT,
            CONNECTIONS_PER_ENDPOINT,
        )
        for i in range(pool.number):
            rack = f'{pool.prefix}-r{i // pool.per_rack}'
            name = f'{pool.prefix}-{i:05}'
            infos.append(
                places.EndpointInfo(name, 'z', rack, '::1', 1, capacity)
            )
    return infos


def policy(
    fleet: Fleet, shares: dict[str, tuple[float, float]]
) -> base.FleetPolicy:
    """Return a policy with these shares and unlimited quotas.

    `shares` maps a kind to its guarantee and its ceiling, as fractions.
    """
    unlimited = resources.Resources(2**60, 2**60, 2**40, 2**40, 2**40)
    return base.FleetPolicy(
        1,
        {
            kind: base.KindShare(kind, guarantee, ceiling)
            for kind, (guarantee, ceiling) in shares.items()
        },
        {
            f'team{i}': base.TeamQuota(f'team{i}', unlimited)
            for i in range(fleet.teams)
        },
    )
