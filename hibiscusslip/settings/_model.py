"""Hold the settings of a process once they are checked."""

import dataclasses
import enum


class TraceExporter(enum.StrEnum):
    """Name where finished spans go."""

    NONE = 'none'
    FILE = 'file'


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Hold an IP number and a port; port 0 listens on any free one."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """Name this entry host and where it stands.

    `zones` are all availability zones of the region.
    """

    name: str
    region: str
    zone: str
    zones: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Listeners:
    """Hold where the process listens, for each kind of peer."""

    callers: Address
    operators: Address
    peers: Address


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Hold where the platform's services are; retention is in seconds."""

    log: Address
    host_list: Address
    log_retention: float
    host_list_interval: float


@dataclasses.dataclass(frozen=True, slots=True)
class Seed:
    """Name another entry host that is known from the start."""

    name: str
    zone: str
    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Hold durations in seconds; `drift` is a fraction."""

    lease: float
    promise: float
    drift: float
    margin: float
    settle: float
    renew_interval: float
    promise_interval: float
    stagger: float
    snapshot_interval: float
    heartbeat_interval: float
    suspect_after: float
    foreign_heartbeat_interval: float
    foreign_suspect_after: float
    list_lag: float
    send_timeout: float
    task_lease: float
    hold: float
    drain_grace: float
    append_linger: float


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bound what one process takes; times are in seconds."""

    max_body_bytes: int
    max_header_bytes: int
    max_connections: int
    max_jobs_per_request: int
    max_tasks_per_job: int
    max_answer_bytes: int
    max_queued_jobs: int
    max_wait: float
    read_timeout: float
    write_timeout: float
    idle_timeout: float
    peer_calls_per_second: float
    team_jobs_per_second: float
    appends_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Tell what is written where: logs, metrics and traces."""

    log_level: str
    log_json: bool
    statsd: Address | None
    trace_exporter: TraceExporter
    trace_file: str


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Hold one shared secret; it never shows in `repr`."""

    key_id: str
    secret: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Hold the valid keys; the first of each list signs."""

    peers: tuple[Key, ...]
    operators: tuple[Key, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Hold all that a process learns from its settings file."""

    host: Host
    shards_per_zone: int
    listeners: Listeners
    platform: Platform
    seeds: tuple[Seed, ...]
    timing: Timing
    limits: Limits
    observe: Observation
    keys: Keys
