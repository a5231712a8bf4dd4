"""Poll endpoints, renew the leases of their runs and send commands."""

import collections.abc
import contextlib
import dataclasses

import curio

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import task_runs
from hibiscusslip.host import _lease_grants
from hibiscusslip.host import context
from hibiscusslip.host import estimate_reports
from hibiscusslip.host import poll_timing
from hibiscusslip.host import wakeup_event
from hibiscusslip.platform import endpoint_client
from hibiscusslip.platform import exceptions

POLL_TIMEOUT_S = 0.25
REFUSED_POLL_PAUSE_S = 0.25
MAX_LATE_POLLS = 3  # in a row that aren't counted against an endpoint
WITHHELD_POLL_S = 0.25
COMMIT_WAIT_S = 0.6
COMMIT_WAIT_WITHOUT_STORE_S = 0.12
CALL_TIMEOUT_S = 0.15
RETRY_PAUSE_S = 0.03
START_RETRY_MARGIN_S = 0.2
MAX_START_AGE_S = 1.0
STOP_ATTEMPTS = 3
MIN_POLL_GAP_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Wakeups:
    """Wake the planning loop, the writer or the task that writes notices."""

    plan: wakeup_event.WakeupEvent
    write: wakeup_event.WakeupEvent
    notice: wakeup_event.WakeupEvent


