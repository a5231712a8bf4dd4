"""Write records to a stream in groups, one append in flight.

A record counts as written only when the stream's reader has met it, so a
lost answer needs no case of its own: the records are written again, which
is harmless as each is known by its id and means the same twice.
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
    """Group records into appends and write them until they are read back.

    `refused` is called with the ids of records that surely were not written.
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
        """Queue a record; False when the queue is full."""
        if len(self._queue) + len(self._unconfirmed) >= MAX_QUEUE_RECORDS:
            return False
        self._queue.append(_Pending(record_id, data))
        await self._wake.set()
        return True

    def mark_confirmed(self, record_id: str) -> None:
        """Take that the stream's reader met a record."""
        self._unconfirmed.pop(record_id, None)

    def mark_log_writable(self) -> None:
        """Take that the log answers again, so that appends are tried."""
        self.log_writable = True

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._wait_for_work()
            await curio.sleep(LINGER_SECONDS)
            self._requeue_unconfirmed(clock.now())
            group = self._pop_group()
            if group:
                await self._write(group)

    async def _wait_for_work(self) -> None:
        """Wait for a new record, or to look after unconfirmed ones."""
        if self._queue:
            return
        self._wake.clear()
        async with curio.ignore_after(CONFIRM_TIMEOUT_SECONDS):
            await self._wake.wait()

    def _requeue_unconfirmed(self, now: float) -> None:
        """Write records again that the reader has not met in time."""
        for pending in list(self._unconfirmed.values()):
            if now - pending.sent_at > CONFIRM_TIMEOUT_SECONDS:
                del self._unconfirmed[pending.record_id]
                self._queue.append(pending)

    def _pop_group(self) -> list[_Pending]:
        size = min(len(self._queue), MAX_GROUP_RECORDS)
        return [self._queue.popleft() for _ in range(size)]

    async def _write(self, group: list[_Pending]) -> None:
        """Write one group and sort out what its answer means."""
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
        """Report what surely was not written; go on with the rest."""
        not_written = [p.record_id for p in group if not p.may_be_written]
        for record_id in not_written:
            self._unconfirmed.pop(record_id, None)
        if not_written:
            await self._on_refused(not_written)
