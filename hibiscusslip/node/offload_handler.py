"""Serve remote home shards that offload tasks to shards owned here."""

from hibiscusslip.jobs import engine as jobs_engine
from hibiscusslip.model import places
from hibiscusslip.node import clock
from hibiscusslip.node import fleet
from hibiscusslip.node import home
from hibiscusslip.node import peer_handler
from hibiscusslip.node import remote_starts
from hibiscusslip.node import shard_runner
from hibiscusslip.peer import messages
from hibiscusslip.records import job as job_records


class OffloadHandler:
    """Handle holds, commits, queries, reports and stops of other hosts."""

    def __init__(
        self, shards: fleet.Fleet, starts: remote_starts.RemoteStarts
    ) -> None:
        self._fleet = shards
        self._starts = starts

    def register_handlers(self, handler: peer_handler.PeerHandler) -> None:
        """Register the handlers of the calls about offloaded tasks."""
        handler.register(messages.HoldRequest, self._hold)
        handler.register(messages.CommitRequest, self._commit)
        handler.register(messages.ReleaseRequest, self._release)
        handler.register(messages.RemoteTaskQuery, self._query)
        handler.register(messages.RemoteTaskReport, self._report)
        handler.register(messages.StopTasks, self._stop)

    def _require_runner(
        self, zone: str, number: int
    ) -> shard_runner.ShardRunner:
        """Return the runner of a shard; raise NotOwner if it may not act."""
        runner = self._fleet.runners.get(number)
        shard = places.Shard(zone, number)
        if runner is None or runner.shard != shard:
            raise home.NotOwner(shard)
        if runner.frozen or not runner.may_act(clock.now()):
            raise home.NotOwner(shard)
        return runner

    async def _hold(self, sender, body: messages.HoldRequest):
        runner = self._require_runner(body.zone, body.shard)
        now = clock.now()
        offload_hold = jobs_engine.OffloadHold(
            places.Shard(body.home_zone, body.home_shard),
            body.home_epoch,
            job_records.decode_job(body.job),
            body.attempt,
            [],
            now + body.duration,
        )
        tasks = runner.engine.hold(body.hold_id, offload_hold, body.tasks, now)
        return messages.HoldReply(body.hold_id, tasks)

    async def _commit(self, sender, body: messages.CommitRequest):
        runner = self._require_runner(body.zone, body.shard)
        committed = runner.engine.commit_hold(body.hold_id, clock.now())
        await runner.wake()
        return messages.CommitReply(body.hold_id, committed)

    async def _release(self, sender, body: messages.ReleaseRequest):
        runner = self._require_runner(body.zone, body.shard)
        runner.engine.release_hold(body.hold_id, clock.now())
        await runner.wake()
        return messages.Done()

    async def _query(self, sender, body: messages.RemoteTaskQuery):
        runner = self._require_runner(body.zone, body.shard)
        home_shard = places.Shard(body.home_zone, body.home_shard)
        reports = runner.engine.query_offloaded(
            home_shard, body.home_epoch, body.tasks, clock.now()
        )
        states = [remote_starts.encode_report(report) for report in reports]
        return messages.RemoteTaskReport(
            states, body.home_zone, body.home_shard, str(runner.shard)
        )

    async def _report(self, sender, body: messages.RemoteTaskReport):
        runner = self._require_runner(body.home_zone, body.home_shard)
        await self._starts.handle_report(runner, body.place, body)
        return messages.Done()

    async def _stop(self, sender, body: messages.StopTasks):
        runner = self._require_runner(body.zone, body.shard)
        home_shard = places.Shard(body.home_zone, body.home_shard)
        runner.engine.stop_offloaded(
            home_shard, body.home_epoch, body.tasks, clock.now()
        )
        await runner.wake()
        return messages.Done()
