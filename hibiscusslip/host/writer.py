"""Write the owner's records in groups, one append at a time."""

import collections.abc

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

Release = collections.abc.Callable[
    [list[commands.Start]], collections.abc.Awaitable[None]
]


class Writer:
    """Append what has changed; release starts once their record is there.

    All owners append under one producer name, each with its own epoch, so
    that an owner which another one has followed can't write any more.
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
        self._sequence = 0
        self._drops: list[bytes] = []
        self.wake = signals.Wake()
        self.behind_since = 0.0

    async def fence(self) -> None:
        """Keep all former owners from writing; raises PlatformError."""
        await self._append([])

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
        seen = {e.name: e.handled for e in engine.endpoints.values()}
        written, batch = self._encode()
        batch += self._drops
        self._drops = []
        if batch:
            self.behind_since = context.steady()
            for group in grouped(batch, MOST_APPEND_BYTES):
                await self._append(group)
            self.behind_since = 0.0
        engine.committed(written, seen)
        await self._release(starts)

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
            batch.append(store.keyed(ident, records.encode_job(job)))
        return written, batch

    async def _append(self, batch: list[bytes]) -> None:
        pause = RETRY_PAUSE_S
        while True:
            if self._ctx.ownership.held != self._epoch:
                raise exceptions.ProducerFenced('this ownership has ended')
            sent = context.steady()
            try:
                await self._ctx.store.append(
                    topics.JOBS,
                    batch,
                    APPEND_TIMEOUT_S,
                    producer=(topics.PRODUCER, self._epoch, self._sequence),
                )
                break
            except exceptions.ProducerOutOfStep as exc:
                self._ctx.log.note(
                    'sequence_corrected', had=self._sequence, now=exc.expected
                )
                self._sequence = exc.expected
            except (
                exceptions.StoreUnavailable,
                exceptions.StoreUnsettled,
            ) as exc:
                self._ctx.store_fails(str(exc))
                self._ctx.metrics.count('record_retries')
                self._ctx.log.note('record_retried', error=str(exc)[:120])
                await curio.sleep(pause)
                pause = min(pause * 2, MOST_RETRY_PAUSE_S)
        now = context.steady()
        if batch:
            self._sequence += 1
        self._ctx.store_answers(now)
        self._ctx.ownership.confirm(sent)
        self._ctx.metrics.time('record_append', now - sent)


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
