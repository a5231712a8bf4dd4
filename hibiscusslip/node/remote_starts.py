"""Gather room on other shards for tasks of own jobs, and start them there.

All or none: nothing starts before room for every task is held, and a start
counts only while the holds last, so a home that was paused starts nothing
after its lease.
"""

import collections.abc
import dataclasses

import curio
from loguru import logger

from hibiscusslip.jobs import commands
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.node import clock
from hibiscusslip.node import shard_runner
from hibiscusslip.ownership import owner
from hibiscusslip.peer import base as peer_base
from hibiscusslip.peer import exceptions as peer_exceptions
from hibiscusslip.peer import messages
from hibiscusslip.records import job as job_records
from hibiscusslip.routing import directory

CALL_TIMEOUT_SECONDS = 1.0
INTENT_TIMEOUT_SECONDS = 2.0
ASK_INTERVAL_SECONDS = 2.0
COMMIT_PAUSE_SECONDS = 0.1
MAX_PLACES = 8
MAX_LOAD_AGE_SECONDS = 10.0

FindOwner = collections.abc.Callable[[places.Shard], str | None]


@dataclasses.dataclass(frozen=True, slots=True)
class HeldPart:
    """Hold which tasks a foreign shard keeps room for, until when here."""

    hold_id: str
    host: str
    shard: places.Shard
    tasks: list[int]
    expires_at: float


