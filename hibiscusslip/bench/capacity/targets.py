"""Estimate for each figure of the target how it is met."""

import dataclasses

from hibiscusslip.bench.capacity import costs
from hibiscusslip.bench.capacity import defaults
from hibiscusslip.bench.capacity import host_model
from hibiscusslip.bench.capacity import sizes
from hibiscusslip.node import config_feed
from hibiscusslip.node import ownership_driver
from hibiscusslip.node import shard_runner

MICROS_PER_PERCENT = 1e4


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """Represent a figure of the target, its mechanism and the estimate."""

    target: str
    mechanism: str
    result: str


def _percent(micros: float) -> str:
    return f'{micros / MICROS_PER_PERCENT:.2f}% of a core'


class TargetFigures:
    """Estimate the figures of the target, with one method for each."""

    def __init__(self, shape: sizes.Shape, slopes: costs.Slopes) -> None:
        self._shape = shape
        self._slopes = slopes
        self._model = host_model.HostModel(
            shape, slopes, costs.current_design(shape)
        )
        self._lines = {line.role: line for line in self._model.lines()}

    def all(self) -> list[Figure]:
        """Return all figures in the order of the target."""
        return [
            self._workers(),
            self._jobs(),
            self._starts(),
            self._running(),
            self._services(),
            self._teams(),
            self._urgent(),
            self._zones(),
            self._changes(),
            self._in_force(),
            self._failures(),
            self._replacements(),
            self._rack(),
            self._zone_lost(),
            self._region_lost(),
        ]

    def _workers(self) -> Figure:
        shape = self._shape
        line = self._lines['Shard owner: workers']
        return Figure(
            f'{shape.target.workers:,} workers',
            'shards of a zone, each owned by one of its hosts',
            f'{shape.workers_per_host:.0f} workers for a host,'
            f' {_percent(line.micros)}, {line.memory / sizes.KIB:.0f} KiB',
        )

    def _jobs(self) -> Figure:
        target, assumed = self._shape.target, self._shape.assumed
        rate = target.jobs_per_day / sizes.SECONDS_PER_DAY
        line = self._lines['Job home']
        return Figure(
            f'{target.jobs_per_day:,} jobs a day',
            'each job lives in one shard and moves with it',
            f'{rate:.2f} jobs/s in the fleet, each {assumed.tasks_per_job}'
            f' tasks by assumption; {line.memory / sizes.KIB:.0f} KiB for'
            ' queued and ended tasks',
        )

    def _starts(self) -> Figure:
        shape, slopes = self._shape, self._slopes
        line = self._lines['Shard owner: starts and ends']
        each = line.micros / shape.starts_per_host
        return Figure(
            f'{shape.target.starts_per_second:.0f} task starts a second',
            'decided in memory by the owner; no record for repeatable work',
            f'{shape.starts_per_host:.1f} a second for a host at'
            f' {each:.0f} us each, {slopes.time.start:.0f} of them to'
            f' decide: {_percent(line.micros)}',
        )

    def _running(self) -> Figure:
        shape = self._shape
        line = self._lines['Shard owner: task leases']
        return Figure(
            f'{shape.target.running_tasks:,} tasks running',
            'one renewal for all tasks of a worker',
            f'{shape.running_per_host:.0f} for a host;'
            f' {line.messages:.1f} calls/s, {_percent(line.micros)},'
            f' {line.sent / sizes.KIB:.1f} KiB/s',
        )

    def _services(self) -> Figure:
        shape = self._shape
        count = shape.running_per_host * shape.target.service_share
        return Figure(
            'a fifth of them long-running services',
            'as other tasks; started again with backoff',
            f'{count:.0f} for a host, counted above',
        )

    def _teams(self) -> Figure:
        shape, slopes = self._shape, self._slopes
        used = shape.target.teams * slopes.memory.team
        return Figure(
            f'{shape.target.teams} teams with quotas',
            'part of the configuration, in memory on every host',
            f'{used / sizes.KIB:.0f} KiB and'
            f' {slopes.wire.config_team:.0f} bytes of the record for a team',
        )

    def _urgent(self) -> Figure:
        timing, cfg = (
            defaults.node_config().timing,
            defaults.node_config().engine,
        )
        tick = shard_runner.TICK_SECONDS
        failover = timing.lease_wait + timing.safe_wait(timing.settle)
        limit = self._shape.target.urgent_wait_seconds
        verdict = 'within' if failover < limit else 'OVER'
        return Figure(
            f'urgent work starts within {limit} s',
            'queues by urgency, decided on every event and tick',
            f'decided within {tick} s while a shard has its owner; after an'
            f' owner dies its queue waits {failover:.1f} s (lease, drift,'
            f' margin, settling; from the settings, not measured): {verdict};'
            f' with a silent worker {failover + cfg.lease_wait:.1f} s. New'
            ' requests go to other shards at once',
        )

    def _zones(self) -> Figure:
        target = self._shape.target
        line = self._lines['Member of its region']
        return Figure(
            f'{target.regions} regions with {target.zones} zones',
            'one stream for a zone; heartbeats within a region only',
            f'{line.messages:.0f} heartbeats/s for a host sent or answered;'
            ' see the growth below',
        )

    def _changes(self) -> Figure:
        target, slopes = self._shape.target, self._slopes
        rate = target.changes_per_day / sizes.SECONDS_PER_DAY
        return Figure(
            f'{target.changes_per_day:,} changes of configuration a day',
            'a whole version in one record, read once by each host',
            f'{rate * slopes.wire.config_read / sizes.KIB:.1f} KiB/s and'
            f' {_percent(rate * slopes.time.config_change)} for a host',
        )

    def _in_force(self) -> Figure:
        pacing = defaults.node_config().pacing
        direct = config_feed.READ_WAIT_SECONDS
        relayed = pacing.foreign_heartbeat + pacing.heartbeat
        apply_seconds = self._slopes.time.config_change / 1e6
        return Figure(
            f'in force everywhere within {self._shape.target.in_force_seconds}'
            ' s',
            'a waiting read of the stream; else neighbours tell the version',
            f'at most {direct + apply_seconds:.2f} s from the log,'
            f' {relayed:.1f} s through a zone that has it and a neighbour'
            ' (intervals of the code, and the measured time to apply)',
        )

    def _entry_host_share(self) -> float:
        hosts = self._shape.hosts
        return hosts / (hosts + self._shape.target.workers)

    def _failures(self) -> Figure:
        shape = self._shape
        entry_hosts = shape.target.failures_per_day * self._entry_host_share()
        tasks_per_worker = shape.running_per_host / shape.workers_per_host
        return Figure(
            f'{shape.target.failures_per_day} hosts fail a day',
            'claims by the other hosts of the zone; leases end lost runs',
            f'{entry_hosts:.1f} entry hosts a day by their number,'
            f' {shape.shards_per_host:.0f} shards each; a worker loses'
            f' {tasks_per_worker:.1f} tasks',
        )

    def _replacements(self) -> Figure:
        shape = self._shape
        entry_hosts = (
            shape.target.replacements_per_day * self._entry_host_share()
        )
        transfers = entry_hosts * shape.shards_per_host
        return Figure(
            f'{shape.target.replacements_per_day} restarted or replaced a day',
            'planned hand-over, one transfer record for each shard',
            f'{entry_hosts:.0f} entry hosts a day,'
            f' {2 * transfers:.0f} shards handed there and back',
        )

    def _rack(self) -> Figure:
        return Figure(
            'a rack or switch every month or two',
            'as several workers at once; services are spread over racks',
            'its tasks queue again in the same shards; no message beyond'
            ' those of the workers',
        )

    def _zone_lost(self) -> Figure:
        shape = self._shape
        zones = shape.assumed.zones_per_region
        load_factor = zones / (zones - 1)
        acceptor = self._lines['Acceptor']
        return Figure(
            'a zone every other month',
            'no other zone may own its shards; requests go elsewhere',
            f'{load_factor:.2f} times the requests for the other hosts of the'
            f' largest region: {_percent(acceptor.micros * load_factor)}',
        )

    def _region_lost(self) -> Figure:
        zone_peers = self._shape.assumed.hosts_per_zone - 1
        promises_per_s = (
            zone_peers / defaults.node_config().timing.promise_interval
        )
        micros = (
            2
            * promises_per_s
            * self._slopes.time.peer_call
            / host_model.ENDS_PER_CALL
        )
        tick = ownership_driver.TICK_SECONDS
        return Figure(
            'regions lose each other for an hour',
            'hosts of two regions never talk; without the log a zone goes on'
            ' by promises',
            f'{2 * promises_per_s:.0f} promises/s for a host asked or given,'
            f' {_percent(micros)}; looked after every {tick} s',
        )
