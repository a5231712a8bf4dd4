"""Hold the runs of endpoints and take what they list."""

import curio

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import state
from hibiscusslip.host import context
from hibiscusslip.host import signals
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import orders

HOLD_WAIT_S = 0.6
HOLD_TIMEOUT_S = 0.25
FAILURES_TO_SILENCE = 2
IDLE_LOOK_S = 3.0
SILENT_PAUSE_S = 0.25
RECORD_WAIT_S = 0.6
AWAY_WAIT_S = 0.12
ORDER_TIMEOUT_S = 0.15
ORDER_PAUSE_S = 0.03
ORDER_RESERVE_S = 0.2
MOST_ORDER_AGE_S = 1.0
STOP_ATTEMPTS = 3
LEAST_GAP_S = 0.02


class EndpointSession:
    """Look at one endpoint as long as it's known, and give it orders."""

    def __init__(
        self,
        ctx: context.Context,
        engine: engines.Engine,
        name: str,
        address: str,
        epoch: int,
        changed: signals.Wake,
        record: signals.Wake,
    ) -> None:
        self.name = name
        self.address = address
        self.wake = signals.Wake()
        self._ctx = ctx
        self._engine = engine
        self._epoch = epoch
        self._changed = changed
        self._record = record
        self._orders = orders.Orders(name, address)

    async def run(self) -> None:
        """Look and hold until the endpoint is forgotten."""
        failures = 0
        while self.name in self._engine.endpoints:
            endpoint = self._engine.endpoints[self.name]
            sent = context.steady()
            try:
                await self._poll(endpoint, sent)
                failures = 0
            except exceptions.OrderRefused as exc:
                await self._refused(exc.reason)
            except exceptions.PlatformError:
                failures += 1
                await self._unanswered(failures, sent)
        await self._orders.close()

    async def _unanswered(self, failures: int, sent: float) -> None:
        self._ctx.metrics.count('looks_unanswered')
        self._engine.handle_no_response(self.name, sent, context.steady())
        if failures < FAILURES_TO_SILENCE:
            return
        self._engine.mark_unresponsive(self.name)
        await self._changed.set()
        await curio.sleep(SILENT_PAUSE_S)

    async def _poll(self, endpoint: state.Endpoint, sent: float) -> None:
        busy = bool(endpoint.allocations)
        # One that was silent answers at once, so that its return is noticed.
        awaited = busy and endpoint.polled and endpoint.responsive
        wait = HOLD_WAIT_S if awaited else 0.0
        handled = endpoint.handled
        look = await self._orders.hold(
            self._deadline(endpoint, sent),
            self._epoch,
            endpoint.acknowledged,
            wait,
            HOLD_TIMEOUT_S,
        )
        now = context.steady()
        self._ctx.metrics.count('looks')
        first = not endpoint.polled
        self._engine.polled(self.name, look, sent, now)
        if endpoint.handled != handled or first or self._engine.stops:
            await self._record.set()
            await self._changed.set()
        await self._pause(endpoint, busy, now - sent)

    def _deadline(self, endpoint: state.Endpoint, now: float) -> float | None:
        """Return until when runs may go on, on the endpoint's clock."""
        if not endpoint.polled or not endpoint.allocations:
            return None
        if not endpoint.responsive:
            return None  # a lease that is never known to end helps nobody
        if not self._ctx.ownership.may_renew(now):
            return None
        lease = self._engine.lease
        if self._ctx.stopping or not self._ctx.store_ok(now):
            lease = self._ctx.cfg.bounds.max_lease
        deadline = endpoint.clock_now(now) + lease
        endpoint.granted = max(endpoint.granted, deadline)
        return deadline

    async def _pause(
        self, endpoint: state.Endpoint, busy: bool, took: float
    ) -> None:
        if endpoint.acknowledged < endpoint.handled:
            await self._await_record(endpoint)
        elif not endpoint.allocations:
            await self.wake.wait(IDLE_LOOK_S)
        elif took < LEAST_GAP_S:
            await curio.sleep(LEAST_GAP_S)

    async def _await_record(self, endpoint: state.Endpoint) -> None:
        now = context.steady()
        patience = RECORD_WAIT_S
        if not self._ctx.store_ok(now):
            patience = AWAY_WAIT_S  # other ends are worth looking for
        give_up = now + patience
        while endpoint.acknowledged < endpoint.handled:
            if context.steady() >= give_up:
                return
            await curio.sleep(LEAST_GAP_S)

    async def _refused(self, reason: str) -> None:
        self._ctx.log.note('hold_refused', endpoint=self.name, reason=reason)
        if reason == 'instance':
            self._engine.handle_replacement(self.name, context.steady())
            await self._changed.set()
        await curio.sleep(SILENT_PAUSE_S)

    async def start(self, start: commands.Start) -> None:
        """Send a start until it's answered or void."""
        doubtful = False
        now = context.steady()
        if now > start.decided_at + MOST_ORDER_AGE_S:
            self._engine.not_started(start, 'too old to send', now)
            await self._changed.set()
            return
        order = orders.StartOrder(
            start.task.name,
            start.run,
            start.payload,
            start.deadline,
            self._epoch,
            start.checkpoint,
            start.ticket,
        )
        give_up = start.decided_at + MOST_ORDER_AGE_S + ORDER_RESERVE_S
        while now < give_up and self._ctx.ownership.held:
            try:
                await self._orders.start(order, ORDER_TIMEOUT_S)
                await self._started(start, now)
                return
            except exceptions.OrderRefused as exc:
                self._engine.handle_response(self.name, context.steady())
                await self._start_refused(start, exc.reason, doubtful)
                return
            except exceptions.OrderUnsettled:
                doubtful = True
                self._ctx.metrics.count('orders_unanswered')
            except exceptions.OrderNotSent:
                pass
            self._engine.handle_no_response(self.name, now, context.steady())
            await curio.sleep(ORDER_PAUSE_S)
            now = context.steady()
        reason = 'in doubt' if doubtful else 'unreached'
        await self._start_refused(start, reason, doubtful)

    async def _started(self, start: commands.Start, sent: float) -> None:
        now = context.steady()
        self._ctx.metrics.time('start_order', now - sent)
        self._ctx.metrics.count('starts')
        self._engine.started(start, now)
        self._ctx.log.note(
            'run_ordered',
            task=start.task.name,
            run=start.run,
            endpoint=self.name,
            decided_ms_ago=int((now - start.decided_at) * 1000),
        )
        await self.wake.set()

    async def _start_refused(
        self, start: commands.Start, reason: str, doubtful: bool
    ) -> None:
        self._ctx.metrics.count('starts_refused', reason=reason)
        if doubtful:
            self._ctx.log.note(
                'start_in_doubt',
                task=start.task.name,
                run=start.run,
                endpoint=self.name,
                reason=reason,
            )
            await self.wake.set()
            return
        self._engine.not_started(start, reason, context.steady())
        await self._record.set()
        await self._changed.set()

    async def stop(self, stop: commands.Stop) -> None:
        """Send a stop a few times; later looks repeat it if need be."""
        self._ctx.log.note(
            'run_stopped',
            task=stop.task,
            run=stop.run,
            endpoint=self.name,
            reason=stop.reason,
        )
        for _ in range(STOP_ATTEMPTS):
            try:
                await self._orders.stop(
                    stop.task, stop.run, self._epoch, ORDER_TIMEOUT_S
                )
                break
            except exceptions.OrderRefused:
                break
            except exceptions.PlatformError:
                await curio.sleep(ORDER_PAUSE_S)
        await self.wake.set()

    async def pace(self, pace: commands.Pace) -> None:
        """Send a pace once; the next plan repeats it if need be."""
        self._ctx.log.note(
            'run_paced',
            task=pace.task,
            run=pace.run,
            endpoint=self.name,
            percent=pace.percent,
        )
        try:
            await self._orders.pace(
                pace.task,
                pace.run,
                pace.percent,
                self._epoch,
                ORDER_TIMEOUT_S,
            )
        except exceptions.PlatformError as exc:
            self._ctx.log.note('pace_failed', task=pace.task, error=str(exc))
