"""Check what the types of single settings can't express.

A check is a registered function that gets the whole settings file and yields
a problem for each invalid setting.
"""

import collections.abc
import dataclasses
import socket

from hibiscusslip.settings import _file
from hibiscusslip.settings import _model

# A request takes five times its body while it is handled, of three quarters of
# the bytes of a listener; that of the operators has a quarter of all.
CLIENT_BYTES_PER_BODY_BYTE = 28


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Describe an invalid setting: key, expected value and remedy."""

    key: str
    expected: str
    remedy: str


Problems = collections.abc.Iterator[Problem]
Check = collections.abc.Callable[[_file.SettingsFile], Problems]

_checks: list[Check] = []


def register(check: Check) -> Check:
    """Add a check to those that `run` applies."""
    _checks.append(check)
    return check


def run(cfg: _file.SettingsFile) -> list[Problem]:
    """Return the problems that all registered checks find."""
    return [problem for check in _checks for problem in check(cfg)]


def _is_ip(text: str) -> bool:
    for family in (socket.AF_INET, socket.AF_INET6):
        try:
            socket.inet_pton(family, text)
            return True
        except OSError:
            continue
    return False


@register
def check_addresses(cfg: _file.SettingsFile) -> Problems:
    """Check that each address is an IP address."""
    addresses = {
        'listen.callers': cfg.listen.callers.address,
        'listen.operators': cfg.listen.operators.address,
        'listen.peers': cfg.listen.peers.address,
        'platform.log': cfg.platform.log.address,
        'platform.host_list': cfg.platform.host_list.address,
    }
    for index, seed in enumerate(cfg.seeds):
        addresses[f'seeds[{index}]'] = seed.address
    if cfg.observe.statsd is not None:
        addresses['observe.statsd'] = cfg.observe.statsd.address
    for key, address in addresses.items():
        if not _is_ip(address):
            yield Problem(
                f'{key}.address',
                f'an IP address, found {address!r}',
                'write the address the name resolves to, such as 10.1.0.4',
            )


@register
def check_listeners(cfg: _file.SettingsFile) -> Problems:
    """Check that no two listeners share an address and port."""
    seen: dict[tuple[str, int], str] = {}
    for name in ('callers', 'operators', 'peers'):
        listener = getattr(cfg.listen, name)
        address = (listener.address, listener.port)
        if listener.port and address in seen:
            yield Problem(
                f'listen.{name}.port',
                f'a port other than that of listen.{seen[address]}',
                'give each listener a port of its own',
            )
        seen.setdefault(address, name)


@dataclasses.dataclass(frozen=True, slots=True)
class _Bound:
    """Limit a duration to a fraction of another, exclusive if `strict`."""

    name: str
    other: str
    fraction: float
    strict: bool = False


_BOUNDS = (
    _Bound('promise', 'lease', 1),
    _Bound('margin', 'lease', 1 / 2),
    _Bound('hold', 'lease', 1 / 2),
    _Bound('renew_interval', 'lease', 1 / 2, strict=True),
    _Bound('promise_interval', 'promise', 1 / 2, strict=True),
    _Bound('suspect_after', 'lease', 1),
    _Bound('heartbeat_interval', 'suspect_after', 1 / 2),
    _Bound('foreign_heartbeat_interval', 'foreign_suspect_after', 1 / 2),
)


@register
def check_durations(cfg: _file.SettingsFile) -> Problems:
    """Check that renewals, promises and heartbeats tolerate message loss."""
    for bound in _BOUNDS:
        value = getattr(cfg.timing, bound.name)
        limit = getattr(cfg.timing, bound.other) * bound.fraction
        if value > limit or (bound.strict and value == limit):
            relation = 'below' if bound.strict else 'at most'
            yield Problem(
                f'timing.{bound.name}',
                f'{relation} {limit:g} s, {bound.fraction:g} times'
                f' timing.{bound.other}, found {value:g}',
                f'lower it, or raise timing.{bound.other}',
            )


@register
def check_client_bytes(cfg: _file.SettingsFile) -> Problems:
    """Check that the largest request of an operator fits into its share."""
    limits = cfg.limits
    least = limits.max_body_bytes * CLIENT_BYTES_PER_BODY_BYTE
    if limits.max_client_bytes < least:
        yield Problem(
            'limits.max_client_bytes',
            f'at least {least}, {CLIENT_BYTES_PER_BODY_BYTE} times'
            f' limits.max_body_bytes, found {limits.max_client_bytes}',
            'raise it, or lower limits.max_body_bytes',
        )


@register
def check_seeds(cfg: _file.SettingsFile) -> Problems:
    """Check that the names and addresses of the seeds are unique."""
    names: set[str] = set()
    addresses: set[tuple[str, int]] = set()
    for index, seed in enumerate(cfg.seeds):
        if seed.name in names:
            yield Problem(
                f'seeds[{index}].name',
                f'a name no other seed has, found {seed.name!r} twice',
                'remove one of the two entries',
            )
        if (seed.address, seed.port) in addresses:
            yield Problem(
                f'seeds[{index}].port',
                'an address and port no other seed has',
                'correct the address or the port',
            )
        names.add(seed.name)
        addresses.add((seed.address, seed.port))


@register
def check_own_seed(cfg: _file.SettingsFile) -> Problems:
    """Check that a seed entry for this host has the zone of this host."""
    for index, seed in enumerate(cfg.seeds):
        if seed.name == cfg.host.name and seed.zone != cfg.host.zone:
            yield Problem(
                f'seeds[{index}].zone',
                f'the zone of this host, {cfg.host.zone!r}',
                'correct host.zone or the seed',
            )


@register
def check_zones(cfg: _file.SettingsFile) -> Problems:
    """Check that zones are unique and include the zone of this host."""
    names = [zone.name for zone in cfg.zones]
    for index, name in enumerate(names):
        if name in names[:index]:
            yield Problem(
                f'zones[{index}].name',
                f'a name no other zone has, found {name!r} twice',
                'remove one of the two entries',
            )
    if names and cfg.host.zone not in names:
        yield Problem(
            'zones',
            f'the zone of this host, {cfg.host.zone!r}, among them',
            'add it: all hosts of a region need the same list',
        )


@register
def check_foreign_seeds(cfg: _file.SettingsFile) -> Problems:
    """Check that the zones are listed if a seed is in another zone.

    Hosts with different lists map the same idempotency key to different home
    shards, so that a retry through another zone would run the job twice.
    """
    foreign = {seed.zone for seed in cfg.seeds} - {cfg.host.zone}
    if foreign and not cfg.zones:
        yield Problem(
            'zones',
            'all availability zones of the region, as seeds name'
            f' {", ".join(sorted(foreign))} besides {cfg.host.zone}',
            'add an entry [[zones]] for each zone of this region',
        )


@register
def check_trace_file(cfg: _file.SettingsFile) -> Problems:
    """Check that the file exporter has a file to write to."""
    to_file = cfg.observe.trace_exporter is _model.TraceExporter.FILE
    if to_file and cfg.observe.trace_file is None:
        yield Problem(
            'observe.trace_file',
            "a path when observe.trace_exporter is 'file'",
            "add the path or set trace_exporter to 'none'",
        )


@register
def check_keys(cfg: _file.SettingsFile) -> Problems:
    """Check that each list has keys, and that their ids are unique."""
    lists = {'peers': cfg.keys.peers, 'operators': cfg.keys.operators}
    for name, keys in lists.items():
        path = f'keys.{name}'
        if not keys:
            yield Problem(path, 'at least one key', f'add an entry [[{path}]]')
        seen: set[str] = set()
        for index, key in enumerate(keys):
            if key.id in seen:
                yield Problem(
                    f'{path}[{index}].id',
                    f'an id no other key has, found {key.id!r} twice',
                    'give each key an id of its own',
                )
            seen.add(key.id)


@register
def check_key_sources(cfg: _file.SettingsFile) -> Problems:
    """Check that each key has exactly one source of its secret."""
    lists = {'peers': cfg.keys.peers, 'operators': cfg.keys.operators}
    for name, keys in lists.items():
        for index, key in enumerate(keys):
            if (key.secret_file is None) == (key.secret_env is None):
                yield Problem(
                    f'keys.{name}[{index}]',
                    'either secret_file or secret_env',
                    'give exactly one source of the secret',
                )
