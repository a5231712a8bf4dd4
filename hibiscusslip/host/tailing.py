"""Tail topics of the store through outages and truncated history."""

import abc
import contextlib
import math

import curio

from hibiscusslip.host import context
from hibiscusslip.host import record_errors
from hibiscusslip.host import repeating
from hibiscusslip.host import slices
from hibiscusslip.host import store_share
from hibiscusslip.http import messages
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

CALL_TIMEOUT_S = 1.2
MIN_RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.4
LOSSY_WAIT_S = 0.15  # a lost answer is noticed only after the wait


class Tail(abc.ABC):
    """Tail one topic; subclasses apply its records."""

    topic = ''
    wait = 0.5  # how long the store may delay a read for a record, in s
    read_pause = 0.0  # between two reads, in s
    timeout = CALL_TIMEOUT_S  # of a read, beyond `wait`, in s
    # Whether records are followed by a read that doesn't wait, which shows
    # that no others were written while they arrived.
    confirms_records = False
    max_lag = math.inf  # after which a snapshot replaces the history, in s

    def __init__(self, ctx: context.Context) -> None:
        self.ctx = ctx
        self.part = 0
        self.offset: int | None = None
        self.behind = False  # the last read didn't reach the end
        self._retry_pause = MIN_RETRY_PAUSE_S
        self._failing = False
        self._caught_up_at = 0.0
        self._confirmed = False
        # When the store had to answer the present read. An answer without
        # records tells nothing about later times, as it may arrive late.
        self.answer_due_at = 0.0

    @property
    def failing(self) -> bool:
        """Return True if the last read failed."""
        return self._failing

    @abc.abstractmethod
    async def load_snapshot(self) -> int:
        """Apply the current records; return the offset to continue from."""

    @abc.abstractmethod
    async def apply(self, offset: int, record: bytes) -> None:
        """Apply one record."""

    async def handle_caught_up(self, batch: store.Batch) -> None:  # noqa: B027
        """Handle that all records before the end of `batch` are applied."""
        return None

    def pause_after_read(self) -> float:
        """Return the pause before the next read, in seconds."""
        return self.read_pause

    def _shared_retry_pause(self) -> float:
        own = self.ctx.ownership
        return store_share.retry_pause(
            self._retry_pause, self.ctx.store_slowdown, own.tie_break
        )

    async def run(self) -> None:
        """Tail the topic until cancelled."""
        while True:
            try:
                await self.read_once(self._next_wait())
                self._failing = False
                self._retry_pause = MIN_RETRY_PAUSE_S
                if pause := self.pause_after_read():
                    await curio.sleep(pause)
            except exceptions.HistoryTrimmed as exc:
                self.ctx.log.note(
                    'history_gone', topic=self.topic, first=exc.first
                )
                self.offset = None
            except exceptions.PlatformError as exc:
                self._failing = True
                self.ctx.record_store_failure(str(exc))
                self._report_failure(exc)
                await curio.sleep(self._shared_retry_pause())
                self._retry_pause = min(
                    self._retry_pause * 2, MAX_RETRY_PAUSE_S
                )

    def _next_wait(self) -> float:
        if self._failing:
            return 0.0  # the first answer shows that the store is back
        if self.confirms_records and not self._confirmed:
            return 0.0
        if self.ctx.repeats.is_lossy(context.monotonic()):
            return min(self.wait, LOSSY_WAIT_S)
        return self.wait

    async def read_to_end(self) -> None:
        """Apply all records that the store has now; raises PlatformError.

        A read returns a part of them, and a concurrent one that was sent
        earlier may have been faster.
        """
        end = await self.read_once(0.0)
        while self.offset is None or self.offset < end:
            start = self.offset
            await self.read_once(0.0)
            if self.offset is not None and self.offset == start:
                raise exceptions.StoreOutcomeUnknown(
                    'the store sent no record before the end; read again'
                )

    async def read_once(self, wait: float) -> int:
        """Read and apply the next records; raises PlatformError.

        Returns where the topic ended, which may be beyond what was read.
        """
        if context.monotonic() > self._caught_up_at + self.max_lag:
            self.offset = None
        if self.offset is None:
            self.offset = await self.load_snapshot()
            self._caught_up_at = context.monotonic()
            self.ctx.record_store_success(self._caught_up_at)
        self.answer_due_at = context.monotonic() + wait
        batch = await self._read(self.offset, wait)
        self.ctx.record_store_success(context.monotonic())
        self._count_bytes(sum(len(record) for record in batch.records))
        if batch.start >= self.offset:
            await self._apply_batch(batch)
        # else a concurrent read_once() was faster
        self.behind = self.offset is None or self.offset < batch.end
        return batch.end

    async def _read(self, offset: int, wait: float) -> store.Batch:
        """Read from an offset on; raises PlatformError."""

        async def read(timeout: float, began: repeating.Began) -> store.Batch:
            return await self.ctx.store.read(
                self.topic, offset, wait, timeout, self.part, began
            )

        batch: store.Batch = await repeating.call(
            self.ctx, read, self.timeout, wait
        )
        return batch

    async def _apply_safely(self, offset: int, record: bytes) -> None:
        """Apply one record, or leave it out if it has an unexpected form."""
        with self._leaving_out(offset):
            await self.apply(offset, record)

    def _leaving_out(
        self, offset: int, key: str = ''
    ) -> contextlib.AbstractContextManager[None]:
        """Return a context in which one record may fail to be applied."""
        return record_errors.leaving_out(
            self.ctx, self.topic, self.part, offset, key
        )

    def _report_failure(self, exc: exceptions.PlatformError) -> None:
        """Log a failed read and how much of its response had arrived."""
        transfer = messages.NO_TRANSFER
        if isinstance(exc, exceptions.StoreOutcomeUnknown):
            transfer = exc.transfer
        self._count_bytes(transfer.received)
        self.ctx.metrics.count('tail_failures', topic=self.topic)
        self.ctx.log.note(
            'tail_failed',
            topic=self.topic,
            error=str(exc)[:120],
            received=transfer.received,
            expected=transfer.expected,
            first_byte_after=transfer.first_byte_after,
        )

    def _count_bytes(self, size: int) -> None:
        """Count bytes of records received, also those of failed reads."""
        self.ctx.metrics.count('tail_bytes', size, topic=self.topic)

    async def _apply_batch(self, batch: store.Batch) -> None:
        work = slices.Slices()
        for number, record in enumerate(batch.records):
            await work.pause_if_due()
            offset = batch.start + number
            if self.offset is not None and offset >= self.offset:
                self.offset = offset + 1
                await self._apply_safely(offset, record)
        if self.offset is not None and self.offset >= batch.end:
            self._caught_up_at = context.monotonic()
            self._confirmed = not batch.records
            await self.handle_caught_up(batch)
