"""Define the costs of a host, and the slopes and design they depend on."""

import dataclasses

from hibiscusslip.bench.capacity import defaults
from hibiscusslip.bench.capacity import memory_slopes
from hibiscusslip.bench.capacity import simulation
from hibiscusslip.bench.capacity import sizes
from hibiscusslip.bench.capacity import time_slopes
from hibiscusslip.bench.capacity import wire_slopes


@dataclasses.dataclass(frozen=True, slots=True)
class CostLine:
    """Represent the costs of one role of a host.

    `messages` and `sent` (bytes both ways) are per second, `micros` is
    processor time per second, `memory` is in bytes.
    """

    role: str
    state: str
    mechanism: str
    messages: float = 0.0
    micros: float = 0.0
    memory: float = 0.0
    sent: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Design:
    """Represent the intervals and sizes that a design determines.

    Times are in seconds. A host polls the host list every `list_interval`
    and receives `listed_workers` entries `lists_sent` times a second.
    """

    heartbeat: float
    foreign_heartbeat: float
    known_hosts_per_message: int
    listed_workers: float
    list_interval: float
    lists_sent: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slopes:
    """Represent all measured slopes and the idle memory of a host."""

    wire: wire_slopes.WireSlopes
    time: time_slopes.TimeSlopes
    memory: memory_slopes.MemorySlopes
    idle_bytes: float


def current_design(shape: sizes.Shape) -> Design:
    """Return the design of the present code."""
    interval = defaults.node_config().host_list_interval
    return Design(
        heartbeat=defaults.node_config().pacing.heartbeat,
        foreign_heartbeat=defaults.node_config().pacing.foreign_heartbeat,
        known_hosts_per_message=(
            defaults.node_config().pacing.known_hosts_per_message
        ),
        listed_workers=shape.target.workers,
        list_interval=interval,
        lists_sent=1 / interval,
    )


def changed_design(shape: sizes.Shape) -> Design:
    """Return the design with the changes that docs/CAPACITY.md proposes."""
    target = shape.target
    changes = target.failures_per_day + target.replacements_per_day
    return Design(
        heartbeat=1.0,
        foreign_heartbeat=defaults.node_config().pacing.foreign_heartbeat,
        known_hosts_per_message=3,
        listed_workers=target.workers / target.zones,
        list_interval=simulation.LIST_INTERVAL_SECONDS,
        lists_sent=changes / target.zones / sizes.SECONDS_PER_DAY,
    )


def total(lines: list[CostLine]) -> CostLine:
    """Return the sum of the costs of all roles."""
    return CostLine(
        'One host',
        '',
        '',
        messages=sum(line.messages for line in lines),
        micros=sum(line.micros for line in lines),
        memory=sum(line.memory for line in lines),
        sent=sum(line.sent for line in lines),
    )
