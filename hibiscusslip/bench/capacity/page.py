"""Write the tables of the page on capacity."""

import collections.abc
import dataclasses
import random

from hibiscusslip.bench.capacity import fleets
from hibiscusslip.bench.capacity import lines
from hibiscusslip.bench.capacity import parts
from hibiscusslip.bench.capacity import sizes
from hibiscusslip.bench.capacity import targets

GROWTH_REGION_HOSTS = (8, 16, 32, 64)
GROWTH_SECONDS = 60.0
MICROS_PER_PERCENT = 1e4


def _table(
    heads: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[str]],
) -> list[str]:
    out = ['| ' + ' | '.join(heads) + ' |', '|---' * len(heads) + '|']
    out += ['| ' + ' | '.join(row) + ' |' for row in rows]
    return [*out, '']


def _assumptions(shape: sizes.Shape) -> list[str]:
    rows = [
        (field.name.replace('_', ' '), f'{getattr(shape.assumed, field.name)}')
        for field in dataclasses.fields(shape.assumed)
    ]
    return ['### Assumptions', '', *_table(('assumed', 'value'), rows)]


def _slopes(slopes: parts.Slopes) -> list[str]:
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


def _line_row(line: parts.Line) -> tuple[str, ...]:
    return (
        line.role,
        line.state,
        f'{line.messages:.1f}',
        f'{line.micros / MICROS_PER_PERCENT:.3f}',
        f'{line.memory / sizes.KIB:,.0f}',
        f'{line.sent / sizes.KIB:.2f}',
        line.mechanism,
    )


def _limits(shape: sizes.Shape, whole: parts.Line) -> list[tuple[str, ...]]:
    """Return the rows that hold a host's sum against its budget."""
    target = shape.target
    limit = parts.Line(
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
        _left(whole.micros, limit.micros),
        _left(whole.memory, limit.memory),
        _left(whole.sent, limit.sent),
        '',
    )
    return [_line_row(whole), _line_row(limit), margin]


def _left(used: float, limit: float) -> str:
    share = (limit - used) / limit * 100
    return f'{share:.0f}%' if share >= 0 else f'OVER by {-share:.0f}%'


def _host(shape: sizes.Shape, slopes: parts.Slopes) -> list[str]:
    heads = (
        'role',
        'state',
        'messages/s',
        '% of a core',
        'KiB',
        'KiB/s',
        'mechanism',
    )
    found = lines.Model(shape, slopes, parts.defaults(shape)).lines()
    rows = [_line_row(line) for line in found]
    rows += _limits(shape, parts.total(found))
    return ['### One entry host, as the code is', '', *_table(heads, rows)]


def _changed(shape: sizes.Shape, slopes: parts.Slopes) -> list[str]:
    """Return the sums with the named changes, and with a host missing."""
    pace = parts.changed(shape)
    fewer = dataclasses.replace(
        shape.assumed, hosts_per_zone=shape.assumed.hosts_per_zone - 1
    )
    short = sizes.Shape(shape.target, fewer)
    cases = (
        ('as the code is', shape, parts.defaults(shape)),
        ('with the changes', shape, pace),
        ('with the changes, a host of each zone down', short, pace),
    )
    rows = []
    for name, case, case_pace in cases:
        whole = parts.total(lines.Model(case, slopes, case_pace).lines())
        rows.append(_case_row(name, case.target, whole))
    heads = ('case', '% of a core', 'MiB', 'KiB/s', 'left')
    return ['### With the changes named below', '', *_table(heads, rows)]


def _case_row(
    name: str, target: sizes.Target, whole: parts.Line
) -> tuple[str, ...]:
    left = (
        _left(whole.micros, target.core_share * 1e6),
        _left(whole.memory, target.memory_bytes),
        _left(whole.sent, target.bytes_per_second),
    )
    return (
        name,
        f'{whole.micros / MICROS_PER_PERCENT:.2f}',
        f'{whole.memory / sizes.MIB:.1f}',
        f'{whole.sent / sizes.KIB:.1f}',
        ' / '.join(left),
    )


def _figures(shape: sizes.Shape, slopes: parts.Slopes) -> list[str]:
    rows = [
        (figure.target, figure.mechanism, figure.carried)
        for figure in targets.Figures(shape, slopes).all()
    ]
    heads = ('target', 'mechanism', 'carried')
    return ['### The target, figure by figure', '', *_table(heads, rows)]


def _log(shape: sizes.Shape, slopes: parts.Slopes) -> list[str]:
    model = lines.Model(shape, slopes, parts.defaults(shape))
    found = {line.role: line for line in model.lines()}
    writer, reader = found['Log writer'], found['Log reader']
    config = found['Configuration reader']
    appends = writer.messages * shape.hosts
    serves = shape.assumed.log_appends_per_second
    kept = writer.sent * shape.hosts * shape.assumed.log_retention_seconds
    reads = (reader.sent + config.sent) * shape.hosts
    rows = [
        ('appends a second', f'{appends:.1f} of {serves:.0f}'),
        ('left of the appends', _left(appends, serves)),
        ('bytes kept by retention, MiB', f'{kept / sizes.MIB:,.0f}'),
        (
            'waiting reads at once',
            f'{2 * shape.hosts} on {shape.target.zones + 1} streams',
        ),
        ('read by all hosts, KiB/s', f'{reads / sizes.KIB:,.0f}'),
    ]
    head = '### The platform log, one for the whole fleet'
    return [head, '', *_table(('load', 'figure'), rows)]


def _growth(shape: sizes.Shape, slopes: parts.Slopes) -> list[str]:
    """Return how a host's part grows with its region, as measured."""
    rows = []
    for hosts in GROWTH_REGION_HOSTS:
        beating = fleets.Beating(hosts, shape.assumed, random.Random(1))
        rate = beating.beats_per_second(GROWTH_SECONDS)
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
    heads = (
        'hosts of the region',
        'heartbeats/s sent by a host',
        'by all of them',
        'KiB kept of other hosts and shards',
    )
    return ['### Growth with the number of hosts', '', *_table(heads, rows)]


def render(shape: sizes.Shape, slopes: parts.Slopes) -> str:
    """Return all tables as Markdown."""
    out = [
        *_host(shape, slopes),
        *_changed(shape, slopes),
        *_figures(shape, slopes),
        *_log(shape, slopes),
        *_growth(shape, slopes),
        *_assumptions(shape),
        *_slopes(slopes),
    ]
    return '\n'.join(out)