class EndpointSession:
    """Poll one endpoint while the engine knows it, and send it commands.

    A poll also extends the lease of the endpoint's runs. `get_timing` returns
    how long polls may wait.
    """

    def __init__(
        self,
        ctx: context.Context,
        engine: engines.Engine,
        name: str,
        address: str,
        epoch: int,
        wakeups: Wakeups,
        get_timing: collections.abc.Callable[[], poll_timing.PollTiming],
    ) -> None:
        self.name = name
        self.address = address
        self.wakeup = wakeup_event.WakeupEvent()
        self._ctx = ctx
        self._engine = engine
        self._epoch = epoch
        self._wakeups = wakeups
        self._get_timing = get_timing
        # After how many seconds the latest poll fails if this host isn't late.
        self._longest_poll = 0.0
        self._client = endpoint_client.EndpointClient(
            name, address, ctx.uplink, ctx.endpoint_connections
        )

    async def run(self) -> None:
        """Poll until the endpoint is removed, or has another address."""
        failures = 0
        late_polls = 0
        while self.is_current():
            endpoint = self._engine.endpoints[self.name]
            sent = context.monotonic()
            try:
                await self._poll(endpoint, sent)
                failures = late_polls = 0
            except exceptions.RequestRefused as exc:
                await self._handle_refusal(exc.reason)
            except exceptions.PlatformError as exc:
                if self._is_excused(exc, sent) and late_polls < MAX_LATE_POLLS:
                    late_polls += 1
                    self._ctx.metrics.count('looks_late')
                    await curio.sleep(self._get_timing().retry_pause)
                    continue
                if not self.is_current():
                    break
                failures += 1
                await self._handle_no_response(failures, sent)
        await self._client.close()

    def is_current(self) -> bool:
        """Return True if the endpoint is still known at this address.

        Another one may have the former address of an endpoint that moved.
        """
        endpoint = self._engine.endpoints.get(self.name)
        return endpoint is not None and endpoint.address == self.address

    def _is_excused(self, exc: exceptions.PlatformError, sent: float) -> bool:
        """Return True if this host is to blame for the failed poll."""
        if isinstance(exc, exceptions.ConnectionsExhausted):
            return True
        if not self._get_timing().excuses_lateness:
            return False
        elapsed = context.monotonic() - sent
        return elapsed > self._longest_poll

    async def _handle_no_response(self, failures: int, sent: float) -> None:
        self._ctx.metrics.count('looks_unanswered')
        self._record_no_response(sent)
        endpoint = self._engine.endpoints[self.name]
        if _lease_grants.is_named_now(endpoint, failures):
            await self._wakeups.notice.set()
        if failures < _lease_grants.FAILURES_UNTIL_UNRESPONSIVE:
            return
        self._engine.mark_unresponsive(self.name)
        await self._wakeups.plan.set()
        await curio.sleep(self._get_timing().retry_pause)

    async def _poll(self, endpoint: state.Endpoint, sent: float) -> None:
        cursor_before = endpoint.handled_cursor
        wait = _lease_grants.longest_wait(
            endpoint, self._ctx.ownership.renewal.held_back, self._get_timing()
        )
        timeout = POLL_TIMEOUT_S + self._ctx.endpoint_calls.allowance
        self._longest_poll = poll_timing.longest_poll(wait, timeout)
        with self._track(held=wait > 0):
            report = await self._client.poll(
                _lease_grants.lease_deadline(
                    self._ctx, self._engine, endpoint, sent
                ),
                self._epoch,
                endpoint.cursor_to_send(),
                wait,
                timeout,
            )
        now = context.monotonic()
        self._ctx.metrics.count('looks')
        if not self.is_current():
            return
        first_poll = not endpoint.polled
        returned = not endpoint.responsive
        self._engine.handle_report(self.name, report, sent, now)
        if returned and endpoint.withheld:
            await self._wakeups.notice.set()
        if (
            endpoint.handled_cursor != cursor_before
            or first_poll
            or self._engine.stops
        ):
            await self._wakeups.write.set()
            await self._wakeups.plan.set()
        await self._wait_for_next_poll(endpoint, sent, now)

    def _track(
        self, held: bool = False
    ) -> contextlib.AbstractContextManager[None]:
        """Count a call, unless the endpoint may hold it open."""
        if held:
            return contextlib.nullcontext()
        return self._ctx.endpoint_calls.track()

    @property
    def _call_timeout(self) -> float:
        return CALL_TIMEOUT_S + self._ctx.endpoint_calls.allowance

    async def _wait_for_next_poll(
        self, endpoint: state.Endpoint, sent: float, now: float
    ) -> None:
        """Wait after a poll that was sent at `sent`."""
        if endpoint.acknowledged_cursor < endpoint.handled_cursor:
            await self._await_commit(endpoint, sent, now)
        elif endpoint.withheld or (
            endpoint.allocations and self._ctx.ownership.renewal.held_back
        ):
            await self.wakeup.wait(WITHHELD_POLL_S)
        elif not endpoint.allocations:
            await self.wakeup.wait(self._get_timing().idle_pause(self.name))
        elif now - sent < MIN_POLL_GAP_S:
            await curio.sleep(MIN_POLL_GAP_S)
        gap = self._get_timing().report_gap(len(endpoint.allocations))
        left = sent + gap - context.monotonic()
        if left > 0:
            await curio.sleep(left)

    async def _await_commit(
        self, endpoint: state.Endpoint, sent: float, now: float
    ) -> None:
        max_wait = COMMIT_WAIT_S
        if not self._ctx.store_available(now):
            # No commit is near, but other completions may be reported.
            max_wait = COMMIT_WAIT_WITHOUT_STORE_S
        renew_at = sent + poll_timing.renewal_interval(self._engine.lease)
        give_up_at = min(now + max_wait, renew_at)
        while endpoint.acknowledged_cursor < endpoint.handled_cursor:
            if context.monotonic() >= give_up_at:
                return
            await curio.sleep(MIN_POLL_GAP_S)

    async def _handle_refusal(self, reason: str) -> None:
        self._ctx.log.note('hold_refused', endpoint=self.name, reason=reason)
        if reason == 'instance' and self.is_current():
            self._engine.handle_replacement(self.name, context.monotonic())
            await self._wakeups.plan.set()
        await curio.sleep(REFUSED_POLL_PAUSE_S)

    async def send_start(self, start: commands.Start) -> None:
        """Send a start request until it is answered or has expired."""
        indeterminate = False
        now = context.monotonic()
        sent_at = now + self._ctx.uplink.backlog(now)
        if sent_at > start.decided_at + MAX_START_AGE_S:
            self._engine.revert_start(start, 'too old to send', now)
            await self._wakeups.plan.set()
            return
        request = self._start_request(start)
        give_up_at = start.decided_at + MAX_START_AGE_S + START_RETRY_MARGIN_S
        while now < give_up_at and self._holds_ownership():
            if not self._is_awaited(start):
                break
            try:
                with self._track():
                    clock = await self._client.start(
                        request, self._call_timeout
                    )
                await self._handle_started(start, now, clock)
                return
            except exceptions.RequestRefused as exc:
                self._engine.handle_response(self.name, context.monotonic())
                await self._handle_start_failure(
                    start, exc.reason, indeterminate
                )
                return
            except exceptions.RequestOutcomeUnknown:
                indeterminate = True
                self._engine.note_unanswered(start)
                self._ctx.metrics.count('orders_unanswered')
                self._record_no_response(now)
            except exceptions.ConnectionsExhausted:
                pass  # a fault of this host, not of the endpoint
            except exceptions.RequestNotSent:
                self._record_no_response(now)
            await curio.sleep(RETRY_PAUSE_S)
            now = context.monotonic()
        reason = 'in doubt' if indeterminate else 'unreached'
        await self._handle_start_failure(start, reason, indeterminate)

    def _is_awaited(self, start: commands.Start) -> bool:
        """Return False once its run is needless, has ended or is given up.

        A repeat would start it again.
        """
        endpoint = self._engine.endpoints.get(self.name)
        if endpoint is None or task_runs.is_needless(start.task, start.run):
            return False
        return (start.task.name, start.run) in endpoint.allocations

    def _record_no_response(self, sent: float) -> None:
        self._engine.handle_no_response(self.name, sent, context.monotonic())

    def _start_request(
        self, start: commands.Start
    ) -> endpoint_client.StartRequest:
        return endpoint_client.StartRequest(
            start.task.name,
            start.run,
            start.payload,
            start.deadline,
            self._epoch,
            start.checkpoint,
            start.ticket,
        )

    def _holds_ownership(self) -> bool:
        """Return True if this host still owns the cell in the same epoch.

        Commands outlive the owner that gave them; the host may even own the
        cell again by the time that they are sent.
        """
        return self._ctx.ownership.held_epoch == self._epoch

    async def _handle_started(
        self, start: commands.Start, sent: float, clock: float | None
    ) -> None:
        now = context.monotonic()
        self._ctx.metrics.time('start_order', now - sent)
        self._ctx.metrics.count('starts')
        self._engine.confirm_start(start, now, clock)
        self._ctx.log.note(
            'run_ordered',
            task=start.task.name,
            run=start.run,
            endpoint=self.name,
            decided_ms_ago=int((now - start.decided_at) * 1000),
            **estimate_reports.expectation_fields(start),
        )
        await self.wakeup.set()

    async def _handle_start_failure(
        self, start: commands.Start, reason: str, indeterminate: bool
    ) -> None:
        self._ctx.metrics.count('starts_refused', reason=reason)
        if indeterminate:
            self._ctx.log.note(
                'start_in_doubt',
                task=start.task.name,
                run=start.run,
                endpoint=self.name,
                reason=reason,
            )
            await self.wakeup.set()
            return
        self._engine.revert_start(start, reason, context.monotonic())
        await self._wakeups.write.set()
        await self._wakeups.plan.set()

    async def send_stop(self, stop: commands.Stop) -> None:
        """Send a stop a few times; later reports repeat it if necessary."""
        self._ctx.log.note(
            'run_stopped',
            task=stop.task,
            run=stop.run,
            endpoint=self.name,
            reason=stop.reason,
        )
        for _ in range(STOP_ATTEMPTS):
            if not self._holds_ownership():
                return
            try:
                with self._track():
                    await self._client.stop(
                        stop.task, stop.run, self._epoch, self._call_timeout
                    )
                break
            except exceptions.RequestRefused:
                break
            except exceptions.PlatformError:
                await curio.sleep(RETRY_PAUSE_S)
        await self.wakeup.set()

    async def send_pace(self, pace: commands.Pace) -> None:
        """Send a pace once; a failure is logged and not retried."""
        self._ctx.log.note(
            'run_paced',
            task=pace.task,
            run=pace.run,
            endpoint=self.name,
            percent=pace.percent,
        )
        if not self._holds_ownership():
            return
        try:
            with self._track():
                await self._client.pace(
                    pace.task,
                    pace.run,
                    pace.percent,
                    self._epoch,
                    self._call_timeout,
                )
        except exceptions.PlatformError as exc:
            self._ctx.log.note('pace_failed', task=pace.task, error=str(exc))
