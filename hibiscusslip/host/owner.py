"""Own the cell: accept jobs, place their tasks and track the runs."""

import collections.abc
import dataclasses
import functools
import typing

import curio

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import summary
from hibiscusslip.host import _job_queries
from hibiscusslip.host import _lease_duties
from hibiscusslip.host import advice_routing
from hibiscusslip.host import cell_feeds
from hibiscusslip.host import context
from hibiscusslip.host import crash_logging
from hibiscusslip.host import endpoint_session
from hibiscusslip.host import engine_events
from hibiscusslip.host import estimate_reports
from hibiscusslip.host import first_polls
from hibiscusslip.host import job_intake
from hibiscusslip.host import lease_handover
from hibiscusslip.host import lease_peers
from hibiscusslip.host import lease_timing
from hibiscusslip.host import load_report
from hibiscusslip.host import notices
from hibiscusslip.host import ownership_keeper
from hibiscusslip.host import poll_timing
from hibiscusslip.host import recovery
from hibiscusslip.host import slices
from hibiscusslip.host import wakeup_event
from hibiscusslip.host import writer
from hibiscusslip.http import addresses
from hibiscusslip.platform import exceptions

Command = typing.TypeVar('Command', commands.Stop, commands.Pace)

PLAN_IDLE_S = 0.1
PLAN_GAP_S = 0.01
MAX_UPLINK_BACKLOG_S = 0.5  # with which starts are still decided
RECOVERY_RETRY_PAUSE_S = 0.1
DELETE_PERIOD_S = 5.0
SESSION_RESTART_PAUSE_S = 0.5
LOOP_RESTART_PAUSE_S = 1.0
LOAD_PERIOD_S = 1.0
STOP_FLUSH_S = 0.5
START_MARGIN_S = 0.3  # from the decision or the record to the last repeat
# More calls at a time would only wait for each other.
MAX_PENDING_STARTS = 500
MAX_PENDING_COMMANDS = 200  # stops and paces


