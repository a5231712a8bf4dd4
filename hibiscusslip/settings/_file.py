"""Define the settings file as validated models.

The description of each type says what a value must be, its example is what
an error proposes.
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
IpNumber = typing.Annotated[
    str,
    msgspec.Meta(description='an IP number', examples=['10.1.0.4']),
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
        description='a number a second above 0',
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
    """Name this entry host and where it stands."""

    name: Name
    region: Name
    zone: Name
    shards_per_zone: ShardCount = 1


class ListenAddress(msgspec.Struct, frozen=True):
    """Tell where to listen."""

    address: IpNumber
    port: ListenPort


class RemoteAddress(msgspec.Struct, frozen=True):
    """Tell where something else listens."""

    address: IpNumber
    port: Port


class ListenSection(msgspec.Struct, frozen=True):
    """Tell where to listen for each kind of peer."""

    callers: ListenAddress
    operators: ListenAddress
    peers: ListenAddress


class PlatformSection(msgspec.Struct, frozen=True):
    """Tell where the platform's services are."""

    log: RemoteAddress
    host_list: RemoteAddress
    log_retention: Seconds = 86400.0
    host_list_interval: Seconds = 2.0


class SeedSection(msgspec.Struct, frozen=True):
    """Name another entry host."""

    name: Name
    zone: Name
    address: IpNumber
    port: Port


class ZoneSection(msgspec.Struct, frozen=True):
    """Name an availability zone of the region."""

    name: Name


class TimingSection(msgspec.Struct, frozen=True):
    """Set durations in seconds."""

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
    """Bound what one process takes."""

    max_body_bytes: Count = 4 * 2**20
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
    """Tell what is written where."""

    log_level: Level = 'INFO'
    log_json: Flag = False
    statsd: RemoteAddress | None = None
    trace_exporter: Exporter = _model.TraceExporter.NONE
    trace_file: Text | None = None


class KeySection(msgspec.Struct, frozen=True):
    """Name a shared secret by the file or the variable that holds it."""

    id: Name
    secret_file: Text | None = None
    secret_env: Text | None = None


class KeysSection(msgspec.Struct, frozen=True):
    """List the valid keys; the first of each list signs."""

    peers: list[KeySection]
    operators: list[KeySection]


class SettingsFile(msgspec.Struct, frozen=True):
    """Hold a settings file section by section."""

    host: HostSection
    listen: ListenSection
    platform: PlatformSection
    keys: KeysSection
    zones: list[ZoneSection] = []
    seeds: list[SeedSection] = []
    timing: TimingSection = TimingSection()
    limits: LimitsSection = LimitsSection()
    observe: ObserveSection = ObserveSection()
