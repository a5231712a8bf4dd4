"""Hand shards over in a planned way, and take them so."""

import collections

import curio
from loguru import logger

from hibiscusslip import codec
from hibiscusslip.jobs import handover
from hibiscusslip.jobs import model
from hibiscusslip.jobs import snapshots
from hibiscusslip.model import places
from hibiscusslip.node import clock
from hibiscusslip.node import fleet
from hibiscusslip.node import shard_runner
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import owner
from hibiscusslip.peer import base as peer_base
from hibiscusslip.peer import exceptions as peer_exceptions
from hibiscusslip.peer import messages

MAX_PART_BYTES = 256 * 1024
MAX_PARTS = 4096
MAX_TRANSFERS = 64
PART_TIMEOUT_SECONDS = 5.0
SENDS_TIMEOUT_SECONDS = 5.0
COMMIT_ATTEMPTS = 40
COMMIT_PAUSE_SECONDS = 0.05


class ShardTransfers:
    """Send and receive the state of shards."""

    def __init__(
        self,
        ownership: owner.Ownership,
        shards: fleet.Fleet,
        peers: peer_base.Peers,
    ) -> None:
        self._ownership = ownership
        self._fleet = shards
        self._peers = peers
        self._parts: collections.OrderedDict[str, dict[int, bytes]] = (
            collections.OrderedDict()
        )
        self._received_jobs: dict[tuple[int, int], list[model.Job]] = {}
        self._in_progress: set[int] = set()

    async def transfer_shard(
        self, shard: int, successor: places.HostId
    ) -> bool:
        """Hand a shard over; False when it stays here."""
        runner = self._fleet.runners.get(shard)
        if runner is None or shard in self._in_progress:
            return False
        if runner.engine.unsettled:
            logger.info('shard {} stays: a start is not settled yet', shard)
            return False
        plan = self._ownership.plan_transfer(shard, successor, clock.now())
        if isinstance(plan, actions.TransferRefused):
            logger.info('shard {} stays: {}', shard, plan.reason)
            return False
        self._in_progress.add(shard)
        try:
            return await self._execute_plan(runner, plan)
        finally:
            self._in_progress.discard(shard)

    async def _execute_plan(
        self, runner: shard_runner.ShardRunner, plan: actions.TransferPlan
    ) -> bool:
        runner.frozen = True
        sent = await runner.wait_starts_sent(SENDS_TIMEOUT_SECONDS)
        # A start in doubt may still arrive; only this host knows of it.
        settled = sent and not runner.engine.unsettled
        if settled and await self._send_state(runner, plan):
            if await self._commit(plan):
                return True
        if self._ownership.cancel_transfer(plan):
            runner.frozen = False
            await runner.changed()
        return False

    async def _send_state(
        self, runner: shard_runner.ShardRunner, plan: actions.TransferPlan
    ) -> bool:
        """Send all jobs of a shard, part by part, each one confirmed."""
        jobs = [handover.pack(job) for job in runner.engine.jobs.values()]
        groups = snapshots.group_by_size(jobs, MAX_PART_BYTES)
        parts = [codec.encode_list(group) for group in groups]
        for number, part in enumerate(parts):
            body = messages.ShardTransfer(
                plan.transfer_id,
                plan.shard,
                plan.epoch,
                number,
                len(parts),
                part,
            )
            if not await self._send_part(plan.successor, body):
                return False
        return True

    async def _send_part(
        self, successor: places.HostId, body: messages.ShardTransfer
    ) -> bool:
        try:
            reply = await self._peers.call(
                successor.name,
                body,
                PART_TIMEOUT_SECONDS,
                incarnation=successor.incarnation,
            )
        except peer_exceptions.PeerError as exc:
            logger.warning('hand-over to {} failed: {}', successor, exc)
            return False
        return isinstance(reply, messages.Done)

    async def _commit(self, plan: actions.TransferPlan) -> bool:
        """Commit once no renewal of the shard is in flight."""
        for _ in range(COMMIT_ATTEMPTS):
            refused = self._ownership.commit_transfer(plan, clock.now())
            if refused is None:
                return True
            await curio.sleep(COMMIT_PAUSE_SECONDS)
        return False

    async def handle_part(
        self, sender: places.HostId, body: messages.ShardTransfer
    ) -> messages.PeerMessage:
        """Take one part of a shard's state."""
        if not 0 <= body.part < body.parts <= MAX_PARTS:
            return messages.Refusal('malformed', 'no such part')
        parts = self._parts.setdefault(body.transfer_id, {})
        parts[body.part] = body.state
        while len(self._parts) > MAX_TRANSFERS:
            self._parts.popitem(last=False)
        if len(parts) == body.parts and not self._complete_state(body, parts):
            detail = 'a host of the zone does not know this one yet; try later'
            return messages.Refusal('not_known', detail)
        return messages.Done()

    def _complete_state(
        self, body: messages.ShardTransfer, parts: dict[int, bytes]
    ) -> bool:
        """Keep a shard's whole state for the moment the shard is ours.

        False when it may not become ours.
        """
        now = clock.now()
        self._parts.pop(body.transfer_id, None)
        if not self._ownership.on_state_received(body.transfer_id, now):
            return False
        jobs = [
            handover.unpack(data, now)
            for number in sorted(parts)
            for data in codec.decode(parts[number], list[bytes])
        ]
        # The transfer record makes the epoch grow by one.
        self._received_jobs[(body.shard, body.epoch + 1)] = jobs
        while len(self._received_jobs) > MAX_TRANSFERS:
            del self._received_jobs[next(iter(self._received_jobs))]
        return True

    def pop_received_jobs(self, shard: int, epoch: int) -> list[model.Job]:
        """Return and forget the jobs handed over for an epoch."""
        return self._received_jobs.pop((shard, epoch), [])