class Owner:
    """The owner of the cell for one epoch, from its claim to its end."""

    def __init__(
        self,
        ctx: context.Context,
        advice_router: advice_routing.AdviceRouter,
        successors: ownership_keeper.Successors,
        epoch: int,
        peers: lease_peers.LeasePeers | None = None,
    ) -> None:
        self.ctx = ctx
        self.epoch = epoch
        self.engine = self._new_engine()
        self.plan_wakeup = wakeup_event.WakeupEvent()
        self.ready = False
        self._advice_router = advice_router
        self._writer = writer.Writer(
            ctx, self.engine, epoch, self._send_starts
        )
        self._sessions: dict[str, endpoint_session.EndpointSession] = {}
        self._handover = lease_handover.LeaseHandover(ctx.ownership, epoch)
        self._leases = _lease_duties.LeaseDuties(
            ctx, epoch, self._handover, peers
        )
        self._keeper = ownership_keeper.OwnershipKeeper(
            ctx,
            successors,
            epoch,
            self._handover,
            lambda: summary.count_pending(self.engine) if self.ready else None,
            self.release_ownership,
            lambda: self.engine.shares.forecast if self.ready else None,
            lambda: self.engine.estimates.reported_ratios(),
        )
        self.inboxes: list[cell_feeds.InboxFeed] = []
        self._tasks = curio.TaskGroup(wait=any)
        self._loop_error: Exception | None = None
        self.endpoints_read_at = 0.0
        self._poll_timing = poll_timing.PollTiming()
        self._first_polls = first_polls.FirstPolls(ctx, epoch)
        self.intake = job_intake.JobIntake(self)
        self._starts_finished = 0
        self._pending_commands = 0

    def _new_engine(self) -> engines.Engine:
        bounds = self.ctx.cfg.bounds
        engine = engines.Engine(
            lease_timing.usual_lease(bounds.max_lease),
            functools.partial(engine_events.note, self.ctx),
            bounds.max_lease,
            self.ctx.options.policy_under(self.ctx.config),
            bounds.limit_overage,
            bounds.entitlement_window,
        )
        load_report.apply_ratios(engine.estimates, self.ctx)
        return engine

    async def run(self) -> None:
        """Run the cell until the ownership ends or the task is cancelled."""
        try:
            await self._run()
        finally:
            self.ready = False
            await self._tasks.cancel_remaining()

    async def _run(self) -> None:
        started = context.monotonic()
        await self._tasks.spawn(self._run_vital, self._keeper.run_heartbeats)
        recovered = await self._recover()
        self._resume(recovered)
        self._handover.set_engine(self.engine)
        await self._keeper.notice_wakeup.set()
        self.ready = True
        self.ctx.metrics.count('successions')
        self.ctx.log.note(
            'owner_ready',
            epoch=self.epoch,
            ms=int((context.monotonic() - started) * 1000),
        )
        endpoints = cell_feeds.EndpointFeed(self, recovered.endpoints_offset)
        for loop in (
            self._writer.run,
            *(feed.run for feed in self.inboxes),
            endpoints.run,
            self._plan,
            self._keeper.run_liveness_checks,
            *self._leases.loops(self.engine),
        ):
            await self._tasks.spawn(self._run_vital, loop)
        for loop in (self._delete_old_jobs, self._report_load_and_set_timing):
            await self._tasks.spawn(self._run_repeatedly, loop)
        self._update_poll_timing()
        await self._first_polls.run(self.engine, self.open_session)
        while self.ctx.ownership.held_epoch == self.epoch:
            if self._loop_error is not None:
                raise self._loop_error
            await curio.sleep(PLAN_IDLE_S)

    async def _run_vital(self, loop: crash_logging.Loop) -> None:
        """Run a loop without which this owner must not go on.

        It would extend leases and start nothing, while no other host claims.
        """
        try:
            await crash_logging.run_loop(self.ctx, loop)
        except Exception as exc:
            self._loop_error = exc

    async def _run_repeatedly(self, loop: crash_logging.Loop) -> None:
        """Run a loop; after an unexpected error run it again."""
        while True:
            try:
                await crash_logging.run_loop(self.ctx, loop)
            except exceptions.ProducerFenced as exc:
                self._loop_error = exc
                return
            except Exception:
                await curio.sleep(LOOP_RESTART_PAUSE_S)

    def _resume(self, recovered: recovery.Recovered) -> None:
        """Continue where the recovered records end."""
        self._writer.mark_used(recovered.used_parts)
        self.endpoints_read_at = recovered.endpoints_read_at
        self.intake.deletion.start(recovered)
        self.inboxes = [
            cell_feeds.InboxFeed(self, part, offset)
            for part, offset in enumerate(recovered.inbox_offsets)
        ]

    async def _recover(self) -> recovery.Recovered:
        # Only this owner writes progress once its fence is set, so what has
        # been read stays valid for the next attempt.
        reader = recovery.PartitionReader(self.ctx)
        while True:
            try:
                await self._writer.fence()
                self._configure()
                return await recovery.recover(
                    self.ctx,
                    self.engine,
                    reader,
                    self.intake.submissions,
                    self.intake.cancellations,
                )
            except exceptions.ProducerFenced:
                self.ctx.ownership.lose()
                raise
            except exceptions.PlatformError as exc:
                self.ctx.log.note('recovery_retried', error=str(exc)[:120])
                await curio.sleep(RECOVERY_RETRY_PAUSE_S)
                self.engine = self._new_engine()
                self._writer = writer.Writer(
                    self.ctx, self.engine, self.epoch, self._send_starts
                )

    async def query_job_state(
        self, job_id: str, organisation: str
    ) -> model.JobState | None:
        """Return a job's state, or None if it provably doesn't exist.

        Raises PlatformError if that can't be told now.
        """
        return await _job_queries.query_state(self, job_id, organisation)

    def may_know_job(self, job_id: str) -> bool:
        """Return False if no partition of the inbox has the job.

        True while one of them can't be read to its end, or while a record of
        the ID is withheld: the job may have been accepted.
        """
        return (
            job_id in self.engine.jobs
            or self.intake.deletion.holds(job_id)
            or any(feed.failing or feed.behind for feed in self.inboxes)
        )

    async def open_session(self, name: str) -> None:
        """Open a session with an endpoint, unless one is open already."""
        endpoint = self.engine.endpoints.get(name)
        if endpoint is None or not addresses.is_address(endpoint.address):
            return
        if self._first_polls.holds_back(name):
            return
        address = endpoint.address
        known = self._sessions.get(name)
        if known is not None and known.address == address:
            return
        session = endpoint_session.EndpointSession(
            self.ctx,
            self.engine,
            name,
            address,
            self.epoch,
            endpoint_session.Wakeups(
                self.plan_wakeup,
                self._writer.wakeup,
                self._keeper.notice_wakeup,
            ),
            lambda: self._poll_timing,
        )
        self._sessions[name] = session
        await self._tasks.spawn(
            self._run_vital, functools.partial(self._run_session, session)
        )

    async def _run_session(
        self, session: endpoint_session.EndpointSession
    ) -> None:
        """Run a session; after an unexpected error run it again."""
        while session.is_current():
            try:
                await crash_logging.run_loop(self.ctx, session.run)
            except exceptions.ProducerFenced:
                raise
            except Exception:
                await curio.sleep(SESSION_RESTART_PAUSE_S)
        if self._sessions.get(session.name) is session:
            del self._sessions[session.name]
        while True:  # a return would end the task group
            await curio.sleep(3600)

    async def _plan(self) -> None:
        while True:
            await self.plan_wakeup.wait(PLAN_IDLE_S)
            now = context.monotonic()
            await self._resume_withheld_leases()
            self._configure()
            self.engine.adviser_count = self._advice_router.count_advisers(now)
            if self._may_plan(now):
                await self._run_pass(now)
            await self._dispatch_commands()
            self.ctx.metrics.time('plan', context.monotonic() - now)
            await curio.sleep(PLAN_GAP_S)

    async def _run_pass(self, now: float) -> None:
        """Run a scheduling pass in slices; send what is decided in each.

        The rest of a pass is left out once nothing may be started any more.
        """
        self._limit_starts()
        planning = self.engine.begin_plan(
            now, context.wall_time(), self._knows_capacities(now)
        )
        work = slices.Slices()
        while planning is not None and planning.advance(now):
            if not work.is_due():
                continue
            await self._dispatch_commands()
            await work.pause()
            now = context.monotonic()
            if not self._may_plan(now) or not self._knows_capacities(now):
                return
            self._limit_starts()
            planning.refresh(now)

    def _limit_starts(self) -> None:
        """Have no more starts decided than can be sent before they expire."""
        engine = self.engine
        pending = engine.starts_decided - self._starts_finished
        engine.starts_left = MAX_PENDING_STARTS - pending
        if engine.starts_left <= 0:
            self.ctx.metrics.count('passes_held_back')

    def _configure(self) -> None:
        config = self.ctx.config
        is_new = config is not self.engine.config
        self.engine.configure(config, self.ctx.options.policy_under(config))
        if is_new:
            self.intake.cancellations.decide_undecided(
                self.engine, context.monotonic()
            )

    async def _resume_withheld_leases(self) -> None:
        """Have leases extended at once that were withheld until now."""
        for name in self._leases.take_lifted(self._sessions):
            session = self._sessions.get(name)
            if session is not None:
                await session.wakeup.set()

    def _may_plan(self, now: float) -> bool:
        """Return True unless starts would be sent late, or not at all."""
        backlog = self.ctx.uplink.backlog(now)
        return not self.ctx.stopping and backlog < MAX_UPLINK_BACKLOG_S

    def _knows_capacities(self, now: float) -> bool:
        """Return False if endpoints may have shrunk too long ago, unseen.

        Entries tell the capacities, but the store may serve the records of
        jobs only.
        """
        cfg = self.ctx.cfg
        tolerated = cfg.bounds.contact + cfg.heartbeat
        max_age = tolerated - START_MARGIN_S
        return now <= self.endpoints_read_at + max_age

    async def _dispatch_commands(self) -> None:
        engine = self.engine
        if engine.dirty or engine.starts:
            await self._writer.wakeup.set()
        for stop in self._take_commands(engine.stops):
            session = self._sessions.get(stop.endpoint)
            if session is not None:
                await self._spawn_command(session.send_stop, stop)
        for pace in self._take_commands(engine.paces):
            session = self._sessions.get(pace.endpoint)
            if session is not None:
                await self._spawn_command(session.send_pace, pace)
        advice_requests, engine.advice_requests = engine.advice_requests, []
        for request in advice_requests:
            await curio.spawn(self._request_advice, request, daemon=True)

    def _take_commands(self, commands: list[Command]) -> list[Command]:
        """Remove and return the first commands, as many as may be sent now."""
        count = max(MAX_PENDING_COMMANDS - self._pending_commands, 0)
        taken = commands[:count]
        del commands[:count]
        return taken

    async def _spawn_command(
        self,
        send: collections.abc.Callable[
            [Command], collections.abc.Awaitable[None]
        ],
        command: Command,
    ) -> None:
        self._pending_commands += 1
        await curio.spawn(self._send_command, send, command, daemon=True)

    async def _send_command(
        self,
        send: collections.abc.Callable[
            [Command], collections.abc.Awaitable[None]
        ],
        command: Command,
    ) -> None:
        try:
            await send(command)
        finally:
            self._pending_commands -= 1

    async def _request_advice(self, request: commands.AdviceRequest) -> None:
        asked_at = context.monotonic()
        try:
            advice = await self._advice_router.request_advice(request)
        except Exception as exc:
            crash_logging.log_crash(self.ctx, 'request_advice', exc)
            advice = None  # the step asks again
        now = context.monotonic()
        self.ctx.metrics.time('advice', now - asked_at)
        if advice is None:
            self.engine.handle_advice(request, None, 0.0, now)
        else:
            tickets, valid, since = advice
            self.engine.handle_advice(request, tickets, since + valid, now)
            self.ctx.log.note(
                'advised',
                step=request.step.name,
                asked=len(request.endpoints),
                eligible=len(tickets),
                took_ms=int((now - asked_at) * 1000),
            )
        await self.plan_wakeup.set()

    async def _send_starts(self, starts: list[commands.Start]) -> None:
        """Send the start requests whose records are committed."""
        work = slices.Slices()
        for start in starts:
            await work.pause_if_due()
            now = context.monotonic()
            session = self._sessions.get(start.endpoint)
            if session is None:
                self._revert_start(start, 'endpoint gone', now)
            elif not self._knows_capacities(now):
                self._revert_start(start, 'capacity unknown', now)
            elif not self.engine.still_fits(start):
                self._revert_start(start, 'room', now)
            else:
                await curio.spawn(
                    self._send_start, session, start, daemon=True
                )

    def _revert_start(
        self, start: commands.Start, reason: str, now: float
    ) -> None:
        self._starts_finished += 1
        self.engine.revert_start(start, reason, now)

    async def _send_start(
        self,
        session: endpoint_session.EndpointSession,
        start: commands.Start,
    ) -> None:
        try:
            await session.send_start(start)
        finally:
            self._starts_finished += 1

    async def _report_load_and_set_timing(self) -> None:
        """Log the load, publish metrics and set the timing of polls."""
        while True:
            await curio.sleep(LOAD_PERIOD_S)
            for load in summary.summarise(self.engine, context.monotonic()):
                self.ctx.log.note('cell_load', **dataclasses.asdict(load))
            estimate_reports.publish(self.ctx, self.engine.estimates)
            self._update_poll_timing()

    def _update_poll_timing(self) -> None:
        endpoints = self.engine.endpoints.values()
        busy = sum(bool(endpoint.allocations) for endpoint in endpoints)
        idle = len(endpoints) - busy
        self.ctx.ownership.set_endpoints(len(endpoints))
        unresponsive = sum(not endpoint.responsive for endpoint in endpoints)
        self._poll_timing = poll_timing.derive(
            busy,
            idle,
            self.engine.lease,
            unresponsive,
            sum(len(endpoint.allocations) for endpoint in endpoints),
        )
        self.ctx.metrics.gauge('long_poll', self._poll_timing.long_poll)

    async def _delete_old_jobs(self) -> None:
        while True:
            await self.intake.delete_old(self._writer)
            await curio.sleep(DELETE_PERIOD_S)

    def successor_can_recover(self, now: float) -> bool:
        """Return True if a new owner could read all that it needs.

        A store that is unavailable to all hosts prevents a recovery too, but
        then no release can be written either, and waiting is useless.
        """
        if not self.ctx.store_available(now):
            return True
        inbox_failing = any(feed.failing for feed in self.inboxes)
        return not inbox_failing and self._writer.all_serving(now)

    async def release_ownership(self) -> None:
        """Release the ownership after a last poll and flush.

        While the host stops, polls extend all leases to their maximum.
        """
        for session in self._sessions.values():
            await session.wakeup.set()
        await self._writer.flush(STOP_FLUSH_S)
        try:
            await self._keeper.write_notice(notices.RELEASE, releases=True)
        except exceptions.PlatformError as exc:
            self.ctx.log.note('release_failed', error=str(exc)[:120])
        self.ctx.ownership.lose()
        self.ctx.log.note('owner_released', epoch=self.epoch)
