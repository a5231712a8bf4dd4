"""Define the sections of a settings file as validated models.

Error messages quote the description of a type as what was expected, and its
example as the remedy.
"""

import typing

import msgspec

from hibiscusslip.settings import _model

Name = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=r'^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$',
        description='a name of lower-case letters, digits, dots and dashes',
        examples=['ga-east-a-1'],
    ),
]
IpAddress = typing.Annotated[
    str,
    msgspec.Meta(description='an IP address', examples=['10.1.0.4']),
]
ListenPort = typing.Annotated[
    int,
    msgspec.Meta(
        ge=0,
        le=65535,
        description='a port from 0 (any free one) to 65535',
        examples=[7400],
    ),
]
Port = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=65535,
        description='a port from 1 to 65535',
        examples=[7400],
    ),
]
Seconds = typing.Annotated[
    float,
    msgspec.Meta(
        gt=0,
        le=86400 * 366,
        description='a number of seconds above 0',
        examples=[2.5],
    ),
]
Fraction = typing.Annotated[
    float,
    msgspec.Meta(
        ge=0,
        le=0.1,
        description='a fraction from 0 to 0.1',
        examples=[0.01],
    ),
]
Count = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=2**40,
        description='a whole number of at least 1',
        examples=[1000],
    ),
]
Rate = typing.Annotated[
    float,
    msgspec.Meta(
        gt=0,
        le=1e9,
        description='a rate per second above 0',
        examples=[100],
    ),
]
ShardCount = typing.Annotated[
    int,
    msgspec.Meta(
        ge=1,
        le=1024,
        description='a whole number from 1 to 1024',
        examples=[16],
    ),
]
Level = typing.Annotated[
    typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'],
    msgspec.Meta(
        description="'DEBUG', 'INFO', 'WARNING' or 'ERROR'",
        examples=['INFO'],
    ),
]
Exporter = typing.Annotated[
    _model.TraceExporter,
    msgspec.Meta(description="'none' or 'file'", examples=['none']),
]
Flag = typing.Annotated[
    bool,
    msgspec.Meta(description='true or false', examples=[True]),
]
Text = typing.Annotated[
    str,
    msgspec.Meta(
        min_length=1,
        description='a text that is not empty',
        examples=['/etc/hibiscusslip/key'],
    ),
]


class HostSection(msgspec.Struct, frozen=True):
    """Identify this entry host and its location."""

    name: Name
    region: Name
    zone: Name
    shards_per_zone: ShardCount = 1


class ListenAddress(msgspec.Struct, frozen=True):
    """Define an address to listen on."""

    address: IpAddress
    port: ListenPort


class RemoteAddress(msgspec.Struct, frozen=True):
    """Define the address of another service."""

    address: IpAddress
    port: Port


class ListenSection(msgspec.Struct, frozen=True):
    """Define the addresses to listen on for each kind of client."""

    callers: ListenAddress
    operators: ListenAddress
    peers: ListenAddress


class PlatformSection(msgspec.Struct, frozen=True):
    """Define the addresses of the platform's services."""

    log: RemoteAddress
    host_list: RemoteAddress
    log_retention: Seconds = 86400.0
    host_list_interval: Seconds = 2.0


class SeedSection(msgspec.Struct, frozen=True):
    """Identify another entry host that is known at startup."""

    name: Name
    zone: Name
    address: IpAddress
    port: Port


class ZoneSection(msgspec.Struct, frozen=True):
    """Identify an availability zone of the region."""

    name: Name


class TimingSection(msgspec.Struct, frozen=True):
    """Define durations in seconds; `drift` is a fraction."""

    lease: Seconds = 5.0
    promise: Seconds = 4.0
    drift: Fraction = 0.001
    margin: Seconds = 0.25
    settle: Seconds = 2.0
    renew_interval: Seconds = 1.5
    promise_interval: Seconds = 0.5
    stagger: Seconds = 1.0
    snapshot_interval: Seconds = 600.0
    heartbeat_interval: Seconds = 0.5
    suspect_after: Seconds = 2.0
    foreign_heartbeat_interval: Seconds = 2.0
    foreign_suspect_after: Seconds = 20.0
    list_lag: Seconds = 60.0
    send_timeout: Seconds = 2.0
    task_lease: Seconds = 15.0
    hold: Seconds = 2.0
    drain_grace: Seconds = 30.0
    append_linger: Seconds = 0.005


class LimitsSection(msgspec.Struct, frozen=True):
    """Define the limits of one process; times are in seconds."""

    max_body_bytes: Count = 4 * 2**20
    max_client_bytes: Count = 128 * 2**20
    max_header_bytes: Count = 16 * 2**10
    max_connections: Count = 1024
    max_jobs_per_request: Count = 1000
    max_tasks_per_job: Count = 1000
    max_answer_bytes: Count = 2**20
    max_queued_jobs: Count = 10_000
    max_wait: Seconds = 300.0
    read_timeout: Seconds = 10.0
    write_timeout: Seconds = 10.0
    idle_timeout: Seconds = 60.0
    peer_calls_per_second: Rate = 5000.0
    team_jobs_per_second: Rate = 2000.0
    appends_per_second: Rate = 20.0


class ObserveSection(msgspec.Struct, frozen=True):
    """Define the output of logs, metrics and traces."""

    log_level: Level = 'INFO'
    log_json: Flag = False
    statsd: RemoteAddress | None = None
    trace_exporter: Exporter = _model.TraceExporter.NONE
    trace_file: Text | None = None


class KeySection(msgspec.Struct, frozen=True):
    """Define a shared secret by the file or variable that stores it."""

    id: Name
    secret_file: Text | None = None
    secret_env: Text | None = None


class KeysSection(msgspec.Struct, frozen=True):
    """Define the valid keys; the first of each list signs."""

    peers: list[KeySection]
    operators: list[KeySection]


class SettingsFile(msgspec.Struct, frozen=True):
    """Define a settings file by its sections."""

    host: HostSection
    listen: ListenSection
    platform: PlatformSection
    keys: KeysSection
    zones: list[ZoneSection] = []
    seeds: list[SeedSection] = []
    timing: TimingSection = TimingSection()
    limits: LimitsSection = LimitsSection()
    observe: ObserveSection = ObserveSection()
