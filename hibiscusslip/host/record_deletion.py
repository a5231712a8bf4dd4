"""Free the IDs of jobs that ended long ago and delete their records.

docs/design/resubmission.md describes the steps and their failures.
"""

import collections.abc

import curio

from hibiscusslip.dispatch import retirement as retirement_records
from hibiscusslip.host import context
from hibiscusslip.host import inbox_positions
from hibiscusslip.host import recovery
from hibiscusslip.host import topics
from hibiscusslip.host import writer
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

TIMEOUT_S = 1.2
MAX_RECORDS = 2000  # in one append
# Each append of another host to the partition makes a deletion fail that was
# sent before the owner has read it.
MAX_ATTEMPTS = 3
CONFLICT_PAUSE_S = 0.1  # in which the owner reads what was appended


class RecordDeletion:
    """Retire the IDs of ended jobs, then delete the jobs' records.

    `read_offsets` returns the offset up to which the owner has read each
    partition of the inbox, None if it isn't known. `free` is called with an ID
    once it is retired: records before its retirement are void, and `apply` is
    called with those that were read since.
    """

    def __init__(
        self,
        ctx: context.Context,
        read_offsets: collections.abc.Callable[[], list[int | None]],
        free: collections.abc.Callable[[str], None],
        apply: collections.abc.Callable[[str, bytes], None],
    ) -> None:
        self._ctx = ctx
        self._read_offsets = read_offsets
        self._free = free
        self._apply = apply
        self._retiring: dict[str, retirement_records.Retirement] = {}
        self._held: dict[str, dict[tuple[str, int], bytes]] = {}
        self._undeleted: dict[str, tuple[int, ...]] = {}
        self.positions = inbox_positions.InboxPositions()

    def start(self, recovered: recovery.Recovered) -> None:
        """Continue what the former owner left undone."""
        self.positions = recovered.positions
        self._retiring.update(recovered.orphans)
        self._undeleted.update(recovered.retired_since)

    def add(self, states: dict[str, str]) -> bool:
        """Have IDs retired by the next `retire`; return False if impossible.

        `states` are the final states of their jobs. All records that were
        read so far are those of the former jobs. An ID that is being retired
        keeps its offsets, as records after them are held.
        """
        since = []
        for offset in self._read_offsets():
            if offset is None:
                return False
            since.append(offset)
        for job_id, state in states.items():
            retirement = retirement_records.Retirement(state, tuple(since))
            self._retiring.setdefault(job_id, retirement)
        return True

    def retired_since(self, job_id: str) -> tuple[int, ...]:
        """Return the offsets before which an ID's records are void.

        It is () if none of them are left.
        """
        return self._undeleted.get(job_id, ())

    def withhold(
        self, key: str, value: bytes, position: inbox_positions.Position
    ) -> bool:
        """Register a record; return True if it mustn't be applied now.

        A void record is deleted later. A record of an ID that is being retired
        is held and applied after the retirement: until then the next owner
        may take it for one of the ended job.
        """
        job_id = topics.job_of(key)
        self.positions.add(job_id, key, position)
        retirement = self._retiring.get(job_id)
        since = self._undeleted.get(job_id, ())
        if retirement is not None:
            since = retirement.since
        if inbox_positions.precedes(position, since):
            return True
        if retirement is None:
            return False
        held = self._held.setdefault(job_id, {})
        held[key, position.part] = value
        self._ctx.log.note('record_held', job=job_id, key=key)
        return True

    def holds(self, job_id: str) -> bool:
        """Return True if records of an ID wait for its retirement."""
        return job_id in self._held

    async def retire(self, job_writer: writer.Writer) -> None:
        """Have the pending retirements written, also those that failed."""
        if self._retiring:
            await job_writer.retire(dict(self._retiring), self._handle_retired)

    def _handle_retired(self, job_ids: list[str]) -> None:
        for job_id in job_ids:
            retirement = self._retiring.pop(job_id, None)
            if retirement is None:
                continue
            self._undeleted[job_id] = retirement.since
            held = self._held.pop(job_id, {})
            self._ctx.log.note(
                'id_freed',
                job=job_id,
                outcome=retirement.state,
                held=len(held),
            )
            self._free(job_id)
            for (key, _), value in held.items():
                self._apply(key, value)

    async def delete(self, job_writer: writer.Writer) -> list[str]:
        """Delete void records; return the IDs of which none are left.

        Those of a partition that fails are tried again by the next call.
        """
        for part in range(len(self._read_offsets())):
            try:
                await self._delete_in_partition(part)
            except exceptions.PlatformError as exc:
                self._ctx.log.note('forgetting_failed', error=str(exc)[:120])
        done = [
            job_id
            for job_id, since in self._undeleted.items()
            # Else the new retirement would be deleted, maybe in flight.
            if job_id not in self._retiring
            and not self.positions.find_before(job_id, since)
        ]
        for job_id in done:
            del self._undeleted[job_id]
        if done:
            await job_writer.delete_jobs(done)
        return done

    async def _delete_in_partition(self, part: int) -> None:
        """Delete the void records of a partition; raises PlatformError."""
        attempts = 0
        while names := self._find_void(part):
            offset = self._read_offsets()[part]
            if offset is None:
                return
            try:
                await self._ctx.store.append(
                    topics.INBOX,
                    [store.encode_keyed(key) for _, key in names],
                    TIMEOUT_S,
                    part=part,
                    at=offset,
                )
            except exceptions.StoreConflict:
                attempts += 1
                if attempts >= MAX_ATTEMPTS:
                    raise
                await curio.sleep(CONFLICT_PAUSE_S)
                continue
            end = inbox_positions.Position(part, offset)
            for job_id, key in names:
                self.positions.remove(job_id, key, end)

    def _find_void(self, part: int) -> list[tuple[str, str]]:
        """Return ID and key of void records that one append can delete."""
        found: list[tuple[str, str]] = []
        size = 0
        for job_id, since in self._undeleted.items():
            for key, key_part in self.positions.find_before(job_id, since):
                if key_part != part:
                    continue
                size += len(store.encode_keyed(key))
                full = found and size > writer.MAX_APPEND_BYTES
                if full or len(found) >= MAX_RECORDS:
                    return found
                found.append((job_id, key))
        return found
