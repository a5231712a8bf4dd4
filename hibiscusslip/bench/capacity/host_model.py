"""Estimate the costs of one host at the target size."""

import collections.abc

from hibiscusslip.bench.capacity import costs
from hibiscusslip.bench.capacity import defaults
from hibiscusslip.bench.capacity import sizes
from hibiscusslip.node import config_feed
from hibiscusslip.node import endpoint_driver
from hibiscusslip.node import membership_driver
from hibiscusslip.node import ownership_driver
from hibiscusslip.node import periodic_loops
from hibiscusslip.node import shard_runner
from hibiscusslip.node import zone_feed

RENEWALS_PER_LEASE = 4
# A measured call covers both ends; a host bears the cost of one.
ENDS_PER_CALL = 2


class HostModel:
    """Multiply slopes by rates, with one method for each role."""

    def __init__(
        self, shape: sizes.Shape, slopes: costs.Slopes, design: costs.Design
    ) -> None:
        self._shape = shape
        self._slopes = slopes
        self._design = design

    def lines(self) -> list[costs.CostLine]:
        """Return the costs of all roles of one host."""
        estimates: list[collections.abc.Callable[[], costs.CostLine]] = [
            self._process,
            self._acceptor,
            self._members,
            self._ownership,
            self._shards,
            self._starts,
            self._renewals,
            self._job_home,
            self._configuration,
            self._zone_feed,
            self._writer,
            self._host_list,
        ]
        return [estimate() for estimate in estimates]

    def _http_bytes(self, body: float) -> float:
        packets = 2 * self._shape.assumed.packet_bytes
        return self._slopes.wire.http_pair + packets + body

    def _process(self) -> costs.CostLine:
        loops = (
            1 / membership_driver.TICK_SECONDS
            + 1 / periodic_loops.READY_POLL_SECONDS
        )
        loops += 1 / ownership_driver.TICK_SECONDS
        return costs.CostLine(
            'Process',
            'interpreter, libraries, code',
            'one loop on one thread; lean start',
            micros=loops * self._slopes.time.wakeup,
            memory=self._slopes.idle_bytes,
        )

    def _acceptor(self) -> costs.CostLine:
        shape, slopes = self._shape, self._slopes
        jobs = shape.jobs_per_host
        wire = slopes.wire
        return costs.CostLine(
            'Acceptor',
            f'{shape.hosts_in_region * shape.shards_per_host:.0f} shards of'
            ' the region with owner and load',
            'hash or load picks a home; one call to it',
            messages=2 * jobs,
            micros=jobs * (slopes.time.http_call + slopes.time.peer_call),
            memory=slopes.memory.known_shard
            * shape.hosts_in_region
            * shape.shards_per_host,
            sent=jobs
            * (self._http_bytes(2 * wire.start_order) + 2 * wire.small_call),
        )

    def heartbeats(self) -> float:
        """Return the heartbeats per second that a host sends or receives."""
        zone_peers = self._shape.assumed.hosts_per_zone - 1
        hosts_of_other_zones = self._shape.hosts_in_region - 1 - zone_peers
        foreign = min(
            defaults.node_config().pacing.foreign_fanout, hosts_of_other_zones
        )
        sent = zone_peers / self._design.heartbeat
        sent += foreign / self._design.foreign_heartbeat
        return 2 * sent

    def _members(self) -> costs.CostLine:
        shape, slopes = self._shape, self._slopes
        wire = slopes.wire
        heartbeats = self.heartbeats()
        size = wire.heartbeat + wire.heartbeat_load * shape.shards_per_host
        size += wire.known_host * self._design.known_hosts_per_message
        codec = slopes.time.heartbeat * size / self._measured_heartbeat_bytes()
        cost = (slopes.time.peer_call + codec) / ENDS_PER_CALL
        ticks = slopes.time.members_tick / membership_driver.TICK_SECONDS
        return costs.CostLine(
            'Member of its region',
            f'{shape.hosts_in_region} entry hosts',
            'heartbeats to all hosts of the zone and a fixed number beyond',
            messages=heartbeats,
            micros=heartbeats * cost + ticks,
            memory=slopes.memory.known_host * shape.hosts_in_region,
            sent=2 * heartbeats * (size + shape.assumed.packet_bytes),
        )

    def _measured_heartbeat_bytes(self) -> float:
        wire = self._slopes.wire
        size = (
            wire.heartbeat
            + wire.known_host
            * defaults.node_config().pacing.known_hosts_per_message
        )
        return size + wire.heartbeat_load * self._shape.shards_per_host

    def _ownership(self) -> costs.CostLine:
        ticks = 1 / ownership_driver.TICK_SECONDS
        return costs.CostLine(
            'Shard owner: leases',
            f'{self._shape.assumed.shards_per_zone} shards of its zone',
            'one renewal record for all shards of a host',
            micros=ticks * self._slopes.time.ownership_tick,
        )

    def _shards(self) -> costs.CostLine:
        shape, slopes = self._shape, self._slopes
        ticks = shape.shards_per_host / shard_runner.TICK_SECONDS
        workers = shape.workers_per_host
        bytes_per_worker = slopes.memory.endpoint + slopes.memory.driver
        return costs.CostLine(
            'Shard owner: workers',
            f'{workers:.0f} workers in {shape.shards_per_host:.0f} shards',
            'only the owner books a worker, in memory',
            micros=ticks * (slopes.time.shard_tick + slopes.time.wakeup),
            memory=workers * bytes_per_worker,
        )

    def _starts(self) -> costs.CostLine:
        shape, slopes = self._shape, self._slopes
        starts, wire = shape.starts_per_host, slopes.wire
        calls = slopes.time.http_call / ENDS_PER_CALL * 2
        body = wire.start_order + wire.ended_run
        return costs.CostLine(
            'Shard owner: starts and ends',
            f'{shape.running_per_host:.0f} running tasks',
            'one order and one event for a task; batched when they come'
            ' together',
            messages=2 * starts,
            micros=starts * (slopes.time.start + slopes.time.start_codec)
            + starts * calls,
            memory=shape.running_per_host * slopes.memory.running_task,
            sent=starts * (self._http_bytes(0) * 2 + body),
        )

    def _renewals(self) -> costs.CostLine:
        shape, slopes = self._shape, self._slopes
        lease = defaults.node_config().engine.worker_lease
        renewals = shape.workers_per_host * RENEWALS_PER_LEASE / lease
        polls = shape.workers_per_host / endpoint_driver.EVENTS_WAIT_SECONDS
        tasks = shape.running_per_host / shape.workers_per_host
        body = slopes.wire.renew_call + tasks * slopes.wire.renew_task
        calls = renewals + polls
        return costs.CostLine(
            'Shard owner: task leases',
            'none beyond the tasks',
            'one renewal for all tasks of a worker; long polls for events',
            messages=calls,
            micros=calls * slopes.time.http_call / ENDS_PER_CALL,
            sent=calls * self._http_bytes(0) + renewals * body,
        )

    def _job_home(self) -> costs.CostLine:
        shape, slopes = self._shape, self._slopes
        queued = shape.running_per_host * shape.assumed.queued_per_running
        return costs.CostLine(
            'Job home',
            f'{queued:.0f} queued and {shape.kept_tasks:.0f} ended tasks',
            'bounded queues; ended jobs kept for an hour, by count and size',
            memory=queued * slopes.memory.queued_task
            + shape.kept_tasks * slopes.memory.ended_task,
        )

    def _configuration(self) -> costs.CostLine:
        shape, slopes = self._shape, self._slopes
        rate = shape.target.changes_per_day / sizes.SECONDS_PER_DAY
        polls = 1 / config_feed.READ_WAIT_SECONDS
        return costs.CostLine(
            'Configuration reader',
            f'{shape.target.teams} teams, one version',
            'each host follows one stream; neighbours pass versions on',
            messages=polls + rate,
            micros=rate * slopes.time.config_change
            + polls * slopes.time.http_call / ENDS_PER_CALL,
            memory=shape.target.teams * slopes.memory.team
            + slopes.wire.config_read,
            sent=polls * self._http_bytes(0) + rate * slopes.wire.config_read,
        )

    def renewal_rate(self) -> float:
        """Return the lease renewal records per second of one host."""
        return 1 / defaults.node_config().timing.renew_interval

    def _zone_feed(self) -> costs.CostLine:
        shape, slopes = self._shape, self._slopes
        hosts = shape.assumed.hosts_per_zone
        renewals = hosts * self.renewal_rate()
        records = shape.records_per_zone
        polls = max(1 / zone_feed.READ_WAIT_SECONDS, renewals)
        kept = shape.kept_tasks / shape.assumed.tasks_per_job * hosts
        micros = (renewals + records) * slopes.time.zone_record
        return costs.CostLine(
            'Log reader',
            f'{kept * shape.assumed.recorded_share:.0f} recorded jobs of the'
            ' zone',
            'one stream for each zone; nobody reads another zone',
            messages=polls,
            micros=micros + polls * slopes.time.http_call / ENDS_PER_CALL,
            memory=kept
            * shape.assumed.recorded_share
            * slopes.memory.recorded_job,
            sent=polls * self._http_bytes(0)
            + renewals * slopes.wire.renewal_read
            + records / 3 * slopes.wire.job_read,
        )

    def _writer(self) -> costs.CostLine:
        shape, slopes = self._shape, self._slopes
        jobs = shape.records_per_zone / 3 / shape.assumed.hosts_per_zone
        appends = self.renewal_rate() + 3 * jobs
        return costs.CostLine(
            'Log writer',
            'records until they are read back',
            'group commit, one append in flight',
            messages=appends,
            micros=appends * slopes.time.http_call / ENDS_PER_CALL,
            sent=appends * self._http_bytes(0)
            + self.renewal_rate() * slopes.wire.renewal_append
            + jobs * slopes.wire.job_append,
        )

    def _host_list(self) -> costs.CostLine:
        slopes, design = self._slopes, self._design
        polls, entries = 1 / design.list_interval, design.listed_workers
        read = design.lists_sent * entries
        return costs.CostLine(
            'Host list reader',
            f'{entries:.0f} workers while it is read',
            'a hint that may lag; leases decide',
            messages=polls,
            micros=read * slopes.time.host_entry
            + polls * slopes.time.http_call / ENDS_PER_CALL,
            memory=entries * slopes.memory.host_entry,
            sent=polls * self._http_bytes(0) + read * slopes.wire.host_entry,
        )
