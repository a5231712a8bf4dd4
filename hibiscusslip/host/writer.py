"""Write the owner's records in groups, one append at a time."""

import collections.abc
import dataclasses

import curio

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.host import context
from hibiscusslip.host import signals
from hibiscusslip.host import topics
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

APPEND_TIMEOUT_S = 1.2
RETRY_PAUSE_S = 0.04
MOST_RETRY_PAUSE_S = 0.3
MOST_APPEND_BYTES = 1_000_000  # the store takes at most twice that at once
IDLE_S = 1.0
FAILURE_FADES_S = 1.5

Release = collections.abc.Callable[
    [list[commands.Start]], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(slots=True, eq=False)
class _Lane:
    """Hold how far the appends to one partition are.

    `unsettled` got no answer and may be carried out late. Nothing else may
    take its number before it is answered, or the store would take one for
    a repeat of the other.
    """

    part: int
    sequence: int = 0
    unsettled: list[bytes] | None = None
    used: bool = False
    failed_at: float = 0.0


class Writer:
    """Append what has changed; release starts once their record is there.

    All owners append under one producer name, each with its own epoch, so
    that an owner which another one has followed can't write any more. While
    one partition isn't served the other takes what comes; each record is
    numbered, so that a reader of both knows which one is newest.
    """

    def __init__(
        self,
        ctx: context.Context,
        engine: engines.Engine,
        epoch: int,
        release: Release,
    ) -> None:
        self._ctx = ctx
        self._engine = engine
        self._epoch = epoch
        self._release = release
        self._lanes = [_Lane(part) for part in range(topics.JOBS_PARTS)]
        self._number = 0
        self._drops: list[bytes] = []
        self.wake = signals.Wake()
        self.behind_since = 0.0

    async def fence(self) -> None:
        """Keep all former owners from writing; raises PlatformError."""
        for lane in self._lanes:
            await self._send_once(lane, [])

    def found(self, parts: list[int]) -> None:
        """Take note of partitions that hold records of former owners."""
        for lane in self._lanes:
            lane.used = lane.used or lane.part in parts

    def served(self, now: float) -> bool:
        """Tell whether no partition has failed lately."""
        return all(
            now > lane.failed_at + FAILURE_FADES_S for lane in self._lanes
        )

    async def run(self) -> None:
        """Write until cancelled; raises ProducerFenced."""
        while True:
            await self.wake.wait(IDLE_S)
            while self._engine.dirty or self._engine.starts or self._drops:
                await self._write()

    async def flush(self, timeout: float) -> None:
        """Wait until everything is written, `timeout` s at the longest."""
        async with curio.ignore_after(timeout):
            while self._engine.dirty or self.behind_since:
                await self.wake.set()
                await curio.sleep(RETRY_PAUSE_S)

    async def forget(self, idents: list[str]) -> None:
        """Have the next group drop the records of jobs."""
        self._drops.extend(store.keyed(ident) for ident in idents)
        await self.wake.set()

    async def _write(self) -> None:
        engine = self._engine
        starts, engine.starts = engine.starts, []
        seen = engine.handled()
        written, batch = self._encode()
        drops, self._drops = self._drops, []
        batch += drops
        if batch:
            self.behind_since = context.steady()
            for group in grouped(batch, MOST_APPEND_BYTES):
                await self._append(group)
            self.behind_since = 0.0
        engine.committed(written, seen)
        await self._release(starts)
        await self._drop_elsewhere(drops)

    def _encode(self) -> tuple[dict[str, model.JobState], list[bytes]]:
        engine = self._engine
        idents, engine.dirty = engine.dirty, set()
        written = {}
        batch = []
        for ident in idents:
            job = engine.jobs.get(ident)
            if job is None:
                continue
            written[ident] = job.state
            self._number += 1
            value = records.encode_job(job, self._epoch, self._number)
            batch.append(store.keyed(ident, value))
        return written, batch

    async def _append(self, batch: list[bytes]) -> None:
        """Append to the partition that serves, until it is done."""
        pause = RETRY_PAUSE_S
        while True:
            if self._ctx.ownership.held != self._epoch:
                raise exceptions.ProducerFenced('this ownership has ended')
            sent = context.steady()
            lane = self._lanes[0]
            try:
                await self._send(lane, batch)
                break
            except exceptions.ProducerOutOfStep as exc:
                self._ctx.log.note(
                    'sequence_corrected', had=lane.sequence, now=exc.expected
                )
                lane.sequence = exc.expected
            except (
                exceptions.StoreUnavailable,
                exceptions.StoreUnsettled,
            ) as exc:
                self._failed(lane, exc)
                await curio.sleep(pause)
                pause = min(pause * 2, MOST_RETRY_PAUSE_S)
        now = context.steady()
        self._ctx.store_answers(now)
        self._ctx.ownership.confirm(sent)
        self._ctx.metrics.time('record_append', now - sent)

    def _failed(self, lane: _Lane, exc: Exception) -> None:
        """Take note of a failure; the other partition is tried next."""
        lane.failed_at = context.steady()
        self._lanes.reverse()
        self._ctx.store_fails(str(exc))
        self._ctx.metrics.count('record_retries')
        self._ctx.log.note(
            'record_retried', part=lane.part, error=str(exc)[:120]
        )

    async def _send(self, lane: _Lane, batch: list[bytes]) -> None:
        if lane.unsettled is not None and lane.unsettled is not batch:
            await self._send_once(lane, lane.unsettled)
        await self._send_once(lane, batch)

    async def _send_once(self, lane: _Lane, batch: list[bytes]) -> None:
        try:
            await self._ctx.store.append(
                topics.JOBS,
                batch,
                APPEND_TIMEOUT_S,
                part=lane.part,
                producer=(topics.PRODUCER, self._epoch, lane.sequence),
            )
        except exceptions.StoreUnsettled:
            if batch:
                lane.unsettled = batch
            raise
        if batch:
            lane.unsettled = None
            lane.sequence += 1
            lane.used = True

    async def _drop_elsewhere(self, drops: list[bytes]) -> None:
        """Drop old records in the other partition, as far as it serves."""
        lane = self._lanes[-1]
        if not drops or not lane.used:
            return
        try:
            await self._send(lane, drops)
        except exceptions.ProducerOutOfStep as exc:
            lane.sequence = exc.expected
        except (
            exceptions.StoreUnavailable,
            exceptions.StoreUnsettled,
        ) as exc:
            self._ctx.log.note('forgetting_failed', error=str(exc)[:120])


def grouped(batch: list[bytes], most: int) -> list[list[bytes]]:
    """Divide records, in their order, into groups of at most `most` bytes.

    A record that is larger makes a group of its own.
    """
    groups: list[list[bytes]] = [[]]
    size = 0
    for record in batch:
        if groups[-1] and size + len(record) > most:
            groups.append([])
            size = 0
        groups[-1].append(record)
        size += len(record)
    return groups
