"""Lay out operators' views in 80 columns."""

import time

from hibiscusslip.commands import _output
from hibiscusslip.model import resources
from hibiscusslip.operator import service
from hibiscusslip.operator import views

MAX_SHARDS_SHOWN = 5


def status(found: views.FleetStatus) -> str:
    """Return the whole view of the fleet."""
    parts = [_headline(found), _hosts(found.hosts)]
    if found.kinds:
        parts.append(_kinds(found))
    if found.unreachable:
        names = ', '.join(found.unreachable)
        parts.append(_output.cut(f'out of reach: {names}'))
    return '\n\n'.join(parts)


def events(found: list[service.Event]) -> str:
    """Return events, one a line with its reason below it."""
    lines = []
    for event in found:
        stamp = time.strftime('%m-%d %H:%M:%S', time.gmtime(event.at))
        lines.append(_output.cut(f'{stamp}  {event.host}  {event.what}'))
        lines.append(_output.cut(f'                because {event.why}'))
    return '\n'.join(lines) or 'nothing was repaired lately'


def selection(found: service.Selection) -> str:
    """Return how many jobs match and some of them."""
    rows = [
        [
            line.job_id,
            line.team,
            line.kind,
            line.outcome,
            str(line.tasks),
            f'{line.age:.0f}',
            line.workload,
        ]
        for line in found.sample
    ]
    headings = ['JOB', 'TEAM', 'KIND', 'STATE', '>TASKS', '>AGE s', 'WORKLOAD']
    parts = [f'{found.count} jobs match']
    if rows:
        parts.append(_output.table(headings, rows))
    if found.unreachable:
        parts.append(f'not asked: {", ".join(found.unreachable)}')
    return '\n'.join(parts)


def _headline(found: views.FleetStatus) -> str:
    if not found.version:
        return 'no configuration in force: no work is taken'
    total = len(found.hosts)
    same = sum(host.config_version == found.version for host in found.hosts)
    return _output.cut(
        f'configuration {found.version} by {found.author}, in force at'
        f' {same} of {total} hosts'
    )


def _hosts(hosts: list[views.HostView]) -> str:
    rows = [
        [
            host.name,
            host.zone,
            host.condition,
            host.log,
            str(host.config_version),
            str(sum(shard.queued for shard in host.shards)),
            str(sum(shard.running for shard in host.shards)),
            _shards(host.shards),
        ]
        for host in hosts
    ]
    headings = [
        'HOST',
        'ZONE',
        'STATE',
        'LOG',
        '>CONF',
        '>QUEUED',
        '>RUN',
        'SHARD@EPOCH',
    ]
    return _output.table(headings, rows)


def _shards(shards: list[views.ShardView]) -> str:
    shown = [
        f'{shard.shard.rpartition(":")[2]}@{shard.epoch}'
        for shard in shards[:MAX_SHARDS_SHOWN]
    ]
    more = len(shards) - len(shown)
    return ' '.join(shown) + (f' +{more}' if more > 0 else '')


def _kinds(found: views.FleetStatus) -> str:
    rows = [
        [
            kind.kind,
            str(kind.queued),
            str(kind.running),
            f'{kind.oldest_wait:.1f}',
            _percent(kind.held, found.capacity),
            _percent(kind.guaranteed, found.capacity),
        ]
        for kind in found.kinds
    ]
    headings = [
        'KIND',
        '>QUEUED',
        '>RUN',
        '>OLDEST s',
        '>HELD',
        '>GUARANTEED',
    ]
    return _output.table(headings, rows)


def _percent(part: resources.Resources, whole: resources.Resources) -> str:
    """Return the largest share of processors, memory or accelerators."""
    pairs = (
        (part.cpu_milli, whole.cpu_milli),
        (part.memory_mb, whole.memory_mb),
        (part.accelerators, whole.accelerators),
    )
    shares = [held / total for held, total in pairs if total]
    return f'{100 * max(shares, default=0):.0f}%'
