"""Run one owned shard: feed its engine and execute its commands."""

import abc
import collections.abc
import dataclasses

import curio

from hibiscusslip import codec
from hibiscusslip.endpoint import base as endpoint_base
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import engine as jobs_engine
from hibiscusslip.jobs import model
from hibiscusslip.model import places
from hibiscusslip.node import appender
from hibiscusslip.node import clock
from hibiscusslip.node import endpoint_driver
from hibiscusslip.node import shard_access
from hibiscusslip.node import supervision
from hibiscusslip.observe import traces
from hibiscusslip.ownership import owner
from hibiscusslip.records import zone as zone_records

TICK_SECONDS = 0.1
PENDING_STARTS_POLL_SECONDS = 0.01

EndpointFactory = collections.abc.Callable[
    [places.EndpointInfo], endpoint_base.Endpoint
]


class RemoteWork(abc.ABC):
    """Start, stop and report tasks across shards."""

    @abc.abstractmethod
    async def reserve_and_start(
        self, runner: 'ShardRunner', command: commands.HoldRemote
    ) -> None:
        """Hold capacity for the missing tasks of a gang, then start it."""

    @abc.abstractmethod
    async def report(
        self, runner: 'ShardRunner', command: commands.ReportTask
    ) -> None:
        """Report an offloaded task to its home."""

    @abc.abstractmethod
    async def stop(
        self, runner: 'ShardRunner', command: commands.StopRemote
    ) -> None:
        """Stop a task on another shard."""

    @abc.abstractmethod
    async def poll(self, runner: 'ShardRunner') -> None:
        """Poll other shards for the state of tasks offloaded to them."""


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Store what all shards of a host share; times are in seconds."""

    ownership: owner.Ownership
    writer: appender.Appender
    connect: EndpointFactory
    worker_lease: float
    settle: float
    remote: RemoteWork
    supervisor: supervision.Supervisor
    tracer: traces.Tracer


class ShardRunner(shard_access.ShardAccess):
    """Run one shard while this host holds its lease.

    `frozen` is true during a transfer of the shard; its loop then decides
    nothing. `state_sent` is true once its state may be on another host.
    `stopped` is true once the runner has stopped for good.
    """

    def __init__(
        self,
        shard: places.Shard,
        epoch: int,
        engine: jobs_engine.ShardEngine,
        context: Context,
    ) -> None:
        self.shard = shard
        self.epoch = epoch
        self.engine = engine
        self.worker_lease = context.worker_lease
        self.settle = context.settle
        self.supervisor = context.supervisor
        self.tracer = context.tracer
        self._context = context
        self._drivers: dict[str, endpoint_driver.EndpointDriver] = {}
        self._infos: dict[str, places.EndpointInfo] = {}
        self._waiters: dict[str, curio.Event] = {}
        self._tasks = curio.TaskGroup()
        self._wake = curio.Event()
        self.stopped = False
        self.frozen = False
        self.state_sent = False

    def may_act(self, now: float) -> bool:
        """Return whether this host may act for the shard at `now`."""
        ownership = self._context.ownership
        number = self.shard.number
        current = ownership.epoch(number) == self.epoch
        return current and not self.stopped and ownership.may_act(number, now)

    async def start(self) -> None:
        """Start the shard's loop as a task."""
        await self._tasks.spawn(self.supervisor.guard, self._loop)

    async def stop(self) -> None:
        """Stop acting for the shard and wake all waiting requests."""
        self.stopped = True
        for waiter in list(self._waiters.values()):
            await waiter.set()
        await self._tasks.cancel_remaining()
        for driver in list(self._drivers.values()):
            await driver.stop()

    async def _loop(self) -> None:
        """Tick while the lease holds, and at once after an event."""
        while True:
            async with curio.ignore_after(TICK_SECONDS):
                await self._wake.wait()
            self._wake.clear()
            now = clock.now()
            if not self.may_act(now) or self.frozen:
                await curio.sleep(TICK_SECONDS)
                continue
            self.engine.set_log_up(self._context.writer.log_writable)
            self.engine.tick(now)
            await self._execute_commands()

    async def wake(self) -> None:
        """Wake the loop after an event."""
        await self._wake.set()

    async def set_endpoints(self, infos: list[places.EndpointInfo]) -> None:
        """Set the endpoints of this shard from the host list."""
        for info in infos:
            if self._infos.get(info.name) == info:
                continue
            self._infos[info.name] = info
            self.engine.set_endpoint(info, clock.now())
            await self._ensure_driver(info)
        await self.wake()

    async def _ensure_driver(self, info: places.EndpointInfo) -> None:
        """Keep one driver for an endpoint, at its current address."""
        old = self._drivers.pop(info.name, None)
        if old is not None:
            if old.is_connected_to(info):
                self._drivers[info.name] = old
                return
            await old.stop()
        if info.state == places.EndpointState.GONE:
            return
        driver = endpoint_driver.EndpointDriver(
            info, self._context.connect(info), self
        )
        self._drivers[info.name] = driver
        await driver.start()

    async def wait_starts_sent(self, timeout: float) -> bool:
        """Wait until no start request is queued or in flight.

        Returns False after `timeout` seconds.
        """
        deadline = clock.now() + timeout
        while any(d.has_pending_starts for d in self._drivers.values()):
            if clock.now() >= deadline:
                return False
            await curio.sleep(PENDING_STARTS_POLL_SECONDS)
        return True

    async def _execute_commands(self) -> None:
        """Execute all commands of the engine."""
        for command in self.engine.pop_commands():
            if isinstance(command, commands.StartTasks):
                await self._start_tasks(command)
            elif isinstance(command, commands.WriteRecord):
                await self._write_record(command.record)
            elif isinstance(command, commands.JobFinal | commands.JobRecorded):
                await self._wake_waiters(command.job_id)
            elif isinstance(command, commands.HoldRemote):
                await curio.spawn(
                    self._context.remote.reserve_and_start,
                    self,
                    command,
                    daemon=True,
                )
            elif isinstance(command, commands.ReportTask):
                await curio.spawn(
                    self._context.remote.report, self, command, daemon=True
                )
            elif isinstance(command, commands.StopRemote):
                await curio.spawn(
                    self._context.remote.stop, self, command, daemon=True
                )
            else:
                await self._spawn_endpoint_command(command)

    async def _start_tasks(self, command: commands.StartTasks) -> None:
        driver = self._drivers.get(command.endpoint)
        if driver is not None:
            await driver.queue_starts(command.orders)
            return
        names = [request.task for request in command.orders]
        self.engine.handle_start_failure(
            command.endpoint, names, False, clock.now()
        )

    async def _spawn_endpoint_command(self, command) -> None:
        """Execute a command for one endpoint in the background."""
        driver = self._drivers.get(command.endpoint)
        if driver is not None:
            await curio.spawn(driver.execute, command, daemon=True)

    async def _write_record(self, record: zone_records.ZoneRecord) -> None:
        data = codec.encode(record)
        if not await self._context.writer.add(record.record_id, data):
            self.engine.handle_record_failed(record.record_id, clock.now())
            await self.wake()

    async def _wake_waiters(self, job_id: str) -> None:
        waiter = self._waiters.pop(job_id, None)
        if waiter is not None:
            await waiter.set()

    async def handle_record_read(self, record_id: str, valid: bool) -> None:
        """Confirm or fail a record of this shard that was read back."""
        if valid:
            self.engine.handle_record_confirmed(record_id, clock.now())
        else:
            self.engine.handle_record_failed(record_id, clock.now())
        await self.wake()

    async def handle_records_refused(self, record_ids: list[str]) -> None:
        """Fail records that are known not to be written."""
        for record_id in record_ids:
            self.engine.handle_record_failed(record_id, clock.now())
        await self.wake()

    async def wait_final(
        self, job_id: str, timeout: float
    ) -> model.Job | None:
        """Wait up to `timeout` s for a job's final outcome; return the job."""
        await self._wait(job_id, timeout, self.is_reportable)
        return self.engine.jobs.get(job_id)

    async def wait_recorded(self, job_id: str, timeout: float) -> bool:
        """Wait until a durable job is on the log or final.

        Returns False after `timeout` seconds.
        """

        def recorded(job: model.Job) -> bool:
            return job.recorded or job.outcome.final

        return await self._wait(job_id, timeout, recorded)

    async def wait_intents(
        self, job_id: str, tasks: list[int], timeout: float
    ) -> bool:
        """Wait until the start intents of tasks are on the log.

        Returns False after `timeout` seconds, or if the job is final.
        """

        def intents_recorded(job: model.Job) -> bool:
            return job.intents >= set(tasks) or job.outcome.final

        if not await self._wait(job_id, timeout, intents_recorded):
            return False
        return not self.engine.jobs[job_id].outcome.final

    async def _wait(
        self,
        job_id: str,
        timeout: float,
        predicate: collections.abc.Callable[[model.Job], bool],
    ) -> bool:
        """Wait up to `timeout` s until `predicate` holds for a job."""
        deadline = clock.now() + timeout
        while not self.stopped:
            job = self.engine.jobs.get(job_id)
            if job is None:
                return False
            if predicate(job):
                return True
            remaining = deadline - clock.now()
            if remaining <= 0:
                return False
            waiter = self._waiters.setdefault(job_id, curio.Event())
            async with curio.ignore_after(remaining):
                await waiter.wait()
        return False

    def is_reportable(self, job: model.Job) -> bool:
        """Return whether a job's outcome is final and may be reported."""
        return job.outcome.final and self.engine.may_report_outcome(
            job.spec.job_id
        )
