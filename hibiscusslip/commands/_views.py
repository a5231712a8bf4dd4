"""Format the views of operators as text of 80 columns."""

import time

from hibiscusslip.commands import _output
from hibiscusslip.model import resources
from hibiscusslip.operator import service
from hibiscusslip.operator import views

MAX_SHARDS_SHOWN = 5


def format_status(fleet: views.FleetStatus) -> str:
    """Return the status of the fleet as text with tables."""
    parts = [_format_summary(fleet), _format_hosts(fleet.hosts)]
    if fleet.kinds:
        parts.append(_format_kinds(fleet))
    if fleet.unreachable:
        names = ', '.join(fleet.unreachable)
        parts.append(_output.truncate(f'unreachable: {names}'))
    return '\n\n'.join(parts)


def format_events(events: list[service.Event]) -> str:
    """Return events as text, each followed by a line with its reason."""
    lines = []
    for event in events:
        stamp = time.strftime('%m-%d %H:%M:%S', time.gmtime(event.at))
        lines.append(_output.truncate(f'{stamp}  {event.host}  {event.what}'))
        lines.append(_output.truncate(f'                because {event.why}'))
    return '\n'.join(lines) or 'no recent recoveries'


def format_selection(selection: service.Selection) -> str:
    """Return the number of matching jobs and a table of a sample."""
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
        for line in selection.sample
    ]
    headings = ['JOB', 'TEAM', 'KIND', 'STATE', '>TASKS', '>AGE s', 'WORKLOAD']
    parts = [f'{selection.count} jobs match']
    if rows:
        parts.append(_output.format_table(headings, rows))
    if selection.unreachable:
        parts.append(f'unreachable: {", ".join(selection.unreachable)}')
    return '\n'.join(parts)


def _format_summary(fleet: views.FleetStatus) -> str:
    if not fleet.version:
        return 'no configuration in force: jobs are not accepted'
    total = len(fleet.hosts)
    in_force = sum(
        host.config_version == fleet.version for host in fleet.hosts
    )
    return _output.truncate(
        f'configuration {fleet.version} by {fleet.author}, in force at'
        f' {in_force} of {total} hosts'
    )


def _format_hosts(hosts: list[views.HostView]) -> str:
    rows = [
        [
            host.name,
            host.zone,
            host.condition,
            host.log,
            str(host.config_version),
            str(sum(shard.queued for shard in host.shards)),
            str(sum(shard.running for shard in host.shards)),
            _format_shards(host.shards),
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
    return _output.format_table(headings, rows)


def _format_shards(shards: list[views.ShardView]) -> str:
    shown = [
        f'{shard.shard.rpartition(":")[2]}@{shard.epoch}'
        for shard in shards[:MAX_SHARDS_SHOWN]
    ]
    hidden = len(shards) - len(shown)
    return ' '.join(shown) + (f' +{hidden}' if hidden > 0 else '')


def _format_kinds(fleet: views.FleetStatus) -> str:
    rows = [
        [
            kind.kind,
            str(kind.queued),
            str(kind.running),
            f'{kind.oldest_wait:.1f}',
            _format_percent(kind.held, fleet.capacity),
            _format_percent(kind.guaranteed, fleet.capacity),
        ]
        for kind in fleet.kinds
    ]
    headings = [
        'KIND',
        '>QUEUED',
        '>RUN',
        '>OLDEST s',
        '>HELD',
        '>GUARANTEED',
    ]
    return _output.format_table(headings, rows)


def _format_percent(
    used: resources.Resources, total: resources.Resources
) -> str:
    """Return the dominant share: the largest of CPU, memory, accelerators."""
    pairs = (
        (used.cpu_milli, total.cpu_milli),
        (used.memory_mb, total.memory_mb),
        (used.accelerators, total.accelerators),
    )
    shares = [amount / limit for amount, limit in pairs if limit]
    return f'{100 * max(shares, default=0):.0f}%'
