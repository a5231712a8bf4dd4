"""Assemble a host and run it until it is asked to stop."""

import dataclasses
import os
import signal
import types

import curio

from hibiscusslip.dispatch import model
from hibiscusslip.host import advice_routing
from hibiscusslip.host import claims
from hibiscusslip.host import client_limits
from hibiscusslip.host import config_exchange
from hibiscusslip.host import context
from hibiscusslip.host import crash_logging
from hibiscusslip.host import feeds
from hibiscusslip.host import front
from hibiscusslip.host import inbox
from hibiscusslip.host import notices
from hibiscusslip.host import owner
from hibiscusslip.host import peer_client
from hibiscusslip.host import peer_handler
from hibiscusslip.host import reloading
from hibiscusslip.host import store_share
from hibiscusslip.host import topics
from hibiscusslip.http import limits as http_limits
from hibiscusslip.http import server
from hibiscusslip.model import places
from hibiscusslip.peer import hello
from hibiscusslip.peer import limits as peer_limits
from hibiscusslip.peer import links
from hibiscusslip.peer import server as peer_server
from hibiscusslip.platform import advice
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

CLAIM_POLL_S = 0.05
ANNOUNCE_TIMEOUT_S = 0.8
LOG_FLUSH_PERIOD_S = 0.1
SIGNAL_POLL_S = 0.05
ANNOUNCE_PERIOD_S = 0.5
MAX_HANDOVER_WAIT_S = 2.2
UNREADY_BEFORE_DRAIN_S = 2.6
DRAIN_TIMEOUT_S = 2.0
KEY_ID = 'cell'
METRICS_PORT = 9102
MAX_PROBE_BODY_BYTES = 4096
_HTTP_LIMITS = http_limits.Limits(
    idle_timeout=30.0,
    read_timeout=4.0,
    write_timeout=4.0,
    max_connections=1500,
    max_refusals=client_limits.REFUSALS,
)
_PROBE_LIMITS = dataclasses.replace(
    _HTTP_LIMITS,
    max_connections=client_limits.PROBE_CONNECTIONS,
    max_body_bytes=MAX_PROBE_BODY_BYTES,
    max_refusals=0,
)
_PEER_LIMITS = peer_limits.Limits(
    connect_timeout=0.5,
    hello_timeout=0.7,
    tcp_user_timeout=1.5,
    min_backoff=0.05,
    max_backoff=0.5,
    max_unauthenticated=client_limits.UNAUTHENTICATED_LINKS,
)


class _SignalFlags:
    """Flags for received signals; the handler does nothing else."""

    def __init__(self) -> None:
        self.stop = False
        self.reload = False
        signal.signal(signal.SIGTERM, self._set_flag)
        signal.signal(signal.SIGINT, self._set_flag)
        signal.signal(signal.SIGHUP, self._set_flag)

    def _set_flag(self, number: int, frame: types.FrameType | None) -> None:
        if number == signal.SIGHUP:
            self.reload = True
        else:
            self.stop = True


