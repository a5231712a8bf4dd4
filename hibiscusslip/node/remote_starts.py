"""Hold capacity on other shards for tasks of owned jobs and start them there.

Starts are all-or-nothing: no task starts before capacity for every task is
held. A hold can be committed only until it expires, and the home's lease must
outlast the holds, so a home that was paused starts nothing after its lease.
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
    """Represent capacity that another shard holds for some tasks.

    `expires_at` is by this host's clock.
    """

    hold_id: str
    host: str
    shard: places.Shard
    tasks: list[int]
    expires_at: float


class RemoteStarts(shard_runner.RemoteWork):
    """Start, poll and stop tasks on shards that other hosts may own.

    `hold` is the duration of a hold in seconds.
    """

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
        self, runner: shard_runner.ShardRunner, command: commands.HoldRemote
    ) -> None:
        """Hold capacity for the missing tasks of a gang, then start it.

        Does nothing if that is in progress for the job already.
        """
        if command.job_id in self._reserving:
            return
        self._reserving.add(command.job_id)
        try:
            await self._reserve_and_start(runner, command)
        finally:
            self._reserving.discard(command.job_id)
            await runner.wake()

    async def _reserve_and_start(
        self, runner: shard_runner.ShardRunner, command: commands.HoldRemote
    ) -> None:
        job = runner.engine.jobs.get(command.job_id)
        if job is None:
            return
        holds = await self._hold_all(runner, job.spec, command.tasks)
        if holds and await self._may_start(runner, job.spec, holds):
            await self._start(runner, command, holds)
            return
        for hold in holds:
            await self._release(hold)
        runner.engine.scheduler.release_hold(command.job_id, clock.now())

    async def _hold_all(
        self,
        runner: shard_runner.ShardRunner,
        spec: work.JobSpec,
        tasks: list[int],
    ) -> list[RemoteHold]:
        """Hold capacity for all tasks; release all holds if some lack it."""
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
        """Return other shards, those that fit the most tasks first."""
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
        # The other shard counts the duration from its receipt of the request,
        # so by this host's clock the hold expires no later than this.
        expires = clock.now() + self._hold
        return RemoteHold(body.hold_id, host, shard, reply.tasks, expires)

    async def _may_start(
        self,
        runner: shard_runner.ShardRunner,
        spec: work.JobSpec,
        holds: list[RemoteHold],
    ) -> bool:
        """Record the start intents; return whether the start may go on.

        The shard's lease must outlast all holds, and no hold may have expired.
        """
        engine = runner.engine
        tasks = [index for hold in holds for index in hold.tasks]
        shard_names = [str(hold.shard) for hold in holds]
        engine.write_remote_intent(spec.job_id, tasks, shard_names)
        await runner.wake()
        if not await runner.wait_intents(
            spec.job_id, tasks, INTENT_TIMEOUT_SECONDS
        ):
            return False
        now = clock.now()
        lease_left = self._ownership.lease_left(runner.shard.number, now)
        longest = max(hold.expires_at for hold in holds) - now
        soonest = min(hold.expires_at for hold in holds)
        return runner.may_act(now) and lease_left > longest and now < soonest

    async def _start(
        self,
        runner: shard_runner.ShardRunner,
        command: commands.HoldRemote,
        holds: list[RemoteHold],
    ) -> None:
        """Start the local tasks and commit the holds of the remote ones."""
        now = clock.now()
        engine = runner.engine
        job_id = command.job_id
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
        engine.start_local(command.local, now)
        await runner.wake()
        async with curio.TaskGroup() as group:
            for hold in holds:
                await group.spawn(self._commit, runner, job_id, hold)

    def _relative_drift(self) -> float:
        """Return the largest relative drift between two hosts' clocks."""
        return 2 * self._ownership.timing.drift

    async def _commit(
        self, runner: shard_runner.ShardRunner, job_id: str, hold: RemoteHold
    ) -> None:
        """Commit one hold; retry until there is a reply or it has expired."""
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
        # A later poll of the shard shows whether the hold was committed.
        logger.warning(
            '{}: the commit of {} on {} is unconfirmed',
            job_id,
            hold,
            hold.host,
        )

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
        """Poll other shards for the state of tasks offloaded to them."""
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
        """Process another shard's report on tasks offloaded to it."""
        now = clock.now()
        for state in reply.tasks:
            runner.engine.handle_remote_report(
                place, decode_report(state), now
            )
        await runner.wake()

    async def report(
        self, runner: shard_runner.ShardRunner, command: commands.ReportTask
    ) -> None:
        """Report an offloaded task to its home.

        A lost report does no harm, as the home polls as well.
        """
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
    """Return an upper bound of the tasks that fit a shard, by its load."""
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
    """Return the message for a report."""
    return messages.RemoteTaskState(
        report.task,
        report.attempt,
        report.state.value,
        report.detail,
        report.answer,
    )


def decode_report(state: messages.RemoteTaskState) -> commands.RemoteTask:
    """Return the report in a message."""
    return commands.RemoteTask(
        state.task,
        state.attempt,
        commands.RemoteState(state.state),
        state.detail,
        state.answer,
    )
