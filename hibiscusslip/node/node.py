"""Wire decisions, peers and the platform together on one loop."""

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
from hibiscusslip.node import fleet
from hibiscusslip.node import hand_over
from hibiscusslip.node import history
from hibiscusslip.node import home
from hibiscusslip.node import home_client
from hibiscusslip.node import local_peers
from hibiscusslip.node import membership_driver
from hibiscusslip.node import offload_handler
from hibiscusslip.node import ownership_driver
from hibiscusslip.node import peer_handler
from hibiscusslip.node import remote_starts
from hibiscusslip.node import shard_runner
from hibiscusslip.node import sheet_reconciler
from hibiscusslip.node import supervision
from hibiscusslip.node import zone_feed
from hibiscusslip.observe import metrics
from hibiscusslip.observe import traces
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import owner
from hibiscusslip.peer import base as peer_base
from hibiscusslip.peer import messages
from hibiscusslip.platform import base as platform_base
from hibiscusslip.platform import exceptions as platform_exceptions
from hibiscusslip.records import zone as zone_records
from hibiscusslip.routing import choice
from hibiscusslip.routing import directory

MAX_LOAD_AGE_SECONDS = 10.0
READY_POLL_SECONDS = 0.1
STANDING_INTERVAL_SECONDS = 0.5
REPORT_INTERVAL_SECONDS = 10.0
GIVE_AWAY_PAUSE_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """Hold the ways out of the node; tests put fakes here."""

    log: platform_base.Log
    host_list: platform_base.HostList
    peers: peer_base.Peers
    connect: shard_runner.EndpointFactory
    retention: float
    tracer: traces.Tracer = traces.NOOP_TRACER
    sender: metrics.Metrics = metrics.NoMetrics()