class RemoteStarts(shard_runner.RemoteWork):
    """Start and follow tasks on shards that other hosts may own."""

    def __init__(
        self,
        me: places.HostId,
        ownership: owner.Ownership,
        peers: peer_base.Peers,
        owners: directory.ShardDirectory,
        find_owner: FindOwner,
        ids: collections.abc.Iterator[str],
        hold: float,
    ) -> None:
        self._me = me
        self._ownership = ownership
        self._peers = peers
        self._owners = owners
        self._find_owner = find_owner
        self._ids = ids
        self._hold = hold
        self._gathering: set[str] = set()

    async def gather(
        self, runner: shard_runner.ShardRunner, wanted: commands.HoldRemote
    ) -> None:
        """Hold room for the missing tasks of a gang, then start it."""
        if wanted.job_id in self._gathering:
            return
        self._gathering.add(wanted.job_id)
        try:
            await self._gather(runner, wanted)
        finally:
            self._gathering.discard(wanted.job_id)
            await runner.changed()

    async def _gather(
        self, runner: shard_runner.ShardRunner, wanted: commands.HoldRemote
    ) -> None:
        job = runner.engine.jobs.get(wanted.job_id)
        if job is None:
            return
        held = await self._hold_all(runner, job.spec, wanted.tasks)
        if held and await self._may_start(runner, job.spec, held):
            await self._start(runner, wanted, held)
            return
        for part in held:
            await self._release(part)
        runner.engine.scheduler.release_hold(wanted.job_id, clock.now())

    async def _hold_all(
        self,
        runner: shard_runner.ShardRunner,
        spec: work.JobSpec,
        tasks: list[int],
    ) -> list[HeldPart]:
        """Hold room for all tasks, or release what was held."""
        missing = list(tasks)
        held: list[HeldPart] = []
        for shard in self._candidates(runner.shard, spec):
            part = await self._hold_on(runner, shard, spec, missing)
            if part is None:
                continue
            held.append(part)
            missing = [i for i in missing if i not in part.tasks]
            if not missing:
                return held
        for part in held:
            await self._release(part)
        return []

    def _candidates(
        self, home: places.Shard, spec: work.JobSpec
    ) -> list[places.Shard]:
        """Return other shards, those with the most fitting room first."""
        recent_owners = self._owners.recent_owners(
            clock.now(), MAX_LOAD_AGE_SECONDS
        )
        loads = [
            o.load
            for o in recent_owners
            if places.Shard(o.load.zone, o.load.number) != home
        ]
        loads.sort(key=lambda load: _room(load, spec), reverse=True)
        return [places.Shard(x.zone, x.number) for x in loads[:MAX_PLACES]]

    async def _hold_on(
        self,
        runner: shard_runner.ShardRunner,
        shard: places.Shard,
        spec: work.JobSpec,
        tasks: list[int],
    ) -> HeldPart | None:
        host = self._find_owner(shard)
        if host is None:
            return None
        job = runner.engine.jobs[spec.job_id]
        attempt = 1 + max(job.tasks[i].attempt for i in tasks)
        body = messages.HoldRequest(
            next(self._ids),
            shard.zone,
            shard.number,
            runner.shard.zone,
            runner.shard.number,
            runner.epoch,
            job_records.encode_job(spec),
            tasks,
            attempt,
            self._hold,
        )
        reply = await self._call(host, body)
        if not isinstance(reply, messages.HoldReply) or not reply.tasks:
            return None
        # The holder counts from when it got the request, so from its reply
        # on the hold lasts no longer than that.
        expires = clock.now() + self._hold
        return HeldPart(body.hold_id, host, shard, reply.tasks, expires)

    async def _may_start(
        self,
        runner: shard_runner.ShardRunner,
        spec: work.JobSpec,
        held: list[HeldPart],
    ) -> bool:
        """Record the start; tell whether the lease outlasts the holds."""
        engine = runner.engine
        tasks = [index for part in held for index in part.tasks]
        at = [str(part.shard) for part in held]
        engine.write_remote_intent(spec.job_id, tasks, at)
        await runner.changed()
        if not await runner.wait_intent(
            spec.job_id, tasks, INTENT_TIMEOUT_SECONDS
        ):
            return False
        now = clock.now()
        left = self._ownership.lease_left(runner.shard.number, now)
        longest = max(part.expires_at for part in held) - now
        soonest = min(part.expires_at for part in held)
        return runner.may_act(now) and left > longest and now < soonest

    async def _start(
        self,
        runner: shard_runner.ShardRunner,
        wanted: commands.HoldRemote,
        held: list[HeldPart],
    ) -> None:
        """Start the local part and commit the held ones."""
        now = clock.now()
        engine = runner.engine
        job_id = wanted.job_id
        if not engine.scheduler.commit_hold(job_id, now):
            for part in held:
                await self._release(part)
            return
        margin = 1 + self._ownership_drift()
        for part in held:
            settled_at = now + (part.expires_at - now) * margin
            for index in part.tasks:
                engine.mark_remote(
                    job_id, index, str(part.shard), settled_at, now
                )
        engine.start_local(wanted.local, now)
        await runner.changed()
        async with curio.TaskGroup() as group:
            for part in held:
                await group.spawn(self._commit, runner, job_id, part)

    def _ownership_drift(self) -> float:
        return 2 * self._ownership.timing.drift

    async def _commit(
        self, runner: shard_runner.ShardRunner, job_id: str, part: HeldPart
    ) -> None:
        """Commit one hold; ask on until it is settled or has expired."""
        body = messages.CommitRequest(
            part.hold_id, part.shard.zone, part.shard.number
        )
        why = f'shard {part.shard} did not start it in time'
        while clock.now() < part.expires_at:
            reply = await self._call(part.host, body)
            if isinstance(reply, messages.CommitReply):
                if not reply.committed:
                    self._give_up(runner, job_id, part, why)
                return
            await curio.sleep(COMMIT_PAUSE_SECONDS)
        # Whether it was committed shows when the shard is asked later.
        logger.warning('{}: no word on {} from {}', job_id, part, part.host)

    def _give_up(
        self,
        runner: shard_runner.ShardRunner,
        job_id: str,
        part: HeldPart,
        why: str,
    ) -> None:
        for index in part.tasks:
            runner.engine.handle_hold_expired(job_id, index, why, clock.now())

    async def _release(self, part: HeldPart) -> None:
        body = messages.ReleaseRequest(
            part.hold_id, part.shard.zone, part.shard.number
        )
        await self._call(part.host, body)

    async def stop(
        self, runner: shard_runner.ShardRunner, command: commands.StopRemote
    ) -> None:
        """Stop a task on another shard."""
        shard = places.parse_shard(command.place)
        host = self._find_owner(shard)
        if host is None:
            return
        body = messages.StopTasks(
            shard.zone,
            shard.number,
            runner.shard.zone,
            runner.shard.number,
            runner.epoch,
            [command.task],
        )
        await self._call(host, body)

    async def ask(self, runner: shard_runner.ShardRunner) -> None:
        """Ask other shards after the tasks that they have of ours."""
        asked = runner.engine.get_remote_queries(clock.now())
        for place, tasks in asked.items():
            await self._ask(runner, place, tasks)

    async def _ask(
        self, runner: shard_runner.ShardRunner, place: str, tasks: list[str]
    ) -> None:
        shard = places.parse_shard(place)
        host = self._find_owner(shard)
        if host is None:
            return
        body = messages.RemoteTaskQuery(
            shard.zone,
            shard.number,
            runner.shard.zone,
            runner.shard.number,
            runner.epoch,
            tasks,
        )
        reply = await self._call(host, body)
        if isinstance(reply, messages.RemoteTaskReport):
            await self.take_report(runner, place, reply)

    async def take_report(
        self,
        runner: shard_runner.ShardRunner,
        place: str,
        reply: messages.RemoteTaskReport,
    ) -> None:
        """Take a shard's word on tasks of ours."""
        now = clock.now()
        for state in reply.tasks:
            runner.engine.handle_remote_report(place, report_of(state), now)
        await runner.changed()

    async def report(
        self, runner: shard_runner.ShardRunner, command: commands.ReportTask
    ) -> None:
        """Tell a guest's home how its task stands; it asks as well."""
        host = self._find_owner(command.home)
        if host is None:
            return
        body = messages.RemoteTaskReport(
            [state_of(command.report)],
            command.home.zone,
            command.home.number,
            str(runner.shard),
        )
        await self._call(host, body)

    async def _call(
        self, host: str, body: messages.PeerMessage
    ) -> messages.PeerMessage | None:
        try:
            return await self._peers.call(host, body, CALL_TIMEOUT_SECONDS)
        except peer_exceptions.PeerError as exc:
            logger.debug('{}: {}', host, exc)
            return None


def _room(load: messages.ShardLoad, spec: work.JobSpec) -> int:
    """Return how many tasks fit a shard, at most, as far as is known."""
    demand = spec.demand
    counts = [load.free_slots]
    if demand.cpu_milli:
        counts.append(load.free_cpu_milli // demand.cpu_milli)
    if demand.memory_mb:
        counts.append(load.free_memory_mb // demand.memory_mb)
    if demand.accelerators:
        counts.append(load.free_accelerators // demand.accelerators)
    return min(counts)


def state_of(report: commands.RemoteTask) -> messages.RemoteTaskState:
    """Return the message that carries a report."""
    return messages.RemoteTaskState(
        report.task,
        report.attempt,
        report.state.value,
        report.detail,
        report.answer,
    )


def report_of(state: messages.RemoteTaskState) -> commands.RemoteTask:
    """Return the report that a message carries."""
    return commands.RemoteTask(
        state.task,
        state.attempt,
        commands.RemoteState(state.state),
        state.detail,
        state.answer,
    )
