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
POLL_INTERVAL_SECONDS = 2.0
COMMIT_PAUSE_SECONDS = 0.1
MAX_CANDIDATE_SHARDS = 8
MAX_LOAD_AGE_SECONDS = 10.0

FindOwner = collections.abc.Callable[[places.Shard], str | None]


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteHold:
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
        self._reserving: set[str] = set()

    async def reserve_and_start(
        self, runner: shard_runner.ShardRunner, wanted: commands.HoldRemote
    ) -> None:
        """Hold room for the missing tasks of a gang, then start it."""
        if wanted.job_id in self._reserving:
            return
        self._reserving.add(wanted.job_id)
        try:
            await self._reserve_and_start(runner, wanted)
        finally:
            self._reserving.discard(wanted.job_id)
            await runner.changed()

    async def _reserve_and_start(
        self, runner: shard_runner.ShardRunner, wanted: commands.HoldRemote
    ) -> None:
        job = runner.engine.jobs.get(wanted.job_id)
        if job is None:
            return
        holds = await self._hold_all(runner, job.spec, wanted.tasks)
        if holds and await self._may_start(runner, job.spec, holds):
            await self._start(runner, wanted, holds)
            return
        for hold in holds:
            await self._release(hold)
        runner.engine.scheduler.release_hold(wanted.job_id, clock.now())

    async def _hold_all(
        self,
        runner: shard_runner.ShardRunner,
        spec: work.JobSpec,
        tasks: list[int],
    ) -> list[RemoteHold]:
        """Hold room for all tasks, or release what was held."""
        missing = list(tasks)
        holds: list[RemoteHold] = []
        for shard in self._candidates(runner.shard, spec):
            hold = await self._hold_on_shard(runner, shard, spec, missing)
            if hold is None:
                continue
            holds.append(hold)
            missing = [i for i in missing if i not in hold.tasks]
            if not missing:
                return holds
        for hold in holds:
            await self._release(hold)
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
        loads.sort(
            key=lambda load: _count_fitting_tasks(load, spec), reverse=True
        )
        return [
            places.Shard(x.zone, x.number)
            for x in loads[:MAX_CANDIDATE_SHARDS]
        ]

    async def _hold_on_shard(
        self,
        runner: shard_runner.ShardRunner,
        shard: places.Shard,
        spec: work.JobSpec,
        tasks: list[int],
    ) -> RemoteHold | None:
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
        return RemoteHold(body.hold_id, host, shard, reply.tasks, expires)

    async def _may_start(
        self,
        runner: shard_runner.ShardRunner,
        spec: work.JobSpec,
        holds: list[RemoteHold],
    ) -> bool:
        """Record the start; tell whether the lease outlasts the holds."""
        engine = runner.engine
        tasks = [index for hold in holds for index in hold.tasks]
        shard_names = [str(hold.shard) for hold in holds]
        engine.write_remote_intent(spec.job_id, tasks, shard_names)
        await runner.changed()
        if not await runner.wait_intents(
            spec.job_id, tasks, INTENT_TIMEOUT_SECONDS
        ):
            return False
        now = clock.now()
        left = self._ownership.lease_left(runner.shard.number, now)
        longest = max(hold.expires_at for hold in holds) - now
        soonest = min(hold.expires_at for hold in holds)
        return runner.may_act(now) and left > longest and now < soonest

    async def _start(
        self,
        runner: shard_runner.ShardRunner,
        wanted: commands.HoldRemote,
        holds: list[RemoteHold],
    ) -> None:
        """Start the local part and commit the held ones."""
        now = clock.now()
        engine = runner.engine
        job_id = wanted.job_id
        if not engine.scheduler.commit_hold(job_id, now):
            for hold in holds:
                await self._release(hold)
            return
        margin = 1 + self._relative_drift()
        for hold in holds:
            settled_at = now + (hold.expires_at - now) * margin
            for index in hold.tasks:
                engine.mark_remote(
                    job_id, index, str(hold.shard), settled_at, now
                )
        engine.start_local(wanted.local, now)
        await runner.changed()
        async with curio.TaskGroup() as group:
            for hold in holds:
                await group.spawn(self._commit, runner, job_id, hold)

    def _relative_drift(self) -> float:
        return 2 * self._ownership.timing.drift

    async def _commit(
        self, runner: shard_runner.ShardRunner, job_id: str, hold: RemoteHold
    ) -> None:
        """Commit one hold; ask on until it is settled or has expired."""
        body = messages.CommitRequest(
            hold.hold_id, hold.shard.zone, hold.shard.number
        )
        reason = f'shard {hold.shard} did not start it in time'
        while clock.now() < hold.expires_at:
            reply = await self._call(hold.host, body)
            if isinstance(reply, messages.CommitReply):
                if not reply.committed:
                    self._fail_tasks(runner, job_id, hold, reason)
                return
            await curio.sleep(COMMIT_PAUSE_SECONDS)
        # Whether it was committed shows when the shard is asked later.
        logger.warning('{}: no word on {} from {}', job_id, hold, hold.host)

    def _fail_tasks(
        self,
        runner: shard_runner.ShardRunner,
        job_id: str,
        hold: RemoteHold,
        reason: str,
    ) -> None:
        for index in hold.tasks:
            runner.engine.handle_hold_expired(
                job_id, index, reason, clock.now()
            )

    async def _release(self, hold: RemoteHold) -> None:
        body = messages.ReleaseRequest(
            hold.hold_id, hold.shard.zone, hold.shard.number
        )
        await self._call(hold.host, body)

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

    async def poll(self, runner: shard_runner.ShardRunner) -> None:
        """Ask other shards after the tasks that they have of ours."""
        queries = runner.engine.get_remote_queries(clock.now())
        for place, tasks in queries.items():
            await self._poll_shard(runner, place, tasks)

    async def _poll_shard(
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
            await self.handle_report(runner, place, reply)

    async def handle_report(
        self,
        runner: shard_runner.ShardRunner,
        place: str,
        reply: messages.RemoteTaskReport,
    ) -> None:
        """Take a shard's word on tasks of ours."""
        now = clock.now()
        for state in reply.tasks:
            runner.engine.handle_remote_report(
                place, decode_report(state), now
            )
        await runner.changed()

    async def report(
        self, runner: shard_runner.ShardRunner, command: commands.ReportTask
    ) -> None:
        """Tell a guest's home how its task stands; it asks as well."""
        host = self._find_owner(command.home)
        if host is None:
            return
        body = messages.RemoteTaskReport(
            [encode_report(command.report)],
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


def _count_fitting_tasks(load: messages.ShardLoad, spec: work.JobSpec) -> int:
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


def encode_report(report: commands.RemoteTask) -> messages.RemoteTaskState:
    """Return the message that carries a report."""
    return messages.RemoteTaskState(
        report.task,
        report.attempt,
        report.state.value,
        report.detail,
        report.answer,
    )


def decode_report(state: messages.RemoteTaskState) -> commands.RemoteTask:
    """Return the report that a message carries."""
    return commands.RemoteTask(
        state.task,
        state.attempt,
        commands.RemoteState(state.state),
        state.detail,
        state.answer,
    )
