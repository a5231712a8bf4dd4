"""Define the validated settings of a process."""

import dataclasses
import enum


class TraceExporter(enum.StrEnum):
    """Enumerate the exporters of finished spans."""

    NONE = 'none'
    FILE = 'file'


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Represent an IP address and port; port 0 listens on any free port."""

    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """Identify this entry host and its location.

    `zones` lists all availability zones of the region.
    """

    name: str
    region: str
    zone: str
    zones: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Listeners:
    """Store the address to listen on for each kind of client."""

    callers: Address
    operators: Address
    peers: Address


@dataclasses.dataclass(frozen=True, slots=True)
class Platform:
    """Store the addresses of the platform's services; times in seconds."""

    log: Address
    host_list: Address
    log_retention: float
    host_list_interval: float


@dataclasses.dataclass(frozen=True, slots=True)
class Seed:
    """Identify another entry host that is known at startup."""

    name: str
    zone: str
    address: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """Store durations in seconds; `drift` is a fraction."""

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
    """Store the limits of one process; times are in seconds."""

    max_body_bytes: int
    max_client_bytes: int
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
class Observability:
    """Configure the output of logs, metrics and traces."""

    log_level: str
    log_json: bool
    statsd: Address | None
    trace_exporter: TraceExporter
    trace_file: str


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Store a shared secret, which `repr` leaves out."""

    key_id: str
    secret: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Keys:
    """Store the valid keys; the first of each list signs."""

    peers: tuple[Key, ...]
    operators: tuple[Key, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Store all settings of a process."""

    host: Host
    shards_per_zone: int
    listeners: Listeners
    platform: Platform
    seeds: tuple[Seed, ...]
    timing: Timing
    limits: Limits
    observe: Observability
    keys: Keys
