"""Feed the owner with accepted jobs and with the entries of endpoints."""

import typing

from hibiscusslip.host import context
from hibiscusslip.host import inbox_positions
from hibiscusslip.host import record_errors
from hibiscusslip.host import recovery
from hibiscusslip.host import slices
from hibiscusslip.host import tailing
from hibiscusslip.host import topics
from hibiscusslip.platform import store

if typing.TYPE_CHECKING:
    from hibiscusslip.host import owner as owners


class InboxFeed(tailing.Tail):
    """Tail one partition of the inbox: accepted jobs and cancellations."""

    topic = topics.INBOX
    wait = 1.0

    def __init__(self, owner: 'owners.Owner', part: int, offset: int) -> None:
        super().__init__(owner.ctx)
        self._owner = owner
        self.part = part
        self.offset = offset

    async def load_snapshot(self) -> int:
        """Read the whole partition again after its history was truncated."""
        newest = await self.ctx.store.newest(
            self.topic, recovery.READ_TIMEOUT_S, self.part
        )
        work = slices.Slices()
        for key, value in newest.values.items():
            await work.pause_if_due()
            with self._leaving_out(newest.offsets[key], key):
                self._apply(newest.offsets[key], key, value)
        return newest.end

    async def apply(self, offset: int, record: bytes) -> None:
        """Apply one accepted job or cancellation."""
        key, value = store.decode_keyed(record)
        self._apply(offset, key, value)
        await self._owner.plan_wakeup.set()

    def _apply(self, offset: int, key: str, value: bytes) -> None:
        position = inbox_positions.Position(self.part, offset)
        self._owner.intake.apply(key, value, position)


class EndpointFeed(tailing.Tail):
    """Tail the entries that endpoints publish."""

    topic = store.ENDPOINTS_TOPIC
    wait = 0.0
    read_pause = 0.25

    def __init__(self, owner: 'owners.Owner', offset: int) -> None:
        super().__init__(owner.ctx)
        self._owner = owner
        self.offset = offset

    async def load_snapshot(self) -> int:
        """Apply the newest entry of each endpoint; unregister the others."""
        newest = await self.ctx.store.newest(
            self.topic, recovery.READ_TIMEOUT_S
        )
        for name in list(self._owner.engine.endpoints):
            if not newest.values.get(name):
                self._owner.engine.unregister_endpoint(
                    name, context.monotonic()
                )
        work = slices.Slices()
        for name, value in newest.values.items():
            await work.pause_if_due()
            with self._leaving_out(newest.offsets[name], name):
                await self._apply_entry(name, value)
        return newest.end

    async def handle_caught_up(self, batch: store.Batch) -> None:
        """Record that all entries are known."""
        self._owner.endpoints_read_at = context.monotonic()

    async def apply(self, offset: int, record: bytes) -> None:
        """Apply one entry, or its removal."""
        await self._apply_entry(*store.decode_keyed(record))

    async def _apply_entry(self, name: str, value: bytes) -> None:
        now = context.monotonic()
        engine = self._owner.engine
        entry = None
        if value:
            entry = record_errors.read_entry(self.ctx, name, value)
        if entry is None:
            engine.unregister_endpoint(name, now)
            return
        engine.register_endpoint(entry, now)
        await self._owner.open_session(name)
