"""Read the settings file that the platform provides to each process."""

import dataclasses
import math
import pathlib

from hibiscusslip.platform import exceptions

FILE_VARIABLE = 'HIBISCUSSLIP_NODE_FILE'
MS_PER_S = 1000.0
DEFAULT_MAX_BODY_BYTES = 262144
ORGANISATIONS_CONTRACT = 'tenants'


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Represent an IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f'{self.ip}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Represent the bounds that the deployment sets.

    All are times in seconds, except `far_factor`, which is a ratio, and
    `limit_overage`, the share by which an organisation may exceed its limit.
    `max_lease` is the longest lease that an endpoint grants, `status_kept`
    how long the state of an ended job has to be retained, `config_apply`
    the time until a configuration is in force everywhere, `contact` for how
    long an endpoint's former capacity still counts after it has shrunk,
    `entitlement_window` the time over which an organisation's rate of jobs is
    judged.
    """

    max_lease: float = 6.0
    stop_timeout: float = 1.0
    gang_wait: float = 3.0
    grace: float = 6.0
    drain: float = 2.0
    far_factor: float = 2.0
    restore: float = 0.6
    status_kept: float = 120.0
    interference: float = 4.0
    notice: float = 4.5
    upkeep: float = 2.0
    config_apply: float = 2.0
    contact: float = 3.0
    limit_overage: float = 0.0
    entitlement_window: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Represent a host's settings, which the platform assigns.

    The host listens on `front` for callers and on `ready` for readiness
    probes; `ports` are the first and the last port of its own range.
    `partitions` is the number of partitions of a topic, `heartbeat` how often
    an endpoint writes its entry, in seconds. `cpu_share` is the
    share of a processor core that the host may use, and `cores` is how many
    times as fast that core runs. The host may have `max_descriptors` files
    and sockets open and `memory_mb` MiB of memory. A record of the store has
    `record_bytes` at most. `contracts` are the names of what the
    deployment asks for beyond the basic service.
    """

    name: str
    zone: str
    zones: tuple[str, ...]
    partitions: int
    front: Address
    ready: Address
    ports: tuple[int, int]
    store: Address
    advice: Address | None
    cloud: Address | None
    cpu_share: float
    cores: float
    link_mbps: float
    bounds: Bounds
    heartbeat: float = 1.5
    max_descriptors: int = 1024
    memory_mb: int = 256
    record_bytes: int = 262144
    contracts: frozenset[str] = frozenset()

    @property
    def has_organisations(self) -> bool:
        """Return True if the deployment's callers belong to organisations."""
        return ORGANISATIONS_CONTRACT in self.contracts


_BOUND_KEYS = {
    'max_lease': ('MaxHoldMs', MS_PER_S),
    'stop_timeout': ('StopTimeoutMs', MS_PER_S),
    'gang_wait': ('GangWaitMs', MS_PER_S),
    'grace': ('GraceS', 1.0),
    'drain': ('DrainMs', MS_PER_S),
    'far_factor': ('FarFactor', 1.0),
    'restore': ('RestoreMs', MS_PER_S),
    'status_kept': ('status_s', 1.0),
    'interference': ('InterferenceMs', MS_PER_S),
    'notice': ('NoticeMs', MS_PER_S),
    'upkeep': ('MaintenanceS', 1.0),
    'config_apply': ('ConfigApplyMs', MS_PER_S),
    'contact': ('ContactMs', MS_PER_S),
    'limit_overage': ('QuotaOverage', 1.0),
    'entitlement_window': ('QuotaWindowS', 1.0),
}


def load(path: str) -> HostSettings:
    """Return the settings in the file at `path`; raises SettingsInvalid."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeError) as exc:
        raise exceptions.SettingsInvalid(
            f'{path}: {exc}; name a readable settings file'
        ) from exc
    return parse(text)


def parse(text: str) -> HostSettings:
    """Return the settings in `key=value` lines; raises SettingsInvalid."""
    fields: dict[str, str] = {}
    for line in text.splitlines():
        key, separator, value = line.partition('=')
        if separator:
            fields[key.strip()] = value.strip()
    try:
        return _build(fields)
    except (KeyError, ValueError) as exc:
        raise exceptions.SettingsInvalid(
            f'the settings lack or misspell a field: {exc!r}; see the'
            " platform team's page on settings"
        ) from exc


def _build(fields: dict[str, str]) -> HostSettings:
    low, high = fields['PortRange'].split(',')
    return HostSettings(
        name=fields['Node'],
        zone=fields['Zone'],
        zones=_zones(fields),
        partitions=int(fields.get('platform.parts', '1')),
        front=_address(fields['Listen.Front']),
        ready=_address(fields['Listen.Ready']),
        ports=(int(low), int(high)),
        store=_address(fields['platform.Addr']),
        advice=_optional_address(fields.get('Advice', '')),
        cloud=_optional_address(fields.get('CloudApi.Addr', '')),
        cpu_share=float(fields.get('Limits.CpuShare', '1')),
        cores=float(fields.get('Limits.Cores', '1')),
        link_mbps=float(fields.get('Limits.LinkMbps', '1000')),
        bounds=_bounds(fields),
        heartbeat=float(fields.get('HeartbeatMs', '1500')) / MS_PER_S,
        max_descriptors=int(fields.get('Limits.MaxFds', '1024')),
        memory_mb=_size(fields, 'Limits.MemoryMb', 256),
        record_bytes=_size(fields, 'platform.RecordBytes', 262144),
        contracts=_contracts(fields),
    )


def _size(fields: dict[str, str], key: str, default: int) -> int:
    """Return a size, the default if it is missing, empty or 0."""
    size = int(float(fields.get(key) or '0'))
    return size if size > 0 else default


def _contracts(fields: dict[str, str]) -> frozenset[str]:
    names = fields.get('Contracts', '').split(',')
    return frozenset(name.strip() for name in names if name.strip())


def _zones(fields: dict[str, str]) -> tuple[str, ...]:
    prefix = 'Zones.'
    names = [key[len(prefix) :] for key in fields if key.startswith(prefix)]
    return tuple(sorted(names or [fields['Zone']]))


def _bounds(fields: dict[str, str]) -> Bounds:
    bounds = {}
    for name, (key, scale) in _BOUND_KEYS.items():
        text = fields.get(f'Bounds.{key}', '')
        if text:
            bounds[name] = _to_bound(text) / scale
    return Bounds(**bounds)


def _to_bound(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f'{text} is no bound')
    return value


def _address(text: str) -> Address:
    ip, _, port = text.rpartition(':')
    return Address(ip, int(port))


def _optional_address(text: str) -> Address | None:
    return _address(text) if text else None
