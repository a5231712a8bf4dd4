"""Render the settings file of an entry host."""

import dataclasses
import pathlib

SECRET_NAME = 'shared.key'
KEY_ID = 'k1'
SECRET = '0123456789abcdef0123456789abcdef'


@dataclasses.dataclass(frozen=True)
class EntryPlan:
    """Store the values for the settings of one entry host."""

    name: str
    zone: str
    callers_port: int
    operators_port: int
    peers_port: int
    log_port: int
    hosts_port: int
    region: str = 'test'
    zones: tuple[str, ...] = ()
    shards_per_zone: int = 4
    timing: dict[str, float] = dataclasses.field(default_factory=dict)
    limits: dict[str, float] = dataclasses.field(default_factory=dict)
    seeds: tuple[tuple[str, str, int], ...] = ()


def render(plan: EntryPlan, secret_file: pathlib.Path) -> str:
    """Return the TOML text for an entry host."""
    lines = [
        '[host]',
        f'name = "{plan.name}"',
        f'region = "{plan.region}"',
        f'zone = "{plan.zone}"',
        f'shards_per_zone = {plan.shards_per_zone}',
        '[listen]',
        f'callers = {_render_address(plan.callers_port)}',
        f'operators = {_render_address(plan.operators_port)}',
        f'peers = {_render_address(plan.peers_port)}',
        '[platform]',
        f'log = {_render_address(plan.log_port)}',
        f'host_list = {_render_address(plan.hosts_port)}',
        'host_list_interval = 0.5',
        '[timing]',
        *(f'{name} = {value}' for name, value in plan.timing.items()),
        '[limits]',
        *(f'{name} = {value}' for name, value in plan.limits.items()),
    ]
    zone_names = {zone for _, zone, _ in plan.seeds}.union(plan.zones)
    for zone in sorted(zone_names):
        lines += ['[[zones]]', f'name = "{zone}"']
    for name, zone, port in plan.seeds:
        lines += [
            '[[seeds]]',
            f'name = "{name}"',
            f'zone = "{zone}"',
            'address = "127.0.0.1"',
            f'port = {port}',
        ]
    for kind in ('peers', 'operators'):
        lines += [f'[[keys.{kind}]]', f'id = "{KEY_ID}"']
        lines.append(f'secret_file = "{secret_file}"')
    return '\n'.join(lines) + '\n'


def _render_address(port: int) -> str:
    return f'{{ address = "127.0.0.1", port = {port} }}'
