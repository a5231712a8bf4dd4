"""Transfer the ownership of shards to other hosts, with their state."""

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
PENDING_STARTS_TIMEOUT_SECONDS = 5.0
COMMIT_ATTEMPTS = 40
COMMIT_PAUSE_SECONDS = 0.05


class ShardTransfers:
    """Send and receive the state of shards in planned transfers."""

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
        """Transfer a shard to a successor; return False if it stays here."""
        runner = self._fleet.runners.get(shard)
        if runner is None or shard in self._in_progress:
            return False
        if runner.engine.unsettled:
            logger.info(
                'shard {} is not transferred: a start is unconfirmed', shard
            )
            return False
        plan = self._ownership.plan_transfer(shard, successor, clock.now())
        if isinstance(plan, actions.TransferRefused):
            logger.info('shard {} is not transferred: {}', shard, plan.reason)
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
        sent = await runner.wait_starts_sent(PENDING_STARTS_TIMEOUT_SECONDS)
        # A start with an unknown outcome may still reach its endpoint, and
        # only this host knows of it.
        all_confirmed = sent and not runner.engine.unsettled
        if all_confirmed and await self._send_state(runner, plan):
            if await self._commit(plan):
                return True
        if self._ownership.cancel_transfer(plan):
            runner.frozen = False
            await runner.wake()
        return False

    async def _send_state(
        self, runner: shard_runner.ShardRunner, plan: actions.TransferPlan
    ) -> bool:
        """Send all jobs of a shard in parts; each must be confirmed."""
        # Set before the first part is sent: a part without a reply may have
        # arrived.
        runner.state_sent = True
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
            logger.warning('shard transfer to {} failed: {}', successor, exc)
            return False
        return isinstance(reply, messages.Done)

    async def _commit(self, plan: actions.TransferPlan) -> bool:
        """Commit a transfer as soon as no lease renewal is in flight.

        Returns False after COMMIT_ATTEMPTS failed attempts.
        """
        for _ in range(COMMIT_ATTEMPTS):
            refused = self._ownership.commit_transfer(plan, clock.now())
            if refused is None:
                return True
            await curio.sleep(COMMIT_PAUSE_SECONDS)
        return False

    async def handle_part(
        self, sender: places.HostId, body: messages.ShardTransfer
    ) -> messages.PeerMessage:
        """Store one part of a shard's state; the last one completes it."""
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
        """Keep a shard's complete state until this host acquires the shard.

        Returns False if this host may not become the owner now.
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
        # The transfer record increments the epoch by one.
        self._received_jobs[(body.shard, body.epoch + 1)] = jobs
        while len(self._received_jobs) > MAX_TRANSFERS:
            del self._received_jobs[next(iter(self._received_jobs))]
        return True

    def pop_received_jobs(self, shard: int, epoch: int) -> list[model.Job]:
        """Return the jobs received for a shard's epoch, and forget them."""
        return self._received_jobs.pop((shard, epoch), [])
