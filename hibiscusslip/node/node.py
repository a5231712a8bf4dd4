"""Connect decision code, peers and the platform on one event loop."""

import dataclasses
import random

import curio
from loguru import logger

from hibiscusslip import codec
from hibiscusslip import configuration
from hibiscusslip.jobs import engine as jobs_engine
from hibiscusslip.jobs import index as jobs_index
from hibiscusslip.membership import members as members_
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.node import acceptor
from hibiscusslip.node import appender
from hibiscusslip.node import clock
from hibiscusslip.node import config
from hibiscusslip.node import config_feed
from hibiscusslip.node import draining
from hibiscusslip.node import fleet
from hibiscusslip.node import history
from hibiscusslip.node import home
from hibiscusslip.node import home_client
from hibiscusslip.node import local_peers
from hibiscusslip.node import membership_driver
from hibiscusslip.node import metrics_report
from hibiscusslip.node import offload_handler
from hibiscusslip.node import ownership_driver
from hibiscusslip.node import peer_handler
from hibiscusslip.node import periodic_loops
from hibiscusslip.node import remote_starts
from hibiscusslip.node import shard_events
from hibiscusslip.node import shard_runner
from hibiscusslip.node import shard_transfer
from hibiscusslip.node import sheet_reconciler
from hibiscusslip.node import supervision
from hibiscusslip.node import zone_feed
from hibiscusslip.observe import metrics
from hibiscusslip.observe import traces
from hibiscusslip.ownership import owner
from hibiscusslip.peer import base as peer_base
from hibiscusslip.peer import messages
from hibiscusslip.platform import base as platform_base
from hibiscusslip.records import zone as zone_records
from hibiscusslip.routing import choice
from hibiscusslip.routing import directory

