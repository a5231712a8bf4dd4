"""Execute a shard engine's commands on one endpoint."""

import collections
import contextlib
import dataclasses

import curio

from hibiscusslip.endpoint import base
from hibiscusslip.endpoint import exceptions
from hibiscusslip.jobs import commands
from hibiscusslip.model import places
from hibiscusslip.node import clock
from hibiscusslip.node import shard_access

MAX_BATCH_REQUESTS = 64
EVENTS_WAIT_SECONDS = 5.0
USAGE_INTERVAL_SECONDS = 15.0
RETRY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ClockSample:
    """Pair an endpoint's clock reading with the local time of its receipt."""

    endpoint_time: float
    local_time: float

    def compute_expiry(self, now: float, validity: float) -> float:
        """Return the expiry, by the endpoint's clock, of a request sent now.

        The reading aged while the reply was in transit, so the result is
        never later than `validity` seconds from `now`.
        """
        return self.endpoint_time + (now - self.local_time) + validity


class EndpointDriver:
    """Run the loops that start, renew and observe tasks on one endpoint."""

    def __init__(
        self,
        info: places.EndpointInfo,
        client: base.Endpoint,
        shard: shard_access.ShardAccess,
    ) -> None:
        self.name = info.name
        self._info = info
        self._client = client
        self._shard = shard
        self._requests: collections.deque[base.StartRequest] = (
            collections.deque()
        )
        self._wake = curio.Event()
        self._next_event: int | None = None
        self._clock: ClockSample | None = None
        self._tasks = curio.TaskGroup()
        self._in_flight = 0

    @property
    def has_pending_starts(self) -> bool:
        """Return whether start requests are queued or in flight."""
        return bool(self._requests) or self._in_flight > 0

    def is_connected_to(self, info: places.EndpointInfo) -> bool:
        """Return whether the driver uses the address of an endpoint."""
        known = (self._info.address, self._info.port)
        return known == (info.address, info.port)

    async def start(self) -> None:
        """Start the loops."""
        guard = self._shard.supervisor.guard
        for loop in self._loops():
            await self._tasks.spawn(guard, loop)

    async def stop(self) -> None:
        """Stop the loops and close the connections."""
        await self._tasks.cancel_remaining()
        await self._client.close()

    def _loops(self):
        return (
            self._send_loop,
            self._renew_loop,
            self._events_loop,
            self._usage_loop,
        )

    async def queue_starts(self, requests: list[base.StartRequest]) -> None:
        """Queue start requests; those queued together leave in batches."""
        self._requests.extend(requests)
        await self._wake.set()

    async def _send_loop(self) -> None:
        while True:
            if not self._requests:
                self._wake.clear()
                await self._wake.wait()
            size = min(len(self._requests), MAX_BATCH_REQUESTS)
            batch = [self._requests.popleft() for _ in range(size)]
            self._in_flight = len(batch)
            await self._send(batch)
            self._in_flight = 0

    async def _send(self, batch: list[base.StartRequest]) -> None:
        """Send one batch; check the shard's lease before and after it."""
        engine = self._shard.engine
        names = [request.task for request in batch]
        if not self._shard.may_act(clock.now()):
            engine.handle_start_failure(self.name, names, False, clock.now())
            return
        try:
            results = await self._start(self._with_expiry(batch))
        except (exceptions.NotSent, exceptions.CallRefused):
            engine.handle_start_failure(self.name, names, False, clock.now())
        except exceptions.EndpointError:
            engine.handle_start_failure(self.name, names, True, clock.now())
        else:
            engine.handle_start_results(self.name, results, clock.now())
            if not self._shard.may_act(clock.now()):
                await self._stop_started(results)
        await self._shard.wake()

    def _with_expiry(
        self, batch: list[base.StartRequest]
    ) -> list[base.StartRequest]:
        """Return the requests with an expiry time, once the clock is known.

        Without one, an endpoint that was paused would start runs late,
        when this host already counts the lease of that start as expired.
        """
        if self._clock is None:
            return batch
        void_at = self._clock.compute_expiry(clock.now(), self._shard.settle)
        return [
            dataclasses.replace(request, void_at=void_at) for request in batch
        ]

    async def _start(
        self, batch: list[base.StartRequest]
    ) -> list[base.StartResult]:
        """Call the endpoint, within a span for each traced request."""
        tracer = self._shard.tracer
        if not any(request.trace for request in batch):
            return await self._client.start(batch)
        traced = []
        with contextlib.ExitStack() as spans:
            for request in batch:
                span = spans.enter_context(
                    tracer.start_span('start', request.trace)
                )
                span.set_attribute('task', request.task)
                span.set_attribute('endpoint', self.name)
                traced.append(
                    dataclasses.replace(request, trace=span.traceparent)
                )
            return await self._client.start(traced)

    async def _stop_started(self, results: list[base.StartResult]) -> None:
        """Stop tasks whose start call outlasted the shard's lease."""
        for result in results:
            if result.started:
                await self._ignore_errors(self._client.stop(result.task, 0.0))

    async def _renew_loop(self) -> None:
        lease = self._shard.worker_lease
        while True:
            await curio.sleep(lease / 4)
            if not self._shard.may_act(clock.now()):
                continue
            names = self._shard.engine.begin_renewal(self.name, clock.now())
            try:
                renewal = await self._client.renew(names, lease)
            except exceptions.EndpointError:
                continue
            now = clock.now()
            self._clock = ClockSample(renewal.clock, now)
            self._shard.engine.handle_renewal(self.name, renewal.gone, now)
            await self._shard.wake()

    async def _events_loop(self) -> None:
        while True:
            if self._next_event is None:
                await curio.sleep(RETRY_SECONDS / 10)
                continue
            try:
                batch = await self._client.events(
                    self._next_event, EVENTS_WAIT_SECONDS
                )
            except exceptions.EndpointError:
                await curio.sleep(RETRY_SECONDS)
                continue
            self._next_event = batch.next_event
            self._shard.engine.handle_ended_runs(
                self.name, batch.boot, batch.ended, clock.now()
            )
            await self._shard.wake()

    async def _usage_loop(self) -> None:
        """Report the resource usage of runs to the scheduler."""
        while True:
            await curio.sleep(USAGE_INTERVAL_SECONDS)
            if not self._shard.may_act(clock.now()):
                continue
            try:
                usage = await self._client.usage()
            except exceptions.EndpointError:
                continue
            self._shard.engine.observe(usage, clock.now())

    async def execute(self, command: commands.Command) -> None:
        """Execute one command for this endpoint."""
        if isinstance(command, commands.ListRuns):
            await self._list_runs()
        elif isinstance(command, commands.FetchAnswer):
            await self._fetch_answer(command)
        elif isinstance(command, commands.StopTask):
            await self._ignore_errors(
                self._client.stop(command.task, command.grace)
            )
        elif isinstance(command, commands.ThrottleTask):
            await self._ignore_errors(
                self._client.throttle(command.task, command.share)
            )
        elif isinstance(command, commands.CheckpointTask):
            await self._checkpoint(command)

    async def _list_runs(self) -> None:
        asked_at = clock.now()
        engine = self._shard.engine
        try:
            listing = await self._client.runs()
        except exceptions.EndpointError:
            engine.handle_listing_failure(self.name, clock.now())
            return
        self._clock = ClockSample(listing.clock, clock.now())
        if self._next_event is None or listing.boot != self._known_boot(
            engine
        ):
            self._next_event = listing.next_event
        engine.handle_run_listing(self.name, listing, asked_at, clock.now())
        await self._shard.wake()

    def _known_boot(self, engine) -> str:
        view = engine.endpoints.get(self.name)
        return '' if view is None else view.boot

    async def _fetch_answer(self, command: commands.FetchAnswer) -> None:
        """Fetch a large answer, with up to 5 attempts.

        After a refusal or the last failure the engine gets None instead.
        """
        answer = None
        for _ in range(5):
            try:
                answer = await self._client.answer(
                    command.task, command.attempt
                )
                break
            except exceptions.CallRefused:
                break
            except exceptions.EndpointError:
                await curio.sleep(RETRY_SECONDS)
        self._shard.engine.handle_fetched_answer(
            command.task, command.attempt, answer, clock.now()
        )
        await self._shard.wake()

    async def _checkpoint(self, command: commands.CheckpointTask) -> None:
        """Save a task's checkpoint, then stop it.

        Without a checkpoint the task continues to run.
        """
        try:
            data = await self._client.checkpoint(command.task)
            self._shard.engine.save_checkpoint(command.task, data)
            await self._client.stop(command.task, command.grace)
        except exceptions.EndpointError:
            return

    async def _ignore_errors(self, call) -> None:
        """Await a call; ignore its failure, which later reports reveal."""
        try:
            await call
        except exceptions.EndpointError:
            return