class Host(front.JobStateSource):
    """Run the servers, the feeds and, while it owns the cell, the owner."""

    def __init__(self, ctx: context.Context, secret: bytes, path: str) -> None:
        self._ctx = ctx
        cfg = ctx.cfg
        self._reloader = reloading.Reloader(ctx, path)
        me = places.HostId(cfg.name, ctx.incarnation)
        info = hello.HelloInfo(cfg.zone, '', 1)
        keys = hello.Keys({KEY_ID: secret})
        peers = links.PeerLinks(me, info, keys, _PEER_LIMITS)
        service = advice.AdviceClient(cfg.advice) if cfg.advice else None
        self._peer_client = peer_client.PeerClient(ctx, peers)
        self._advice_router = advice_routing.AdviceRouter(ctx, service, peers)
        self._inbox = inbox.Inbox(ctx, self._peer_client)
        self._owner: owner.Owner | None = None
        self._config_feed = feeds.ConfigFeed(ctx)
        self._configs = config_exchange.ConfigExchange(
            ctx, self._config_feed, self._peer_client
        )
        message_handler = peer_handler.PeerHandler(
            ctx,
            self._inbox,
            self._advice_router,
            self._configs,
            lambda: self._owner,
        )
        self._peers = peer_server.PeerServer(
            me, info, keys, _PEER_LIMITS, message_handler
        )
        limits = client_limits.derive(cfg)
        self._front = server.Server(
            front.FrontHandler(ctx, self, self._inbox, limits),
            _HTTP_LIMITS,
            client_limits.CallersIntake(ctx, limits),
        )
        self._ready = server.Server(
            front.ReadinessHandler(ctx),
            _PROBE_LIMITS,
            client_limits.ListenerIntake(ctx, limits.probes_bytes, 'ready'),
        )
        self._metrics = server.Server(
            front.MetricsHandler(ctx),
            _PROBE_LIMITS,
            client_limits.ListenerIntake(ctx, limits.probes_bytes, 'metrics'),
        )

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully."""
        cfg = self._ctx.cfg
        await self._ready.listen(cfg.ready.ip, cfg.ready.port)
        await self._front.listen(cfg.front.ip, cfg.front.port)
        await self._peers.listen(cfg.front.ip, cfg.ports[0])
        await self._metrics.listen(cfg.front.ip, METRICS_PORT)
        self._ctx.log.note('host_started', zone=cfg.zone, pid=os.getpid())
        async with curio.TaskGroup(wait=any) as group:
            for loop in (
                self._ready.serve,
                self._metrics.serve,
                self._front.serve,
                self._peers.serve,
                self._config_feed.run,
                *self._optional_loops(),
                feeds.HostFeed(self._ctx).run,
                feeds.OwnerFeed(self._ctx).run,
                self._inbox.run,
                self._announce,
                self._run_ownership,
                self._flush,
                self._reloader.run,
                self._await_stop,
            ):
                await group.spawn(crash_logging.run_loop, self._ctx, loop)
        self._ctx.log.note('host_stopped', asked=self._ctx.stopping)
        self._ctx.log.flush()

    def _optional_loops(self) -> list[crash_logging.Loop]:
        """Return the loops of what the deployment asks for."""
        return [self._configs.run] if self._ctx.cfg.has_organisations else []

    async def _flush(self) -> None:
        while True:
            await curio.sleep(LOG_FLUSH_PERIOD_S)
            self._ctx.log.flush()

    async def _await_stop(self) -> None:
        flags = _SignalFlags()
        while not flags.stop:
            await curio.sleep(SIGNAL_POLL_S)
            if flags.reload:
                flags.reload = False
                self._reloader.request_reload()
        await self._stop()

    async def _stop(self) -> None:
        """Fail readiness probes, release the ownership, then drain."""
        ctx = self._ctx
        started = context.monotonic()
        ctx.leaving = True
        ctx.log.note('host_stopping', owner=self._owner is not None)
        await self._await_recoverable(started)
        ctx.stopping = True
        if self._owner is not None:
            await self._owner.release_ownership()
        await self._write_record(b'')
        left = started + UNREADY_BEFORE_DRAIN_S - context.monotonic()
        await curio.sleep(max(left, 0.0))
        interrupted = await self._front.drain(DRAIN_TIMEOUT_S)
        if interrupted:
            ctx.log.note('requests_cut', count=interrupted)

    async def _await_recoverable(self, started: float) -> None:
        """Delay the release while a successor couldn't read all partitions.

        It needs all of them, so it would place nothing until they are back.
        The delay is bounded by MAX_HANDOVER_WAIT_S.
        """
        give_up_at = started + MAX_HANDOVER_WAIT_S
        now = started
        while self._owner is not None and now < give_up_at:
            if self._owner.successor_can_recover(now):
                return
            await curio.sleep(SIGNAL_POLL_S)
            now = context.monotonic()

    async def _announce(self) -> None:
        """Publish this host's address whenever it isn't listed.

        The owner drops hosts that it can't reach; one that still reaches the
        store announces itself again, so that peers find it.
        """
        cfg = self._ctx.cfg
        record = notices.HostRecord(
            cfg.name,
            self._ctx.incarnation,
            cfg.zone,
            cfg.front.ip,
            cfg.ports[0],
            self._ctx.ownership.strength,
            cfg.max_descriptors,
        )
        while True:
            listed = self._ctx.hosts.get(cfg.name)
            if listed != record and not self._ctx.stopping:
                await self._write_record(notices.encode(record))
            await curio.sleep(
                ANNOUNCE_PERIOD_S
                + store_share.hosts_read_pause(len(self._ctx.hosts))
            )

    async def _write_record(self, value: bytes) -> None:
        entry = store.encode_keyed(self._ctx.cfg.name, value)
        try:
            await self._ctx.store.append(
                topics.HOSTS, [entry], ANNOUNCE_TIMEOUT_S
            )
        except exceptions.PlatformError as exc:
            self._ctx.log.note('announce_failed', error=str(exc)[:120])

    async def _run_ownership(self) -> None:
        """Claim the ownership when it is vacant; run the owner while held."""
        ctx = self._ctx
        while True:
            now = context.monotonic()
            if ctx.ownership.held_epoch and not ctx.stopping:
                await self._run_owner(ctx.ownership.held_epoch)
            elif not ctx.leaving and ctx.ownership.may_claim(now):
                if not await claims.claim(ctx, now):
                    await curio.sleep(self._claim_pause())
            await curio.sleep(CLAIM_POLL_S)

    def _claim_pause(self) -> float:
        ctx = self._ctx
        return store_share.claim_pause(
            ctx.store_slowdown, ctx.ownership.tie_break
        )

    async def _run_owner(self, epoch: int) -> None:
        ctx = self._ctx
        self._owner = owner.Owner(
            ctx,
            self._advice_router,
            self._peer_client,
            epoch,
            self._peer_client,
        )
        try:
            await self._owner.run()
        except exceptions.ProducerFenced:
            ctx.log.note('owner_fenced', epoch=epoch)
        except Exception as exc:
            crash_logging.log_crash(ctx, 'owner', exc)
        finally:
            ctx.ownership.lose()
            self._owner = None
            ctx.log.note('owner_lost', epoch=epoch)

    async def query_job_state(
        self, job_id: str, organisation: str
    ) -> model.JobState | None:
        """Return a job's state from the local or a remote owner."""
        local_owner = self._owner
        if local_owner is not None and local_owner.ready:
            return await _query_local_owner(local_owner, job_id, organisation)
        notice = self._ctx.ownership.owner
        if notice is None or notice.host == self._ctx.cfg.name:
            raise front.OwnerUnavailable('no owner is known; try again')
        return await self._peer_client.query_job_state(
            notice, job_id, organisation
        )

    async def may_know_job(self, job_id: str) -> bool:
        """Return False if the owner says that it hasn't read the job."""
        local_owner = self._owner
        if local_owner is not None and local_owner.ready:
            return local_owner.may_know_job(job_id)
        notice = self._ctx.ownership.owner
        if notice is None or notice.host == self._ctx.cfg.name:
            return True
        return await self._peer_client.may_know_job(notice, job_id)


async def _query_local_owner(
    local_owner: owner.Owner, job_id: str, organisation: str
) -> model.JobState | None:
    try:
        return await local_owner.query_job_state(job_id, organisation)
    except exceptions.PlatformError as exc:
        raise front.OwnerUnavailable(str(exc)) from exc
