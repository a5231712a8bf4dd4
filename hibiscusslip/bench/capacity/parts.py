"""Hold the parts that a host's expense is worked out from."""

import dataclasses

from hibiscusslip.bench.capacity import daemon
from hibiscusslip.bench.capacity import fleets
from hibiscusslip.bench.capacity import memory_slopes
from hibiscusslip.bench.capacity import sizes
from hibiscusslip.bench.capacity import time_slopes
from hibiscusslip.bench.capacity import wire_slopes


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """Hold what one part of a host's work takes.

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
class Pace:
    """Hold what a change of design could change; times in seconds.

    `listed_workers` are in one answer of the host list, which is sent
    `lists_sent` times a second and asked for every `list_interval`.
    """

    heartbeat: float
    foreign_heartbeat: float
    known_hosts_per_message: int
    listed_workers: float
    list_interval: float
    lists_sent: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slopes:
    """Hold all that was measured."""

    wire: wire_slopes.WireSlopes
    time: time_slopes.TimeSlopes
    memory: memory_slopes.MemorySlopes
    idle_bytes: float


def defaults(shape: sizes.Shape) -> Pace:
    """Return the pace of the code as it is."""
    interval = daemon.node().host_list_interval
    return Pace(
        heartbeat=daemon.node().pacing.heartbeat,
        foreign_heartbeat=daemon.node().pacing.foreign_heartbeat,
        known_hosts_per_message=daemon.node().pacing.known_hosts_per_message,
        listed_workers=shape.target.workers,
        list_interval=interval,
        lists_sent=1 / interval,
    )


def changed(shape: sizes.Shape) -> Pace:
    """Return the pace with the changes of design that the page names."""
    target = shape.target
    changes = target.failures_per_day + target.replacements_per_day
    return Pace(
        heartbeat=1.0,
        foreign_heartbeat=daemon.node().pacing.foreign_heartbeat,
        known_hosts_per_message=3,
        listed_workers=target.workers / target.zones,
        list_interval=fleets.LIST_INTERVAL_SECONDS,
        lists_sent=changes / target.zones / sizes.SECONDS_PER_DAY,
    )


def total(lines: list[Line]) -> Line:
    """Return the sum of all lines."""
    return Line(
        'One host',
        '',
        '',
        messages=sum(line.messages for line in lines),
        micros=sum(line.micros for line in lines),
        memory=sum(line.memory for line in lines),
        sent=sum(line.sent for line in lines),
    )
