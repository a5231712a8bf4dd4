"""Own the cell: take jobs, place them and see them through."""

import abc
import dataclasses

import curio

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import summary
from hibiscusslip.host import advising
from hibiscusslip.host import context
from hibiscusslip.host import guarding
from hibiscusslip.host import notices
from hibiscusslip.host import ownership
from hibiscusslip.host import recovery
from hibiscusslip.host import signals
from hibiscusslip.host import tailing
from hibiscusslip.host import topics
from hibiscusslip.host import watching
from hibiscusslip.host import writer
from hibiscusslip.platform import documents
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

LEASE_S = 5.9
PLAN_IDLE_S = 0.1
PLAN_GAP_S = 0.01
BEAT_TIMEOUT_S = 1.2
RECOVERY_PAUSE_S = 0.1
FORGET_PERIOD_S = 5.0
LOAD_PERIOD_S = 1.0
STOP_FLUSH_S = 0.5
ROLL_CALL_S = 2.0
MOST_MISSED = 4
MOST_EARLY_CANCELS = 10_000
TIMES_ALONE = 2
ALONE_BEAT_S = 0.2  # until it is known whether the owner alone is turned away


class InboxFeed(tailing.Tail):
    """Follow accepted jobs and cancels."""

    topic = topics.INBOX
    wait = 1.0

    def __init__(self, owner: 'Owner', part: int, offset: int) -> None:
        super().__init__(owner.ctx)
        self._owner = owner
        self.part = part
        self.offset = offset

    async def load(self) -> int:
        """Read all again, after the history was dropped."""
        newest = await self.ctx.store.newest(
            self.topic, recovery.READ_TIMEOUT_S, self.part
        )
        for key, value in newest.values.items():
            self._owner.take_inbox(key, value)
        return newest.end

    async def take(self, offset: int, record: bytes) -> None:
        """Take one record."""
        key, value = store.split_keyed(record)
        self._owner.take_inbox(key, value)
        await self._owner.changed.set()


class EndpointFeed(tailing.Tail):
    """Follow what endpoints say of themselves."""

    topic = store.WORKERS_TOPIC
    wait = 0.0
    pause = 0.25

    def __init__(self, owner: 'Owner', offset: int) -> None:
        super().__init__(owner.ctx)
        self._owner = owner
        self.offset = offset

    async def load(self) -> int:
        """Read the newest report of each endpoint."""
        newest = await self.ctx.store.newest(
            self.topic, recovery.READ_TIMEOUT_S
        )
        for name in list(self._owner.engine.endpoints):
            if not newest.values.get(name):
                self._owner.engine.unlist_endpoint(name, context.steady())
        for name, value in newest.values.items():
            await self._take(name, value)
        return newest.end

    async def take(self, offset: int, record: bytes) -> None:
        """Take one report, or its removal."""
        await self._take(*store.split_keyed(record))

    async def _take(self, name: str, value: bytes) -> None:
        now = context.steady()
        engine = self._owner.engine
        entry = documents.read_entry(name, value) if value else None
        if entry is None:
            engine.unlist_endpoint(name, now)
            return
        engine.list_endpoint(entry, now)
        await self._owner.watch(name)


@dataclasses.dataclass(frozen=True, slots=True)
class RollCall:
    """Hold which hosts gave no answer, and which the store serves."""

    silent: list[str]
    served: list[str]


class Successors(abc.ABC):
    """Reach the hosts that may own the cell next."""

    @abc.abstractmethod
    async def release(self, notice: bytes, hosts: list[str]) -> bool:
        """Have one of some hosts write a release; tell whether one did."""

    @abc.abstractmethod
    async def served(self) -> list[str]:
        """Return a few hosts that say that the store serves them."""

    @abc.abstractmethod
    async def roll_call(self) -> RollCall:
        """Ask all other hosts whether the store serves them."""


