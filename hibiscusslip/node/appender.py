"""Append records to a stream in batches, one append in flight.

A record is confirmed only when the stream's reader has read it back. An
append with an unknown outcome therefore needs no special handling: its
records are appended again, which is harmless because a record is identified
by its id and applying it twice has the same effect as once.
"""

import collections
import collections.abc
import dataclasses

import curio

from hibiscusslip.node import clock
from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions

MAX_GROUP_RECORDS = 256
MAX_QUEUE_RECORDS = 4096
LINGER_SECONDS = 0.004
RETRY_SECONDS = 0.5
CONFIRM_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class _Pending:
    record_id: str
    data: bytes
    sent_at: float = 0.0
    may_be_written: bool = False


class Appender:
    """Batch records into appends and retry them until they are read back.

    `on_refused` is called with the ids of records known not to be written.
    """

    def __init__(
        self,
        log: base.Log,
        stream: str,
        on_refused: collections.abc.Callable[
            [list[str]], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self._log = log
        self._stream = stream
        self._on_refused = on_refused
        self._queue: collections.deque[_Pending] = collections.deque()
        self._unconfirmed: dict[str, _Pending] = {}
        self._wake = curio.Event()
        self.appends = 0
        self.records = 0
        self.log_writable = True

    async def add(self, record_id: str, data: bytes) -> bool:
        """Queue a record; return False if the queue is full.

        Queued and unconfirmed records together are at most
        MAX_QUEUE_RECORDS.
        """
        if len(self._queue) + len(self._unconfirmed) >= MAX_QUEUE_RECORDS:
            return False
        self._queue.append(_Pending(record_id, data))
        await self._wake.set()
        return True

    def mark_confirmed(self, record_id: str) -> None:
        """Confirm a record that the stream's reader has read back."""
        self._unconfirmed.pop(record_id, None)

    def mark_log_writable(self) -> None:
        """Assume that the log takes appends again, as it can be read.

        While `log_writable` is false, shards refuse jobs that need a record,
        so that no append would show that the log has recovered.
        """
        self.log_writable = True

    async def run(self) -> None:
        """Append queued records until cancelled."""
        while True:
            await self._wait_for_work()
            await curio.sleep(LINGER_SECONDS)
            self._requeue_unconfirmed(clock.now())
            group = self._pop_group()
            if group:
                await self._write(group)

    async def _wait_for_work(self) -> None:
        """Wait for a queued record or the next check of unconfirmed ones."""
        if self._queue:
            return
        self._wake.clear()
        async with curio.ignore_after(CONFIRM_TIMEOUT_SECONDS):
            await self._wake.wait()

    def _requeue_unconfirmed(self, now: float) -> None:
        """Queue records again that were not read back in time."""
        for pending in list(self._unconfirmed.values()):
            if now - pending.sent_at > CONFIRM_TIMEOUT_SECONDS:
                del self._unconfirmed[pending.record_id]
                self._queue.append(pending)

    def _pop_group(self) -> list[_Pending]:
        size = min(len(self._queue), MAX_GROUP_RECORDS)
        return [self._queue.popleft() for _ in range(size)]

    async def _write(self, group: list[_Pending]) -> None:
        """Append one group and process the outcome."""
        now = clock.now()
        for pending in group:
            pending.sent_at = now
            self._unconfirmed[pending.record_id] = pending
        try:
            await self._log.append(self._stream, [p.data for p in group])
            self.appends += 1
            self.records += len(group)
            self.log_writable = True
        except exceptions.AppendOutcomeUnknown:
            for pending in group:
                pending.may_be_written = True
        except exceptions.PlatformError:
            self.log_writable = False
            await self._report_not_written(group)
            await curio.sleep(RETRY_SECONDS)

    async def _report_not_written(self, group: list[_Pending]) -> None:
        """Report the records known not to be written.

        The others may have been written by an earlier append with an unknown
        outcome; they stay unconfirmed and are appended again.
        """
        not_written = [p.record_id for p in group if not p.may_be_written]
        for record_id in not_written:
            self._unconfirmed.pop(record_id, None)
        if not_written:
            await self._on_refused(not_written)
