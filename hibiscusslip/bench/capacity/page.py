"""Render the tables of docs/CAPACITY.md."""

import collections.abc
import dataclasses
import random

from hibiscusslip.bench.capacity import costs
from hibiscusslip.bench.capacity import host_model
from hibiscusslip.bench.capacity import simulation
from hibiscusslip.bench.capacity import sizes
from hibiscusslip.bench.capacity import targets

GROWTH_REGION_HOSTS = (8, 16, 32, 64)
GROWTH_SECONDS = 60.0
MICROS_PER_PERCENT = 1e4


def _table(
    headers: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[str]],
) -> list[str]:
    out = ['| ' + ' | '.join(headers) + ' |', '|---' * len(headers) + '|']
    out += ['| ' + ' | '.join(row) + ' |' for row in rows]
    return [*out, '']


def _assumptions(shape: sizes.Shape) -> list[str]:
    rows = [
        (field.name.replace('_', ' '), f'{getattr(shape.assumed, field.name)}')
        for field in dataclasses.fields(shape.assumed)
    ]
    return ['### Assumptions', '', *_table(('assumed', 'value'), rows)]


def _slopes(slopes: costs.Slopes) -> list[str]:
    out = ['### Slopes', '']
    groups = (
        ('bytes on the wire', slopes.wire),
        ('microseconds of processor time', slopes.time),
        ('bytes of memory', slopes.memory),
    )
    for unit, group in groups:
        rows = [
            (
                field.name.replace('_', ' '),
                f'{getattr(group, field.name):,.1f}',
            )
            for field in dataclasses.fields(group)
        ]
        out += _table(('slope', unit), rows)
    return out


def _line_row(line: costs.CostLine) -> tuple[str, ...]:
    return (
        line.role,
        line.state,
        f'{line.messages:.1f}',
        f'{line.micros / MICROS_PER_PERCENT:.3f}',
        f'{line.memory / sizes.KIB:,.0f}',
        f'{line.sent / sizes.KIB:.2f}',
        line.mechanism,
    )


def _budget_rows(
    shape: sizes.Shape, total: costs.CostLine
) -> list[tuple[str, ...]]:
    """Return the rows that compare the total of a host with its budget."""
    target = shape.target
    limit = costs.CostLine(
        'Budget',
        '',
        '',
        micros=target.core_share * 1e6,
        memory=target.memory_bytes,
        sent=target.bytes_per_second,
    )
    margin = (
        'Left',
        '',
        '',
        _margin(total.micros, limit.micros),
        _margin(total.memory, limit.memory),
        _margin(total.sent, limit.sent),
        '',
    )
    return [_line_row(total), _line_row(limit), margin]


def _margin(used: float, limit: float) -> str:
    share = (limit - used) / limit * 100
    return f'{share:.0f}%' if share >= 0 else f'OVER by {-share:.0f}%'


def _host(shape: sizes.Shape, slopes: costs.Slopes) -> list[str]:
    headers = (
        'role',
        'state',
        'messages/s',
        '% of a core',
        'KiB',
        'KiB/s',
        'mechanism',
    )
    lines = host_model.HostModel(
        shape, slopes, costs.current_design(shape)
    ).lines()
    rows = [_line_row(line) for line in lines]
    rows += _budget_rows(shape, costs.total(lines))
    return ['### One entry host, as the code is', '', *_table(headers, rows)]


def _design_cases(shape: sizes.Shape, slopes: costs.Slopes) -> list[str]:
    """Return the totals by design, and with a host of each zone down."""
    design = costs.changed_design(shape)
    one_host_down = dataclasses.replace(
        shape.assumed, hosts_per_zone=shape.assumed.hosts_per_zone - 1
    )
    degraded = sizes.Shape(shape.target, one_host_down)
    cases = (
        ('as the code is', shape, costs.current_design(shape)),
        ('with the changes', shape, design),
        ('with the changes, a host of each zone down', degraded, design),
    )
    rows = []
    for name, case, case_design in cases:
        total = costs.total(
            host_model.HostModel(case, slopes, case_design).lines()
        )
        rows.append(_case_row(name, case.target, total))
    headers = ('case', '% of a core', 'MiB', 'KiB/s', 'left')
    return ['### With the changes named below', '', *_table(headers, rows)]


def _case_row(
    name: str, target: sizes.Target, total: costs.CostLine
) -> tuple[str, ...]:
    margins = (
        _margin(total.micros, target.core_share * 1e6),
        _margin(total.memory, target.memory_bytes),
        _margin(total.sent, target.bytes_per_second),
    )
    return (
        name,
        f'{total.micros / MICROS_PER_PERCENT:.2f}',
        f'{total.memory / sizes.MIB:.1f}',
        f'{total.sent / sizes.KIB:.1f}',
        ' / '.join(margins),
    )


def _figures(shape: sizes.Shape, slopes: costs.Slopes) -> list[str]:
    rows = [
        (figure.target, figure.mechanism, figure.result)
        for figure in targets.TargetFigures(shape, slopes).all()
    ]
    headers = ('target', 'mechanism', 'carried')
    return ['### The target, figure by figure', '', *_table(headers, rows)]


def _log(shape: sizes.Shape, slopes: costs.Slopes) -> list[str]:
    model = host_model.HostModel(shape, slopes, costs.current_design(shape))
    lines = {line.role: line for line in model.lines()}
    writer, reader = lines['Log writer'], lines['Log reader']
    config = lines['Configuration reader']
    appends = writer.messages * shape.hosts
    log_capacity = shape.assumed.log_appends_per_second
    kept = writer.sent * shape.hosts * shape.assumed.log_retention_seconds
    reads = (reader.sent + config.sent) * shape.hosts
    rows = [
        ('appends a second', f'{appends:.1f} of {log_capacity:.0f}'),
        ('left of the appends', _margin(appends, log_capacity)),
        ('bytes kept by retention, MiB', f'{kept / sizes.MIB:,.0f}'),
        (
            'waiting reads at once',
            f'{2 * shape.hosts} on {shape.target.zones + 1} streams',
        ),
        ('read by all hosts, KiB/s', f'{reads / sizes.KIB:,.0f}'),
    ]
    title = '### The platform log, one for the whole fleet'
    return [title, '', *_table(('load', 'figure'), rows)]


def _growth(shape: sizes.Shape, slopes: costs.Slopes) -> list[str]:
    """Return the costs of a host by the size of its region, as measured."""
    rows = []
    for hosts in GROWTH_REGION_HOSTS:
        heartbeats = simulation.HeartbeatSimulation(
            hosts, shape.assumed, random.Random(1)
        )
        rate = heartbeats.heartbeats_per_second(GROWTH_SECONDS)
        known = slopes.memory.known_host * hosts
        shards = slopes.memory.known_shard * hosts * shape.shards_per_host
        rows.append(
            (
                f'{hosts}',
                f'{rate:.1f}',
                f'{rate * hosts:.0f}',
                f'{(known + shards) / sizes.KIB:.0f}',
            )
        )
    headers = (
        'hosts of the region',
        'heartbeats/s sent by a host',
        'by all of them',
        'KiB kept of other hosts and shards',
    )
    return ['### Growth with the number of hosts', '', *_table(headers, rows)]


def render(shape: sizes.Shape, slopes: costs.Slopes) -> str:
    """Return all tables as Markdown."""
    out = [
        *_host(shape, slopes),
        *_design_cases(shape, slopes),
        *_figures(shape, slopes),
        *_log(shape, slopes),
        *_growth(shape, slopes),
        *_assumptions(shape),
        *_slopes(slopes),
    ]
    return '\n'.join(out)
