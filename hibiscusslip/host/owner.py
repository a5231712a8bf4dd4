"""Own the cell: take jobs, place them and see them through."""

import dataclasses

import curio

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import summary
from hibiscusslip.host import advising
from hibiscusslip.host import cell_feeds
from hibiscusslip.host import context
from hibiscusslip.host import endpoint_session
from hibiscusslip.host import guarding
from hibiscusslip.host import holding
from hibiscusslip.host import notices
from hibiscusslip.host import recovery
from hibiscusslip.host import signals
from hibiscusslip.host import topics
from hibiscusslip.host import writer
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

LEASE_S = 5.9
PLAN_IDLE_S = 0.1
PLAN_GAP_S = 0.01
DROP_TIMEOUT_S = 1.2
RECOVERY_PAUSE_S = 0.1
FORGET_PERIOD_S = 5.0
LOAD_PERIOD_S = 1.0
STOP_FLUSH_S = 0.5
MOST_EARLY_CANCELS = 10_000


class Owner:
    """Hold one epoch of the ownership from its claim to its end."""

    def __init__(
        self,
        ctx: context.Context,
        advisers: advising.Advisers,
        successors: holding.Successors,
        epoch: int,
    ) -> None:
        self.ctx = ctx
        self.epoch = epoch
        self.engine = engines.Engine(LEASE_S, ctx.log.note)
        self.changed = signals.Wake()
        self.ready = False
        self._advisers = advisers
        self._writer = writer.Writer(ctx, self.engine, epoch, self._release)
        self._watchers: dict[str, endpoint_session.EndpointSession] = {}
        self._holder = holding.Holder(
            ctx,
            successors,
            epoch,
            lambda: self.engine.pending() if self.ready else None,
            self.hand_over,
        )
        self._inboxes: list[cell_feeds.InboxFeed] = []
        self._tasks = curio.TaskGroup(wait=any)
        self._orphans: list[str] = []
        self._early_cancels: dict[str, bool] = {}

    async def run(self) -> None:
        """Own until the ownership is lost or the task is cancelled."""
        try:
            await self._run()
        finally:
            self.ready = False
            await self._tasks.cancel_remaining()

    async def _run(self) -> None:
        started = context.steady()
        await self._tasks.spawn(guarding.guard, self.ctx, self._holder.beat)
        recovered = await self._recover()
        self._writer.found(recovered.parts)
        self.ready = True
        self.ctx.metrics.count('successions')
        self.ctx.log.note(
            'owner_ready',
            epoch=self.epoch,
            ms=int((context.steady() - started) * 1000),
        )
        self._inboxes = [
            cell_feeds.InboxFeed(self, part, offset)
            for part, offset in enumerate(recovered.inbox)
        ]
        endpoints = cell_feeds.EndpointFeed(self, recovered.endpoints)
        self._orphans = recovered.orphans
        for loop in (
            self._writer.run,
            *(feed.run for feed in self._inboxes),
            endpoints.run,
            self._plan,
            self._forget,
            self._tell_load,
            self._holder.call_roll,
        ):
            await self._tasks.spawn(guarding.guard, self.ctx, loop)
        for name in list(self.engine.endpoints):
            await self.watch(name)
        while self.ctx.ownership.held == self.epoch:
            await curio.sleep(PLAN_IDLE_S)

    async def _recover(self) -> recovery.Recovered:
        while True:
            try:
                await self._writer.fence()
                self.engine.config = self.ctx.config
                return await recovery.recover(self.ctx, self.engine)
            except exceptions.ProducerFenced:
                self.ctx.ownership.lose()
                raise
            except exceptions.PlatformError as exc:
                self.ctx.log.note('recovery_retried', error=str(exc)[:120])
                await curio.sleep(RECOVERY_PAUSE_S)
                self.engine = engines.Engine(LEASE_S, self.ctx.log.note)
                self._writer = writer.Writer(
                    self.ctx, self.engine, self.epoch, self._release
                )

    def take_inbox(self, key: str, value: bytes) -> None:
        """Take an accepted job or a cancel."""
        now = context.steady()
        if not value or not key:
            return
        if key.startswith(topics.CANCEL_PREFIX):
            ident = key[len(topics.CANCEL_PREFIX) :]
            known = self.engine.cancel(ident, now)
            if not known:
                self._cancel_later(ident)
            self.ctx.log.note('cancel_taken', job=ident, known=known)
            return
        if key in self.engine.jobs:
            return
        wall = context.wall()
        recovery.submit(self.ctx, self.engine, key, value, now, wall)
        self.ctx.log.note('job_taken', job=key)
        if self._early_cancels.pop(key, False):
            self.engine.cancel(key, now)

    def _cancel_later(self, ident: str) -> None:
        """Remember a cancel whose job is still to come.

        They may be in different partitions, which are read one by one.
        """
        self._early_cancels[ident] = True
        if len(self._early_cancels) > MOST_EARLY_CANCELS:
            del self._early_cancels[next(iter(self._early_cancels))]

    async def query_job_state(self, ident: str) -> model.JobState | None:
        """Return a job's state, None when it surely doesn't exist.

        Raises PlatformError when the inbox can't be read to its end.
        """
        job = self.engine.jobs.get(ident)
        for feed in self._inboxes:
            if job is not None:
                break
            await feed.read_once(0.0)
            job = self.engine.jobs.get(ident)
        return recovery.shown_state(job) if job else None

    async def watch(self, name: str) -> None:
        """Look at an endpoint from now on."""
        endpoint = self.engine.endpoints.get(name)
        if endpoint is None or endpoint.entry is None:
            return
        address = endpoint.entry.address
        known = self._watchers.get(name)
        if known is not None and known.address == address:
            return
        watcher = endpoint_session.EndpointSession(
            self.ctx,
            self.engine,
            name,
            address,
            self.epoch,
            self.changed,
            self._writer.wake,
        )
        self._watchers[name] = watcher
        await self._tasks.spawn(self._watch, watcher)

    async def _watch(self, watcher: endpoint_session.EndpointSession) -> None:
        try:
            await guarding.guard(self.ctx, watcher.run)
        finally:
            if self._watchers.get(watcher.name) is watcher:
                del self._watchers[watcher.name]
        while True:  # the group ends with its first task
            await curio.sleep(3600)

    async def _plan(self) -> None:
        while True:
            await self.changed.wait(PLAN_IDLE_S)
            now = context.steady()
            self.engine.config = self.ctx.config
            self.engine.advisers = max(len(self.ctx.hosts), 1)
            if not self.ctx.stopping:
                self.engine.plan(now, context.wall())
            await self._carry_out()
            self.ctx.metrics.time('plan', context.steady() - now)
            await curio.sleep(PLAN_GAP_S)

    async def _carry_out(self) -> None:
        engine = self.engine
        if engine.dirty or engine.starts:
            await self._writer.wake.set()
        stops, engine.stops = engine.stops, []
        for stop in stops:
            watcher = self._watchers.get(stop.endpoint)
            if watcher is not None:
                await curio.spawn(watcher.stop, stop, daemon=True)
        paces, engine.paces = engine.paces, []
        for pace in paces:
            watcher = self._watchers.get(pace.endpoint)
            if watcher is not None:
                await curio.spawn(watcher.pace, pace, daemon=True)
        advice_requests, engine.advice_requests = engine.advice_requests, []
        for ask in advice_requests:
            await curio.spawn(self._ask, ask, daemon=True)

    async def _ask(self, ask: commands.AdviceRequest) -> None:
        asked_at = context.steady()
        told = await self._advisers.ask(ask)
        now = context.steady()
        self.ctx.metrics.time('advice', now - asked_at)
        if told is None:
            self.engine.advised(ask, None, 0.0, now)
        else:
            tickets, valid, since = told
            self.engine.advised(ask, tickets, since + valid, now)
            self.ctx.log.note(
                'advised',
                step=ask.step.name,
                asked=len(ask.endpoints),
                eligible=len(tickets),
                took_ms=int((now - asked_at) * 1000),
            )
        await self.changed.set()

    async def _release(self, starts: list[commands.Start]) -> None:
        """Send starts whose records are written."""
        for start in starts:
            watcher = self._watchers.get(start.endpoint)
            if watcher is None:
                now = context.steady()
                self.engine.not_started(start, 'endpoint gone', now)
            else:
                await curio.spawn(watcher.start, start, daemon=True)

    async def _tell_load(self) -> None:
        while True:
            await curio.sleep(LOAD_PERIOD_S)
            for load in summary.summarise(self.engine, context.steady()):
                self.ctx.log.note('cell_load', **dataclasses.asdict(load))

    async def _forget(self) -> None:
        while True:
            await curio.sleep(FORGET_PERIOD_S)
            kept = self.ctx.cfg.bounds.status_kept
            before = context.steady() - kept * 1.5
            old = self.engine.forget_ended_before(before)
            old += self._orphans
            self._orphans = []
            if old:
                await self._drop(old)

    async def _drop(self, idents: list[str]) -> None:
        names = [store.keyed(ident) for ident in idents]
        names += [
            store.keyed(f'{topics.CANCEL_PREFIX}{ident}') for ident in idents
        ]
        try:
            for part in range(len(self._inboxes)):
                await self.ctx.store.append(
                    topics.INBOX, names, DROP_TIMEOUT_S, part=part
                )
            await self._writer.forget(idents)
        except exceptions.PlatformError as exc:
            self.ctx.log.note('forgetting_failed', error=str(exc)[:120])
            self._orphans = idents

    def can_be_followed(self, now: float) -> bool:
        """Tell whether a new owner could read all that it needs.

        A store that is away for all lets nobody follow either, but then a
        release can't be written, and waiting helps nobody.
        """
        if not self.ctx.store_ok(now):
            return True
        feeds = any(feed.failing for feed in self._inboxes)
        return not feeds and self._writer.served(now)

    async def hand_over(self) -> None:
        """Give the ownership up, with all leases at their longest."""
        for watcher in self._watchers.values():
            await watcher.wake.set()
        await self._writer.flush(STOP_FLUSH_S)
        try:
            await self._holder.notify(notices.RELEASE)
        except exceptions.PlatformError as exc:
            self.ctx.log.note('release_failed', error=str(exc)[:120])
        self.ctx.ownership.lose()
        self.ctx.log.note('owner_released', epoch=self.epoch)
