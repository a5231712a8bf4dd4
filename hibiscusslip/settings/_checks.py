"""Check what the types alone can't tell.

Each check is a small function that is registered by name; it gets the whole
file and yields what is wrong.
"""

import collections.abc
import dataclasses
import socket

from hibiscusslip.settings import _file
from hibiscusslip.settings import _model


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Hold what a check found: the key, what was expected, the remedy."""

    key: str
    expected: str
    remedy: str


Problems = collections.abc.Iterator[Problem]
Check = collections.abc.Callable[[_file.SettingsFile], Problems]

_checks: list[Check] = []


def register(check: Check) -> Check:
    """Add a check to those that every load runs."""
    _checks.append(check)
    return check


def run(cfg: _file.SettingsFile) -> list[Problem]:
    """Return what all registered checks find."""
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
    """Check that each address is an IP number."""
    places = {
        'listen.callers': cfg.listen.callers.address,
        'listen.operators': cfg.listen.operators.address,
        'listen.peers': cfg.listen.peers.address,
        'platform.log': cfg.platform.log.address,
        'platform.host_list': cfg.platform.host_list.address,
    }
    for index, seed in enumerate(cfg.seeds):
        places[f'seeds[{index}]'] = seed.address
    if cfg.observe.statsd is not None:
        places['observe.statsd'] = cfg.observe.statsd.address
    for key, address in places.items():
        if not _is_ip(address):
            yield Problem(
                f'{key}.address',
                f'an IP number, found {address!r}',
                'write the number the name resolves to, such as 10.1.0.4',
            )


@register
def check_listeners(cfg: _file.SettingsFile) -> Problems:
    """Check that no two listeners share an address and port."""
    seen: dict[tuple[str, int], str] = {}
    for name in ('callers', 'operators', 'peers'):
        listener = getattr(cfg.listen, name)
        place = (listener.address, listener.port)
        if listener.port and place in seen:
            yield Problem(
                f'listen.{name}.port',
                f'a port other than that of listen.{seen[place]}',
                'give each listener a port of its own',
            )
        seen.setdefault(place, name)


@dataclasses.dataclass(frozen=True, slots=True)
class _Bound:
    """Say that a duration is at most (or below) a part of another."""

    name: str
    other: str
    part: float
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
    """Check that renewals, promises and heartbeats leave room for loss."""
    for bound in _BOUNDS:
        value = getattr(cfg.timing, bound.name)
        limit = getattr(cfg.timing, bound.other) * bound.part
        if value > limit or (bound.strict and value == limit):
            word = 'below' if bound.strict else 'at most'
            yield Problem(
                f'timing.{bound.name}',
                f'{word} {limit:g} s, {bound.part:g} times'
                f' timing.{bound.other}, found {value:g}',
                f'lower it, or raise timing.{bound.other}',
            )


@register
def check_seeds(cfg: _file.SettingsFile) -> Problems:
    """Check that each seed has a name and a place of its own."""
    names: set[str] = set()
    places: set[tuple[str, int]] = set()
    for index, seed in enumerate(cfg.seeds):
        if seed.name in names:
            yield Problem(
                f'seeds[{index}].name',
                f'a name no other seed has, found {seed.name!r} twice',
                'remove one of the two entries',
            )
        if (seed.address, seed.port) in places:
            yield Problem(
                f'seeds[{index}].port',
                'an address and port no other seed has',
                'correct the address or the port',
            )
        names.add(seed.name)
        places.add((seed.address, seed.port))


@register
def check_own_seed(cfg: _file.SettingsFile) -> Problems:
    """Check that a seed for this host agrees with the host section."""
    for index, seed in enumerate(cfg.seeds):
        if seed.name == cfg.host.name and seed.zone != cfg.host.zone:
            yield Problem(
                f'seeds[{index}].zone',
                f'the zone of this host, {cfg.host.zone!r}',
                'correct host.zone or the seed',
            )


@register
def check_zones(cfg: _file.SettingsFile) -> Problems:
    """Check that the list of zones has each once, and this host's own."""
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
    """Check that zones are listed where seeds show that there are more.

    Hosts with unlike lists give the same key different homes, and a retry
    by way of another zone would run the job twice.
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
    """Check that each list has keys with ids of their own."""
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
    """Check that each key names exactly one place for its secret."""
    lists = {'peers': cfg.keys.peers, 'operators': cfg.keys.operators}
    for name, keys in lists.items():
        for index, key in enumerate(keys):
            if (key.secret_file is None) == (key.secret_env is None):
                yield Problem(
                    f'keys.{name}[{index}]',
                    'either secret_file or secret_env',
                    'name the one place that holds the secret',
                )