MAX_LOAD_AGE_SECONDS = 10.0
DRAIN_POLL_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Store the node's interfaces to the outside; tests pass fakes.

    `connect_endpoint` returns the client of an endpoint. `log_retention` is
    in seconds.
    """

    log: platform_base.Log
    host_list: platform_base.HostList
    peers: peer_base.Peers
    connect_endpoint: shard_runner.EndpointFactory
    log_retention: float
    tracer: traces.Tracer = traces.NOOP_TRACER
    metrics_sender: metrics.Metrics = metrics.NoMetrics()


class Node(zone_feed.RecordHandler):
    """Run one entry host: own shards, accept requests and follow the log."""

    def __init__(
        self,
        cfg: config.NodeConfig,
        dependencies: Dependencies,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.dependencies = dependencies
        self.tracer = dependencies.tracer
        self.supervisor = supervision.Supervisor()
        self.ids = jobs_engine.record_ids(str(cfg.me))
        self.history = history.History(cfg.me.name)
        self.stop_requested = False
        self._rng = rng
        self._tasks = curio.TaskGroup()
        self._build_log()
        peers = local_peers.LocalPeers(cfg.me, dependencies.peers)
        self._build_shards(peers)
        self._build_ownership_driver()
        self._build_request_path()
        self._build_membership()
        self.handler = self._make_handler()
        peers.set_handler(self.handler)

    def _build_log(self) -> None:
        """Build the readers and writers of the zone's stream."""
        cfg, log = self.cfg, self.dependencies.log
        self._stream = zone_records.stream_of(cfg.zone)
        self.index = jobs_index.JobIndex(
            cfg.max_ended_jobs, cfg.max_ended_bytes
        )
        self.ownership = owner.Ownership(
            cfg.me,
            cfg.zone,
            cfg.shards_per_zone,
            cfg.timing,
            self._rng,
            clock.now(),
        )
        self.writer = appender.Appender(
            log, self._stream, self._handle_refused_records
        )
        self.feed = zone_feed.ZoneFeed(
            log, cfg.zone, self.ownership, self.index, self
        )

    def _build_shards(self, peers: peer_base.Peers) -> None:
        """Build the runners of owned shards and their transfers."""
        cfg = self.cfg
        self.router = choice.Router(self._rng)
        self.owners = directory.ShardDirectory(
            len(cfg.shards), self.router.reset_assigned
        )
        self.remote = remote_starts.RemoteStarts(
            cfg.me,
            self.ownership,
            peers,
            self.owners,
            self._find_owner,
            self.ids,
            cfg.hold,
        )
        context = shard_runner.Context(
            self.ownership,
            self.writer,
            self.dependencies.connect_endpoint,
            cfg.engine.worker_lease,
            cfg.engine.settle,
            self.remote,
            self.supervisor,
            self.tracer,
        )
        self.fleet = fleet.Fleet(cfg, self.index, self.ids, self._rng, context)
        self.sheet_reconciler = sheet_reconciler.SheetReconciler(cfg.shards)
        self.transfers = shard_transfer.ShardTransfers(
            self.ownership, self.fleet, self.dependencies.peers
        )
        self.fleet.set_transfer_source(self.transfers.pop_received_jobs)

    def _build_ownership_driver(self) -> None:
        """Build what carries out the decisions on ownership."""
        self.ownership_driver = ownership_driver.OwnershipDriver(
            self.ownership,
            self.dependencies.log,
            self._stream,
            self.dependencies.peers,
            shard_events.ShardEvents(self.history, self.fleet, self.transfers),
            self.index,
            self.writer,
            self.ids,
            self.cfg.me,
        )

    def _build_request_path(self) -> None:
        """Build what serves requests, of callers and of other hosts."""
        self.home = home.Home(self.fleet.runners, self.index, self.tracer)
        client = home_client.HomeClient(
            self.cfg.me.name, self.home, self.dependencies.peers
        )
        self.acceptor = acceptor.Acceptor(
            client,
            self.owners,
            self._find_owner,
            self._choose_home,
            self._rng,
        )

    def _build_membership(self) -> None:
        """Build the drivers of the membership and the configuration."""
        cfg, dependencies = self.cfg, self.dependencies
        self.config = config_feed.ConfigFeed(
            dependencies.log,
            dependencies.peers,
            dependencies.log_retention,
            self._rng,
            self.ids,
            self._apply_config,
        )
        self.members = members_.Members(
            cfg.me, cfg.zone, cfg.pacing, self._rng, clock.now()
        )
        self.membership = membership_driver.MembershipDriver(
            cfg,
            self.members,
            self.ownership,
            self.fleet,
            self.owners,
            dependencies.peers,
            self.config.handle_peer_version,
        )

    def _make_handler(self) -> peer_handler.PeerHandler:
        handler = peer_handler.PeerHandler(self.home, self.ownership)
        handler.register(messages.Heartbeat, self.membership.handle_heartbeat)
        handler.register(messages.ConfigQuery, self.config.handle_query)
        handler.register(messages.ShardTransfer, self.transfers.handle_part)
        offload_handler.OffloadHandler(
            self.fleet, self.remote
        ).register_handlers(handler)
        return handler

    async def start(self, address: str, port: int) -> None:
        """Start all loops and append a record that this host has joined.

        Other hosts reach this one at `address` and `port`.
        """
        self.membership.address = address
        self.membership.port = port
        loops = (
            self.feed.run,
            self.writer.run,
            self.ownership_driver.run,
            self.config.run,
            self.membership.run,
            *self._periodic_loops(),
        )
        for loop in loops:
            await self._tasks.spawn(self.supervisor.guard, loop)
        joined = zone_records.Joined(
            next(self.ids),
            self.cfg.me.name,
            self.cfg.me.incarnation,
            address,
            port,
        )
        await self.writer.add(joined.record_id, codec.encode(joined))

    def _periodic_loops(self) -> tuple[supervision.Loop, ...]:
        dependencies = self.dependencies
        periodic = periodic_loops.PeriodicLoops(
            dependencies.host_list,
            self.cfg.host_list_interval,
            self.membership,
            self.fleet,
            self.sheet_reconciler,
            self.remote,
        )
        report = metrics_report.MetricsReport(
            dependencies.metrics_sender,
            self.tracer,
            self.fleet,
            self.writer,
            self.acceptor,
        )
        return (
            periodic.poll_host_list,
            periodic.start_ready_shards,
            periodic.reconcile_sheet,
            periodic.poll_remote_tasks,
            report.run,
        )

    async def stop(self) -> None:
        """Stop all loops at once."""
        await self._tasks.cancel_remaining()
        await self.fleet.stop()

    async def announce_stopped(self) -> None:
        """Announce to the zone that this process has ended.

        Call it after `stop` only.
        """
        await self.membership.announce_ended()

    async def drain(self, grace: float) -> bool:
        """Transfer all shards; return False if some are left after `grace` s.

        Returns earlier if no other host of the zone can own shards; see
        draining.SuccessorWait.
        """
        started_at = clock.now()
        self.ownership.drain(started_at)
        successor_wait = draining.SuccessorWait(grace, started_at)
        while self.fleet.runners or self.fleet.pending:
            now = clock.now()
            if now >= started_at + grace:
                return False
            if not successor_wait.expects_successor(self._zone_peers(), now):
                logger.warning('no host of the zone can take the shards over')
                return False
            await curio.sleep(DRAIN_POLL_SECONDS)
        return True

    def _zone_peers(self) -> list[members_.Member]:
        """Return the other hosts of this host's zone."""
        zone = self.cfg.zone
        return [
            peer for peer in self.membership.get_peers() if peer.zone == zone
        ]

    async def drain_endpoint(self, endpoint: str) -> None:
        """Drain an endpoint, under this and all later owners of its shard.

        The drain is recorded on the log. Repeated calls have no effect.
        """
        if endpoint in self.index.drained:
            return
        record = zone_records.EndpointDrain(next(self.ids), endpoint)
        self.index.apply(record)
        self.history.note(f'drains endpoint {endpoint}', 'an operator asked')
        await self.writer.add(record.record_id, codec.encode(record))
        await self.fleet.refresh_endpoints()

    async def _apply_config(self, record: configuration.ConfigRecord) -> None:
        self.history.note(
            f'put configuration {record.version} into force',
            f'{record.author} published it',
        )
        self.sheet_reconciler.set_config(record)
        policy = configuration.to_policy(record.sheet, record.version)
        await self.fleet.set_policy(policy)

    async def _handle_refused_records(self, record_ids: list[str]) -> None:
        for runner in list(self.fleet.runners.values()):
            await runner.handle_records_refused(record_ids)

    async def on_record(
        self, record: zone_records.ZoneRecord, valid: bool
    ) -> None:
        """Process a record read back from the zone's stream."""
        self.writer.mark_confirmed(record.record_id)
        if isinstance(record, zone_records.Joined):
            host = places.HostId(record.host, record.incarnation)
            self.membership.handle_joined(host, record.address, record.port)
        if isinstance(record, zone_feed.JOB_RECORDS):
            runner = self.fleet.runners.get(record.shard)
            if runner is not None:
                await runner.handle_record_read(record.record_id, valid)

    async def on_caught_up(self) -> None:
        """Retry appends and run due ownership actions after a catch-up."""
        self.writer.mark_log_writable()
        await self.ownership_driver.tick()

    def _find_owner(self, shard: places.Shard) -> str | None:
        """Return the host that owns a shard, None if no owner is known."""
        if shard.zone == self.cfg.zone:
            runner = self.fleet.runners.get(shard.number)
            if runner is not None and runner.may_act(clock.now()):
                return self.cfg.me.name
        known = self.owners.owner(shard)
        return None if known is None else known.host

    def _choose_home(
        self, spec: work.JobSpec, tried: frozenset[places.Shard]
    ) -> places.Shard | None:
        """Choose a home for a request without a key, by recent loads."""
        recent_owners = self.owners.recent_owners(
            clock.now(), MAX_LOAD_AGE_SECONDS
        )
        loads = [
            owner_.load
            for owner_ in recent_owners
            if places.Shard(owner_.load.zone, owner_.load.number) not in tried
        ]
        return self.router.choose(spec, loads)