class Owner:
    """Hold one epoch of the ownership from its claim to its end."""

    def __init__(
        self,
        ctx: context.Context,
        advisers: advising.Advisers,
        successors: Successors,
        epoch: int,
    ) -> None:
        self.ctx = ctx
        self.epoch = epoch
        self.engine = engines.Engine(LEASE_S, ctx.log.note)
        self.changed = signals.Wake()
        self.ready = False
        self._advisers = advisers
        self._successors = successors
        self._writer = writer.Writer(ctx, self.engine, epoch, self._release)
        self._watchers: dict[str, watching.Watcher] = {}
        self._inboxes: list[InboxFeed] = []
        self._tasks = curio.TaskGroup(wait=any)
        self._orphans: list[str] = []
        self._early_cancels: dict[str, bool] = {}
        self._alone = 0

    async def run(self) -> None:
        """Own until the ownership is lost or the task is cancelled."""
        try:
            await self._run()
        finally:
            self.ready = False
            await self._tasks.cancel_remaining()

    async def _run(self) -> None:
        started = context.steady()
        await self._tasks.spawn(guarding.guard, self.ctx, self._beat)
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
            InboxFeed(self, part, offset)
            for part, offset in enumerate(recovered.inbox)
        ]
        endpoints = EndpointFeed(self, recovered.endpoints)
        self._orphans = recovered.orphans
        for loop in (
            self._writer.run,
            *(feed.run for feed in self._inboxes),
            endpoints.run,
            self._plan,
            self._forget,
            self._tell_load,
            self._call_roll,
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

    async def state_of(self, ident: str) -> model.JobState | None:
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
        watcher = watching.Watcher(
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

    async def _watch(self, watcher: watching.Watcher) -> None:
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
        asks, engine.asks = engine.asks, []
        for ask in asks:
            await curio.spawn(self._ask, ask, daemon=True)

    async def _ask(self, ask: commands.Ask) -> None:
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

    async def _beat(self) -> None:
        while self.ctx.ownership.held == self.epoch:
            sent = context.steady()
            beat = await curio.spawn(self._beat_once, sent, daemon=True)
            async with curio.ignore_after(ownership.BEAT_S):
                await beat.wait()  # the next doesn't wait for a late answer
            gap = ALONE_BEAT_S if self._alone else ownership.BEAT_S
            left = sent + gap - context.steady()
            await curio.sleep(max(left, 0.05))

    async def _beat_once(self, sent: float) -> None:
        try:
            await self._notify(notices.BEAT)
        except exceptions.PlatformError as exc:
            self.ctx.store_fails(str(exc))
            self.ctx.log.note('beat_failed', error=str(exc)[:120])
            await self._release_if_alone()
            return
        self.ctx.ownership.confirm(sent)
        self.ctx.store_answers(context.steady())
        self._alone = 0

    async def _release_if_alone(self) -> None:
        """Have another host end this ownership if the store serves it.

        Nothing can be started without the store, so an owner that alone is
        turned away is best followed soon. Others may be served a moment
        earlier when the store is back, so that is seen twice before.
        """
        if self.ctx.store_ok(context.steady()):
            return
        served = await self._successors.served()
        self._alone = self._alone + 1 if served else 0
        held = self.ctx.ownership.held == self.epoch
        if self._alone < TIMES_ALONE or not held:
            return
        notice = notices.encode(self._notice(notices.RELEASE))
        if await self._successors.release(notice, served):
            self.ctx.log.note('owner_released', epoch=self.epoch)
            self.ctx.ownership.lose()

    async def _call_roll(self) -> None:
        """Drop hosts that are silent for long; make way for a stronger one."""
        missed: dict[str, int] = {}
        while True:
            await curio.sleep(ROLL_CALL_S)
            called = await self._successors.roll_call()
            missed = {name: missed.get(name, 0) + 1 for name in called.silent}
            dead = [n for n, times in missed.items() if times >= MOST_MISSED]
            if not self.ctx.store_ok(context.steady()):
                continue
            if dead:
                await self._drop_hosts(dead)
            await self._yield_to_stronger(called.served)

    async def _yield_to_stronger(self, served: list[str]) -> None:
        """Hand over if a much stronger host is reached by the store.

        A weak host may have claimed while all strong ones were away; under
        full load it falls behind and tickets end before its starts are sent.
        """
        hosts = self.ctx.hosts
        strengths = [hosts[n].strength for n in served if n in hosts]
        strongest = max(strengths, default=0.0)
        if self.ctx.ownership.should_yield(strongest):
            self.ctx.log.note(
                'owner_yields',
                epoch=self.epoch,
                strength=round(self.ctx.ownership.strength, 2),
                strongest=round(strongest, 2),
            )
            await self.hand_over()

    async def _drop_hosts(self, names: list[str]) -> None:
        records = [store.keyed(name) for name in names]
        try:
            await self.ctx.store.append(topics.HOSTS, records, BEAT_TIMEOUT_S)
        except exceptions.PlatformError as exc:
            self.ctx.log.note('dropping_failed', error=str(exc)[:120])
            return
        self.ctx.log.note('hosts_dropped', hosts=names)

    async def _notify(self, kind: str) -> None:
        record = notices.encode(self._notice(kind))
        await self.ctx.store.append(topics.OWNER, [record], BEAT_TIMEOUT_S)

    def _notice(self, kind: str) -> notices.OwnerNotice:
        cfg = self.ctx.cfg
        pending = self.engine.pending()
        return notices.OwnerNotice(
            kind,
            self.epoch,
            cfg.name,
            self.ctx.incarnation,
            cfg.front.ip,
            cfg.ports[0],
            {name: notices.QueueLoad(n) for name, n in pending.items()},
        )

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
            old = self.engine.forget_older(before)
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
                    topics.INBOX, names, BEAT_TIMEOUT_S, part=part
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
            await self._notify(notices.RELEASE)
        except exceptions.PlatformError as exc:
            self.ctx.log.note('release_failed', error=str(exc)[:120])
        self.ctx.ownership.lose()
        self.ctx.log.note('owner_released', epoch=self.epoch)
