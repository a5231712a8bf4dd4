"""Start, stop and transfer shards as the ownership code decides."""

import curio

from hibiscusslip.node import fleet
from hibiscusslip.node import history
from hibiscusslip.node import ownership_driver
from hibiscusslip.node import shard_transfer
from hibiscusslip.ownership import actions


class ShardEvents(ownership_driver.ShardEventHandler):
    """Apply changes of the ownership of shards to their runners."""

    def __init__(
        self,
        events: history.History,
        shards: fleet.Fleet,
        transfers: shard_transfer.ShardTransfers,
    ) -> None:
        self._history = events
        self._fleet = shards
        self._transfers = transfers

    async def on_shard_acquired(self, action: actions.ShardAcquired) -> None:
        """Start acting for a shard as soon as its lease allows it."""
        why = 'it was free, or its owner fell silent'
        if action.by_transfer:
            why = 'its owner handed it over'
        self._history.note(f'took shard {action.shard} over', why)
        await self._fleet.add_acquired_shard(
            action.shard, action.epoch, action.by_transfer
        )

    async def on_shard_lost(self, action: actions.ShardLost) -> None:
        """Stop acting for a shard."""
        self._history.note(
            f'let shard {action.shard} go', 'the log names a newer owner'
        )
        await self._fleet.remove_shard(action.shard)

    async def on_lease_resumed(self, action: actions.LeaseResumed) -> None:
        """Rebuild a shard as after a failover: others may have acted on it."""
        self._history.note(
            f'went on with shard {action.shard}',
            'its lease had lapsed, and all hosts of the zone agreed',
        )
        await self._fleet.add_acquired_shard(action.shard, action.epoch)

    async def on_transfer_suggested(
        self, action: actions.SuggestTransfer
    ) -> None:
        """Transfer a shard to the suggested successor."""
        await curio.spawn(
            self._transfers.transfer_shard,
            action.shard,
            action.successor,
            daemon=True,
        )

    async def on_transfer_failed(self, action: actions.TransferFailed) -> None:
        """Resume acting for a shard whose transfer had no effect."""
        runner = self._fleet.runners.get(action.shard)
        if runner is not None:
            runner.frozen = False
            await runner.wake()