class Node(zone_feed.Seen, ownership_driver.ShardEvents):
    """Be one entry host of the system."""

    def __init__(
        self, cfg: config.NodeConfig, parts: Dependencies, rng: random.Random
    ) -> None:
        self.cfg = cfg
        self.parts = parts
        self.tracer = parts.tracer
        self.supervisor = supervision.Supervisor()
        self.ids = jobs_engine.record_ids(str(cfg.me))
        self.history = history.History(cfg.me.name)
        self.stop_asked = False
        self._rng = rng
        self._tasks = curio.TaskGroup()
        self._build_log()
        peers = local_peers.SelfPeers(cfg.me, parts.peers)
        self._build_shards(peers)
        self._build_door()
        self._build_neighbours()
        self.handler = self._make_handler()
        peers.plug(self.handler)

    def _build_log(self) -> None:
        """Build what follows and writes the zone's stream."""
        cfg, log = self.cfg, self.parts.log
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
        self.writer = appender.Appender(log, self._stream, self._refused)
        self.feed = zone_feed.ZoneFeed(
            log, cfg.zone, self.ownership, self.index, self
        )
        self.driver = ownership_driver.OwnershipDriver(
            self.ownership,
            log,
            self._stream,
            self.parts.peers,
            self,
            self.index,
            self.writer,
            self.ids,
            cfg.me,
        )

    def _build_shards(self, peers: peer_base.Peers) -> None:
        """Build what runs the owned shards."""
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
            self.parts.connect,
            cfg.engine.worker_lease,
            cfg.engine.settle,
            self.remote,
            self.supervisor,
            self.tracer,
        )
        self.fleet = fleet.Fleet(cfg, self.index, self.ids, self._rng, context)
        self.standing = sheet_reconciler.StandingKeeper(cfg.shards)
        self.hand_overs = hand_over.HandOvers(
            self.ownership, self.fleet, self.parts.peers
        )
        self.fleet.set_arrived(self.hand_overs.arrived)

    def _build_door(self) -> None:
        """Build what takes requests, from callers and other hosts."""
        self.home = home.Home(self.fleet.runners, self.index, self.tracer)
        calls = home_client.HomeCalls(
            self.cfg.me.name, self.home, self.parts.peers
        )
        self.acceptor = acceptor.Acceptor(
            calls,
            self.owners,
            self._find_owner,
            self._choose_home,
            self._rng,
        )

    def _build_neighbours(self) -> None:
        """Build what keeps in touch with other hosts."""
        cfg, parts = self.cfg, self.parts
        self.config = config_feed.ConfigFeed(
            parts.log,
            parts.peers,
            parts.retention,
            self._rng,
            self.ids,
            self._in_force,
        )
        self.members = members_.Members(
            cfg.me, cfg.zone, cfg.pacing, self._rng, clock.now()
        )
        self.neighbours = membership_driver.MembershipDriver(
            cfg,
            self.members,
            self.ownership,
            self.fleet,
            self.owners,
            parts.peers,
            self.config.heard_version,
        )

    def _make_handler(self) -> peer_handler.PeerHandler:
        handler = peer_handler.PeerHandler(self.home, self.ownership)
        handler.add(messages.Heartbeat, self.neighbours.answer)
        handler.add(messages.ConfigQuery, self.config.answer)
        handler.add(messages.ShardTransfer, self.hand_overs.take_part)
        offload_handler.GuestHandler(self.fleet, self.remote).serve(handler)
        return handler

    async def start(self, address: str, port: int) -> None:
        """Start all loops; other hosts reach this one at the address."""
        self.neighbours.address = address
        self.neighbours.port = port
        loops = (
            self.feed.run,
            self.writer.run,
            self.driver.run,
            self.config.run,
            self.neighbours.run,
            self._follow_host_list,
            self._start_ready_shards,
            self._keep_standing,
            self._ask_after_remote,
            self._report,
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

    async def stop(self) -> None:
        """Stop all loops at once."""
        await self._tasks.cancel_remaining()
        await self.fleet.stop()

    async def say_goodbye(self) -> None:
        """Tell the zone, after `stop`, that this process has ended."""
        await self.neighbours.say_ended()

    async def drain(self, grace: float) -> bool:
        """Hand all shards over; False when some are left after `grace` s.

        Without another host in the zone nothing is waited for.
        """
        self.ownership.drain(clock.now())
        due = clock.now() + grace
        while self.fleet.runners or self.fleet.waiting:
            if clock.now() >= due or not self._successors():
                return False
            await curio.sleep(GIVE_AWAY_PAUSE_SECONDS)
        return True

    def _successors(self) -> bool:
        """Tell whether another host of the zone may take shards."""
        return any(
            member.zone == self.cfg.zone
            and member.alive
            and not member.draining
            for member in self.neighbours.others()
        )

    async def drain_endpoint(self, endpoint: str) -> None:
        """Give an endpoint no new work, whoever owns it later."""
        if endpoint in self.index.drained:
            return
        record = zone_records.EndpointDrain(next(self.ids), endpoint)
        self.index.apply(record)
        self.history.note(f'drains endpoint {endpoint}', 'an operator asked')
        await self.writer.add(record.record_id, codec.encode(record))
        await self.fleet.refresh()

    async def _follow_host_list(self) -> None:
        while True:
            try:
                listing = await self.parts.host_list.fetch()
            except platform_exceptions.PlatformError as exc:
                logger.debug('no host list: {}', exc)
            else:
                self.neighbours.take_listing(listing)
                await self.fleet.set_endpoints(listing.endpoints)
            await curio.sleep(self.cfg.host_list_interval)

    async def _start_ready_shards(self) -> None:
        while True:
            await self.fleet.start_ready()
            await curio.sleep(READY_POLL_SECONDS)

    async def _keep_standing(self) -> None:
        while True:
            for runner in list(self.fleet.runners.values()):
                await self.standing.keep(runner)
            await curio.sleep(STANDING_INTERVAL_SECONDS)

    async def _ask_after_remote(self) -> None:
        while True:
            for runner in list(self.fleet.runners.values()):
                await self.remote.ask(runner)
            await curio.sleep(remote_starts.ASK_INTERVAL_SECONDS)

    async def _report(self) -> None:
        sender = self.parts.sender
        reporter = metrics.CounterReporter(sender)
        while True:
            await curio.sleep(REPORT_INTERVAL_SECONDS)
            runners = list(self.fleet.runners.values())
            reporter.report('jobs', [r.engine.counters for r in runners])
            sender.gauge('shards', len(runners))
            sender.gauge('log.appends', self.writer.appends)
            sender.gauge('log.records', self.writer.records)
            sender.gauge('acceptor.retries', self.acceptor.retries)
            sender.gauge('config.version', self.fleet.policy_version)
            sender.flush()
            self.tracer.flush()

    async def _in_force(self, record: configuration.ConfigRecord) -> None:
        self.history.note(
            f'put configuration {record.version} into force',
            f'{record.author} published it',
        )
        self.standing.set_record(record)
        policy = configuration.to_policy(record.sheet, record.version)
        await self.fleet.set_policy(policy)

    async def _refused(self, record_ids: list[str]) -> None:
        for runner in list(self.fleet.runners.values()):
            await runner.records_refused(record_ids)

    async def record_seen(
        self, record: zone_records.ZoneRecord, valid: bool
    ) -> None:
        """Take a record of the zone's stream and whether it counts."""
        self.writer.read_back(record.record_id)
        if isinstance(record, zone_records.Joined):
            host = places.HostId(record.host, record.incarnation)
            self.neighbours.joined(host, record.address, record.port)
        if isinstance(record, zone_feed.JOB_RECORDS):
            runner = self.fleet.runners.get(record.shard)
            if runner is not None:
                await runner.record_seen(record.record_id, valid)

    async def caught_up(self) -> None:
        """Take that the stream was read to its end."""
        self.writer.note_readable()
        await self.driver.tick()

    async def took_over(self, action: actions.ShardAcquired) -> None:
        """Start to act for a shard once its waits are over."""
        why = 'it was free, or its owner fell silent'
        if action.by_transfer:
            why = 'its owner handed it over'
        self.history.note(f'took shard {action.shard} over', why)
        await self.fleet.take(action.shard, action.epoch)

    async def lost(self, action: actions.ShardLost) -> None:
        """Stop to act for a shard."""
        self.history.note(
            f'let shard {action.shard} go', 'the log names a newer owner'
        )
        await self.fleet.drop(action.shard)

    async def resumed(self, action: actions.LeaseResumed) -> None:
        """Proceed as after a take-over: others may have acted since."""
        self.history.note(
            f'went on with shard {action.shard}',
            'its lease had lapsed, and all hosts of the zone agreed',
        )
        await self.fleet.take(action.shard, action.epoch)

    async def better_elsewhere(self, action: actions.SuggestTransfer) -> None:
        """Hand a shard over in a planned way."""
        await curio.spawn(
            self.hand_overs.give, action.shard, action.successor, daemon=True
        )

    async def hand_over_failed(self, action: actions.TransferFailed) -> None:
        """Act on for a shard whose hand-over had no effect."""
        runner = self.fleet.runners.get(action.shard)
        if runner is not None:
            runner.frozen = False
            await runner.changed()

    def _find_owner(self, shard: places.Shard) -> str | None:
        """Return the host that owns a shard, as far as is known here."""
        if shard.zone == self.cfg.zone:
            runner = self.fleet.runners.get(shard.number)
            if runner is not None and runner.may_act(clock.now()):
                return self.cfg.me.name
        known = self.owners.owner(shard)
        return None if known is None else known.host

    def _choose_home(
        self, spec: work.JobSpec, tried: frozenset[places.Shard]
    ) -> places.Shard | None:
        """Choose a home for a request without a key."""
        recent_owners = self.owners.recent_owners(
            clock.now(), MAX_LOAD_AGE_SECONDS
        )
        loads = [
            owner_.load
            for owner_ in recent_owners
            if places.Shard(owner_.load.zone, owner_.load.number) not in tried
        ]
        return self.router.choose(spec, loads)
