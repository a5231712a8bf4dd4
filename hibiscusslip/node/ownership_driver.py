"""Execute the actions that the ownership code decides on."""

import abc
import collections.abc

import curio
from loguru import logger

from hibiscusslip import codec
from hibiscusslip.jobs import index as jobs_index
from hibiscusslip.jobs import snapshots
from hibiscusslip.model import places
from hibiscusslip.node import appender
from hibiscusslip.node import clock
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import owner
from hibiscusslip.peer import base as peer_base
from hibiscusslip.peer import exceptions as peer_exceptions
from hibiscusslip.peer import messages
from hibiscusslip.platform import base as platform_base
from hibiscusslip.platform import exceptions as platform_exceptions
from hibiscusslip.records import zone as zone_records

CALL_TIMEOUT_SECONDS = 1.5
TICK_SECONDS = 0.1


class ShardEventHandler(abc.ABC):
    """Handle changes of the ownership of shards."""

    @abc.abstractmethod
    async def on_shard_acquired(self, action: actions.ShardAcquired) -> None:
        """Start acting for a shard as soon as its lease allows it."""

    @abc.abstractmethod
    async def on_shard_lost(self, action: actions.ShardLost) -> None:
        """Stop acting for a shard."""

    @abc.abstractmethod
    async def on_lease_resumed(self, action: actions.LeaseResumed) -> None:
        """Rebuild a shard as after a failover: others may have acted on it."""

    @abc.abstractmethod
    async def on_transfer_suggested(
        self, action: actions.SuggestTransfer
    ) -> None:
        """Transfer a shard to the suggested successor."""

    @abc.abstractmethod
    async def on_transfer_failed(self, action: actions.TransferFailed) -> None:
        """Resume acting for a shard whose transfer had no effect."""


class OwnershipDriver:
    """Tick the ownership code and execute its actions."""

    def __init__(
        self,
        ownership: owner.Ownership,
        log: platform_base.Log,
        stream: str,
        peers: peer_base.Peers,
        handler: ShardEventHandler,
        index: jobs_index.JobIndex,
        writer: appender.Appender,
        ids: collections.abc.Iterator[str],
        me: places.HostId,
    ) -> None:
        self._ownership = ownership
        self._log = log
        self._stream = stream
        self._peers = peers
        self._handler = handler
        self._index = index
        self._writer = writer
        self._ids = ids
        self._me = me
        self._lock = curio.Lock()
        self.log_writable = True

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            await self.tick()
            await curio.sleep(TICK_SECONDS)

    async def tick(self) -> None:
        """Execute the actions that are due now."""
        # Two loops call this; the lock keeps their actions in order.
        async with self._lock:
            for action in self._ownership.tick(clock.now()):
                await self._execute(action)

    async def _execute(self, action: actions.Action) -> None:
        if isinstance(action, actions.AppendRecord):
            await curio.spawn(self._append, action.record, daemon=True)
        elif isinstance(action, actions.RequestPromise):
            await curio.spawn(self._request_promise, action, daemon=True)
        elif isinstance(action, actions.Introduce):
            await curio.spawn(self._introduce, action, daemon=True)
        elif isinstance(action, actions.ShardAcquired):
            await self._handler.on_shard_acquired(action)
        elif isinstance(action, actions.ShardLost):
            await self._handler.on_shard_lost(action)
        elif isinstance(action, actions.LeaseResumed):
            await self._handler.on_lease_resumed(action)
        elif isinstance(action, actions.SuggestTransfer):
            await self._handler.on_transfer_suggested(action)
        elif isinstance(action, actions.TransferFailed):
            await self._handler.on_transfer_failed(action)
        else:
            await self._write_snapshot(action)

    async def _append(self, record: zone_records.ZoneRecord) -> None:
        """Append one record; reading it back shows whether it is valid."""
        record_id = record.record_id
        data = codec.encode(record)
        self._ownership.on_append_sent(record_id, clock.now())
        try:
            await self._log.append(self._stream, [data])
            outcome = owner.AppendOutcome.APPENDED
        except platform_exceptions.AppendOutcomeUnknown:
            outcome = owner.AppendOutcome.UNKNOWN
        except platform_exceptions.PlatformError as exc:
            logger.debug('zone record not appended: {}', exc)
            outcome = owner.AppendOutcome.REFUSED
        self.log_writable = outcome is owner.AppendOutcome.APPENDED
        self._ownership.on_append_outcome(record_id, outcome, clock.now())

    async def _request_promise(self, action: actions.RequestPromise) -> None:
        reply = await self._call(action.host, action.request)
        if isinstance(reply, messages.PromiseReply):
            self._ownership.on_promise_reply(action.host, reply, clock.now())

    async def _introduce(self, action: actions.Introduce) -> None:
        reply = await self._call(action.host, action.request)
        if isinstance(reply, messages.IntroductionReply):
            self._ownership.on_introduction_reply(
                action.host, reply, clock.now()
            )

    async def _call(
        self, host: places.HostId, body: messages.PeerMessage
    ) -> messages.PeerMessage | None:
        try:
            return await self._peers.call(
                host.name,
                body,
                CALL_TIMEOUT_SECONDS,
                incarnation=host.incarnation,
            )
        except peer_exceptions.PeerError as exc:
            logger.debug('{}: {}', host, exc)
            return None

    async def _write_snapshot(self, action: actions.SnapshotDue) -> None:
        """Append a shard's recorded jobs again before the retention ends."""
        head = zone_records.Snapshot(
            record_id='',
            shard=action.shard,
            epoch=action.epoch,
            seq=action.seq,
            host=self._me.name,
            incarnation=self._me.incarnation,
            as_of=action.as_of,
            part=0,
            parts=1,
            jobs=[],
            drained=sorted(self._index.drained),
        )
        jobs = self._index.export(action.shard)
        for part in snapshots.split(head, jobs, self._ids):
            await self._writer.add(part.record_id, codec.encode(part))
