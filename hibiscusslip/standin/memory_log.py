"""Serve the log from memory, with injected faults."""

import collections
import dataclasses
import time

import curio

from hibiscusslip.platform import base
from hibiscusslip.platform import exceptions
from hibiscusslip.standin import faults
from hibiscusslip.standin import rate
from hibiscusslip.standin import streams

APPEND_QUEUE_S = 2.0
MAX_DELAYED_APPENDS = 1000
MAX_RECORD_BYTES = 1024 * 1024


@dataclasses.dataclass(slots=True)
class LogCounters:
    """Count the calls to the log and their outcomes."""

    appends: int = 0
    records: int = 0
    reads: int = 0
    refused: int = 0
    lost_answers: int = 0
    delayed: int = 0


class MemoryLog(base.Log):
    """Store streams in memory, with limits on append rate, age and size."""

    def __init__(
        self,
        appends_per_s: float = 0.0,
        retention: streams.Retention | None = None,
    ) -> None:
        self.counters = LogCounters()
        self.faults = faults.LogFaultState()
        self._store = streams.StreamStore(retention or streams.Retention())
        self._rate = rate.RateLimit(appends_per_s, APPEND_QUEUE_S)
        self._append_events: dict[str, curio.Event] = collections.defaultdict(
            curio.Event
        )
        self._delayed = 0

    async def append(self, stream: str, records: list[bytes]) -> int:
        """Append records atomically and return the first one's offset.

        Raises LogUnavailable when provably nothing was written and
        AppendOutcomeUnknown when the outcome is unknown.
        """
        self._check_available()
        self._check_records(records)
        delay = self._rate.reserve(time.monotonic())
        if delay is None:
            raise self._refusal(
                'the append rate is above the limit; try later'
            )
        await curio.sleep(self.faults.latency + delay)
        self._check_available()
        if self.faults.delay_appends > 0:
            await self._schedule_append(stream, records)
            raise exceptions.AppendOutcomeUnknown(
                "no response from the log; read it for the append's outcome"
            )
        offset = await self._append_now(stream, records)
        await curio.sleep(self.faults.latency)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            self.counters.lost_answers += 1
            raise exceptions.AppendOutcomeUnknown(
                "the response was lost; read the log for the append's outcome"
            )
        return offset

    async def read(
        self, stream: str, offset: int, limit: int, wait: float
    ) -> base.ReadBatch:
        """Return up to `limit` records from `offset`, waiting up to `wait` s.

        Raises LogUnavailable, and RecordsTrimmed when `offset` lies before
        the oldest retained record.
        """
        self._check_available()
        self.counters.reads += 1
        await curio.sleep(self.faults.latency)
        deadline = time.monotonic() + wait
        while True:
            self._check_available()
            now = time.monotonic()
            batch = self._store.read(now, stream, offset, limit)
            if batch.records or now >= deadline:
                return batch
            async with curio.ignore_after(deadline - now):
                await self._append_events[stream].wait()

    async def close(self) -> None:
        """Do nothing, as the log is shared."""

    async def set_faults(self, changes: faults.LogFaults) -> None:
        """Change the faults and wake readers, so that they see an outage."""
        faults.apply(changes, self.faults)
        if changes.appends_per_s is not None:
            self._rate.per_second = changes.appends_per_s
        for name, offset in (changes.trim_before or {}).items():
            self._store.get_or_create_stream(name).drop_before(offset)
        for name in list(self._append_events):
            await self._notify_readers(name)

    def end_offsets(self) -> dict[str, int]:
        """Return the offset after the newest record of every stream."""
        store = self._store
        return {
            name: store.get_or_create_stream(name).end_offset
            for name in store.names()
        }

    async def _append_now(self, stream: str, records: list[bytes]) -> int:
        self.counters.appends += 1
        self.counters.records += len(records)
        now = time.monotonic()
        offset = self._store.get_or_create_stream(stream).append(now, records)
        await self._notify_readers(stream)
        return offset

    async def _schedule_append(
        self, stream: str, records: list[bytes]
    ) -> None:
        if self._delayed >= MAX_DELAYED_APPENDS:
            raise self._refusal('too many delayed appends; delay fewer')
        self.faults.delay_appends -= 1
        self.counters.delayed += 1
        self._delayed += 1
        await curio.spawn(
            self._append_after,
            stream,
            records,
            self.faults.delay_s,
            daemon=True,
        )

    async def _append_after(
        self, stream: str, records: list[bytes], delay: float
    ) -> None:
        try:
            await curio.sleep(delay)
            await self._append_now(stream, records)
        finally:
            self._delayed -= 1

    async def _notify_readers(self, stream: str) -> None:
        event = self._append_events.pop(stream, None)
        if event is not None:
            await event.set()

    def _check_available(self) -> None:
        if self.faults.down:
            raise self._refusal('the log is down; try again later')

    def _check_records(self, records: list[bytes]) -> None:
        if not records or max(map(len, records)) > MAX_RECORD_BYTES:
            raise self._refusal(
                f'append 1 or more records of up to {MAX_RECORD_BYTES} bytes'
            )

    def _refusal(self, reason: str) -> exceptions.LogUnavailable:
        self.counters.refused += 1
        return exceptions.LogUnavailable(reason)
