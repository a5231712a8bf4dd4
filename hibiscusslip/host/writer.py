"""Write the owner's records in batches, one append at a time."""

import collections.abc
import dataclasses

import curio

from hibiscusslip.dispatch import commands
from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import retirement as retirement_records
from hibiscusslip.dispatch import state
from hibiscusslip.host import context
from hibiscusslip.host import repeating
from hibiscusslip.host import slices
from hibiscusslip.host import topics
from hibiscusslip.host import wakeup_event
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

APPEND_TIMEOUT_S = 1.2
RETRY_PAUSE_S = 0.04
MAX_RETRY_PAUSE_S = 0.3
MAX_APPEND_BYTES = 1_000_000  # the store accepts at most twice that
MAX_RECORD_BYTES = 262_144  # the store accepts no larger record
# The record of a large job is written anew for each of its runs that ends.
MAX_RECORD_BYTES_PER_S = 4_000_000
IDLE_S = 1.0
FAILURE_MEMORY_S = 1.5

HandleRetired = collections.abc.Callable[[list[str]], None]
SendStarts = collections.abc.Callable[
    [list[commands.Start]], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(slots=True, eq=False)
class _Partition:
    """The producer state of one partition.

    `unanswered` is a batch whose append got no answer and may still be carried
    out late. No other batch may use its sequence number before it is answered,
    or the store would treat one as a repeat of the other.
    """

    part: int
    sequence: int = 0
    unanswered: list[bytes] | None = None
    used: bool = False
    failed_at: float = 0.0


class Writer:
    """Append changed jobs; send starts once their records are committed.

    All owners append under one producer name, each with its own epoch, so
    that a superseded owner is fenced off. While the store doesn't serve one
    partition, the other receives all records. Records are numbered, so that
    a reader of both partitions knows which one is newest.
    """

    def __init__(
        self,
        ctx: context.Context,
        engine: engines.Engine,
        epoch: int,
        send_starts: SendStarts,
    ) -> None:
        self._ctx = ctx
        self._engine = engine
        self._epoch = epoch
        self._send_starts = send_starts
        self._partitions = [
            _Partition(part) for part in range(topics.JOBS_PARTS)
        ]
        self._number = 0
        self._encoded_bytes = 0  # of the batch, before compression
        self._reduced: set[str] = set()
        self._ended_jobs: list[str] = []
        self._retirements: dict[str, retirement_records.Retirement] = {}
        self._handle_retired: HandleRetired = lambda job_ids: None
        self.wakeup = wakeup_event.WakeupEvent()
        self.writing_since = 0.0

    async def fence(self) -> None:
        """Fence off all former owners; raises PlatformError."""
        for partition in self._partitions:
            await self._send_once(partition, [])

    def mark_used(self, parts: list[int]) -> None:
        """Mark the partitions that hold records of former owners."""
        for partition in self._partitions:
            partition.used = partition.used or partition.part in parts

    def all_serving(self, now: float) -> bool:
        """Return True if no partition has failed recently."""
        return all(
            now > partition.failed_at + FAILURE_MEMORY_S
            for partition in self._partitions
        )

    async def run(self) -> None:
        """Write until cancelled; raises ProducerFenced."""
        while True:
            await self.wakeup.wait(IDLE_S)
            while (
                self._engine.dirty
                or self._engine.starts
                or self._ended_jobs
                or self._retirements
            ):
                written = await self._write()
                if written > MAX_RECORD_BYTES:
                    await curio.sleep(written / MAX_RECORD_BYTES_PER_S)

    async def flush(self, timeout: float) -> None:
        """Wait until everything is written, at most `timeout` seconds."""
        async with curio.ignore_after(timeout):
            while self._engine.dirty or self.writing_since:
                await self.wakeup.set()
                await curio.sleep(RETRY_PAUSE_S)

    async def delete_jobs(self, job_ids: list[str]) -> None:
        """Delete the records of jobs with the next batch."""
        self._ended_jobs += job_ids
        await self.wakeup.set()

    async def retire(
        self,
        retirements: dict[str, retirement_records.Retirement],
        handle_retired: HandleRetired,
    ) -> None:
        """Write the retirement of IDs with the next batch.

        `handle_retired` is called with those that are written to all
        partitions that have records. The others may be passed again: a
        partition without the retirement may have the record of the ended
        job, which would be the newest one once the other is deleted.
        """
        self._retirements.update(retirements)
        self._handle_retired = handle_retired
        await self.wakeup.set()

    async def _write(self) -> int:
        """Append all changes and deletions, then send the starts.

        Returns the number of bytes, before compression.
        """
        engine = self._engine
        self._encoded_bytes = 0
        starts, engine.starts = engine.starts, []
        cursors = engine.handled_cursors()
        deletions = self._encode_deletions()
        retirements, self._retirements = self._retirements, {}
        written, batch = await self._encode(retirements.keys())
        # An ID may be retired again just after the deletion of its record.
        removals = deletions + self._encode_retirements(retirements)
        parts: set[int] = set()
        if batch or removals:
            self.writing_since = context.monotonic()
            for group in split_batch(batch + removals, MAX_APPEND_BYTES):
                parts.add(await self._append(group))
            self.writing_since = 0.0
        engine.confirm_records(written, cursors)
        await self._send_starts(starts)
        size = self._encoded_bytes + sum(map(len, removals))
        if not removals:
            return size
        if await self._repeat_in_other_partition(
            removals, parts, bool(retirements)
        ):
            self._handle_retired(list(retirements))
        else:
            engine.dirty.update(retirements.keys() & engine.jobs.keys())
        return size

    def _encode_retirements(
        self, retirements: dict[str, retirement_records.Retirement]
    ) -> list[bytes]:
        encoded = []
        for job_id, retirement in retirements.items():
            self._number += 1
            value = retirement_records.encode(
                retirement, self._epoch, self._number
            )
            encoded.append(store.encode_keyed(job_id, value))
        return encoded

    def _encode_deletions(self) -> list[bytes]:
        """Return what deletes the records of ended jobs.

        The record of a job that was submitted again is written anew instead.
        """
        job_ids, self._ended_jobs = self._ended_jobs, []
        self._reduced.difference_update(job_ids)
        again = {job_id for job_id in job_ids if job_id in self._engine.jobs}
        self._engine.dirty |= again
        return [
            store.encode_keyed(job_id)
            for job_id in job_ids
            if job_id not in again
        ]

    async def _encode(
        self, left_out: collections.abc.Set[str]
    ) -> tuple[dict[str, model.JobState], list[bytes]]:
        """Return the states and records of all changed jobs but some."""
        engine = self._engine
        job_ids, engine.dirty = engine.dirty, set()
        written = {}
        batch = []
        work = slices.Slices()
        for job_id in job_ids:
            await work.pause_if_due()
            job = engine.jobs.get(job_id)
            if job is None or job_id in left_out:
                continue
            if job.progress_unknown and not job.state.final:
                continue  # its record may be readable for a later owner
            self._number += 1
            record = self._encode_small(job)
            if len(record) > MAX_RECORD_BYTES:
                # Otherwise no other job's record would be written either.
                self._ctx.log.note(
                    'record_too_large', job=job_id, size=len(record)
                )
                engine.finish(job, model.JobState.FAILED, context.monotonic())
                record = self._encode_small(job)
            written[job_id] = job.state
            batch.append(record)
        return written, batch

    def _encode_small(self, job: state.Job) -> bytes:
        """Return the record of a job, in another form if it is too large.

        First it is compressed. If that isn't enough, it is compact as well: a
        new owner then starts tasks that end without their checkpoints.
        """
        record = self._encode_job(job)
        self._encoded_bytes += len(record)
        if len(record) > MAX_RECORD_BYTES:
            record = self._encode_job(job, compressed=True)
        if len(record) <= MAX_RECORD_BYTES:
            return record
        if job.job_id not in self._reduced:
            self._reduced.add(job.job_id)
            self._ctx.log.note(
                'record_reduced', job=job.job_id, size=len(record)
            )
        return self._encode_job(job, compact=True, compressed=True)

    def _encode_job(
        self,
        job: state.Job,
        *,
        compact: bool = False,
        compressed: bool = False,
    ) -> bytes:
        value = records.encode_job(
            job,
            self._epoch,
            self._number,
            compact=compact,
            compressed=compressed,
            counted=self._engine.ledger.runs_of(job.job_id),
            now=context.monotonic(),
        )
        return store.encode_keyed(job.job_id, value)

    async def _append(self, batch: list[bytes]) -> int:
        """Append a batch; on a failure, retry at the other partition.

        Return the partition that has it.
        """
        pause = RETRY_PAUSE_S
        while True:
            if self._ctx.ownership.held_epoch != self._epoch:
                raise exceptions.ProducerFenced('this ownership has ended')
            sent = context.monotonic()
            partition = self._partitions[0]
            try:
                await self._send(partition, batch)
                break
            except exceptions.OutOfOrderSequence as exc:
                self._ctx.log.note(
                    'sequence_corrected',
                    had=partition.sequence,
                    now=exc.expected,
                )
                partition.sequence = exc.expected
            except (
                exceptions.StoreUnavailable,
                exceptions.StoreOutcomeUnknown,
            ) as exc:
                self._handle_failure(partition, exc)
                await curio.sleep(pause)
                pause = min(pause * 2, MAX_RETRY_PAUSE_S)
        now = context.monotonic()
        self._ctx.record_store_success(now)
        self._ctx.metrics.time('record_append', now - sent)
        return partition.part

    def _handle_failure(self, partition: _Partition, exc: Exception) -> None:
        """Record a failure; the other partition is tried next."""
        partition.failed_at = context.monotonic()
        self._partitions.reverse()
        self._ctx.record_store_failure(str(exc))
        self._ctx.metrics.count('record_retries')
        self._ctx.log.note(
            'record_retried', part=partition.part, error=str(exc)[:120]
        )

    async def _send(self, partition: _Partition, batch: list[bytes]) -> None:
        """Append a batch, after an unanswered one is appended again."""
        if (
            partition.unanswered is not None
            and partition.unanswered is not batch
        ):
            await self._send_once(partition, partition.unanswered)
        await self._send_once(partition, batch)

    async def _send_once(
        self, partition: _Partition, batch: list[bytes]
    ) -> None:
        producer = (topics.PRODUCER, self._epoch, partition.sequence)

        async def append(timeout: float, began: repeating.Began) -> int:
            return await self._ctx.store.append(
                topics.JOBS,
                batch,
                timeout,
                part=partition.part,
                producer=producer,
            )

        try:
            await repeating.call(self._ctx, append, APPEND_TIMEOUT_S)
        except exceptions.StoreOutcomeUnknown:
            if batch:
                partition.unanswered = batch
            raise
        if batch:
            partition.unanswered = None
            partition.sequence += 1
            partition.used = True

    async def _repeat_in_other_partition(
        self, removals: list[bytes], parts: set[int], retires: bool
    ) -> bool:
        """Try to retire and delete jobs in the other partition as well.

        `parts` are those that were written to. Return True if each partition
        that may have records of the jobs has these as well.
        """
        partition = self._partitions[-1]
        if len(parts) > 1:
            return False  # it is unknown which of them has which records
        # An unanswered batch may still add records of the retired jobs.
        may_be_used = retires and partition.unanswered is not None
        if not partition.used and not may_be_used:
            return True
        try:
            for group in split_batch(removals, MAX_APPEND_BYTES):
                await self._send(partition, group)
            return True
        except exceptions.OutOfOrderSequence as exc:
            partition.sequence = exc.expected
        except (
            exceptions.StoreUnavailable,
            exceptions.StoreOutcomeUnknown,
        ) as exc:
            self._ctx.log.note('forgetting_failed', error=str(exc)[:120])
        return False


def split_batch(batch: list[bytes], max_bytes: int) -> list[list[bytes]]:
    """Split a batch, in order, into groups of at most `max_bytes`.

    A larger record makes a group of its own.
    """
    groups: list[list[bytes]] = [[]]
    size = 0
    for record in batch:
        if groups[-1] and size + len(record) > max_bytes:
            groups.append([])
            size = 0
        groups[-1].append(record)
        size += len(record)
    return groups
