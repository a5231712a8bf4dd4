"""Index the jobs of an availability zone from the records on the log.

Every host of the zone maintains this index, so that it can become the owner
of a shard at any time. It contains open jobs and the latest ended ones.
"""

import collections
import dataclasses

import msgspec

from hibiscusslip import codec
from hibiscusslip.jobs import model
from hibiscusslip.jobs import sheet_jobs
from hibiscusslip.model import work
from hibiscusslip.records import job as job_records
from hibiscusslip.records import zone as zone_records

MAX_ENDED_BATCHES = 10_000


class SnapshotJob(msgspec.Struct, frozen=True, omit_defaults=True):
    """Represent an indexed job in a snapshot."""

    job_id: str
    job: bytes = b''
    intents: list[int] = []
    places: list[str] = []
    outcome: str = ''
    detail: str = ''
    answer: bytes = b''


@dataclasses.dataclass(slots=True)
class IndexEntry:
    """Represent what the log records about one job.

    `job` is the encoded specification, empty if it isn't recorded.
    """

    job_id: str
    job: bytes = b''
    intents: set[int] = dataclasses.field(default_factory=set)
    places: set[str] = dataclasses.field(default_factory=set)
    outcome: str = ''
    detail: str = ''
    answer: bytes = b''


class JobIndex:
    """Index the recorded jobs of all shards of an availability zone.

    At most `max_ended` ended jobs with `max_ended_bytes` of specifications
    and answers are kept; ended batch runs of the sheet have a limit of their
    own. `drained` are the endpoints with a drain record.
    """

    def __init__(self, max_ended: int, max_ended_bytes: int) -> None:
        self._max_ended = max_ended
        self._max_ended_bytes = max_ended_bytes
        self._shards: dict[int, dict[str, IndexEntry]] = {}
        self._ended: collections.deque[tuple[int, str]] = collections.deque()
        self._ended_bytes = 0
        self._ended_batches: collections.deque[tuple[int, str]] = (
            collections.deque()
        )
        self.drained: set[str] = set()

    def apply(self, record: zone_records.ZoneRecord) -> None:
        """Apply a record that is valid at its offset."""
        if isinstance(record, zone_records.JobAccepted):
            spec = job_records.decode_job(record.job)
            entry = self._entry(record.shard, spec.job_id)
            entry.job = record.job
            if entry.outcome == work.Outcome.NOT_RUN:
                # A job that was not run may be requested again with its key.
                entry.outcome = ''
        elif isinstance(record, zone_records.StartIntent):
            entry = self._entry(record.shard, record.job_id)
            entry.intents.update(record.tasks)
            entry.places.update(record.place.split())
        elif isinstance(record, zone_records.JobEnded):
            self._apply_end(record)
        elif isinstance(record, zone_records.EndpointDrain):
            self.drained.add(record.endpoint)
        elif isinstance(record, zone_records.Snapshot):
            self.drained.update(record.drained)
            for data in record.jobs:
                self._load_job(record.shard, data)

    def _entry(self, shard: int, job_id: str) -> IndexEntry:
        jobs = self._shards.setdefault(shard, {})
        return jobs.setdefault(job_id, IndexEntry(job_id))

    def _apply_end(self, record: zone_records.JobEnded) -> None:
        """Set the outcome of a job; a later record doesn't change it."""
        entry = self._entry(record.shard, record.job_id)
        if entry.outcome:
            return
        entry.outcome = record.outcome
        entry.detail = record.detail
        entry.answer = record.answer
        self._retain_ended(record.shard, entry)

    def _retain_ended(self, shard: int, entry: IndexEntry) -> None:
        if sheet_jobs.is_batch_id(entry.job_id):
            # The sheet keeps listing batch runs: one that is evicted would
            # run again. So they don't count towards the other limits.
            entry.job = b''
            self._ended_batches.append((shard, entry.job_id))
            while len(self._ended_batches) > MAX_ENDED_BATCHES:
                old_shard, job_id = self._ended_batches.popleft()
                self._shards[old_shard].pop(job_id, None)
            return
        self._ended.append((shard, entry.job_id))
        self._ended_bytes += len(entry.answer) + len(entry.job)
        while self._ended and self._is_over_limit():
            self._evict_oldest()

    def _evict_oldest(self) -> None:
        shard, job_id = self._ended.popleft()
        old = self._shards[shard].get(job_id)
        if old is None:
            return
        self._ended_bytes -= len(old.answer) + len(old.job)
        if old.outcome:
            del self._shards[shard][job_id]

    def _is_over_limit(self) -> bool:
        return (
            len(self._ended) > self._max_ended
            or self._ended_bytes > self._max_ended_bytes
        )

    def _load_job(self, shard: int, data: bytes) -> None:
        """Merge a job from a snapshot; known values are kept."""
        loaded = codec.decode(data, SnapshotJob)
        entry = self._entry(shard, loaded.job_id)
        entry.job = entry.job or loaded.job
        entry.intents.update(loaded.intents)
        entry.places.update(loaded.places)
        if loaded.outcome and not entry.outcome:
            entry.outcome = loaded.outcome
            entry.detail = loaded.detail
            entry.answer = loaded.answer
            self._retain_ended(shard, entry)

    def find(self, shard: int, job_id: str, now: float) -> model.Job | None:
        """Return a recorded job, None if the log has no record of it."""
        entry = self._shards.get(shard, {}).get(job_id)
        return None if entry is None else _restore_job(entry, now)

    def export(self, shard: int) -> list[bytes]:
        """Return the encoded jobs of a shard for a snapshot."""
        return [
            codec.encode(
                SnapshotJob(
                    entry.job_id,
                    entry.job,
                    sorted(entry.intents),
                    sorted(entry.places),
                    entry.outcome,
                    entry.detail,
                    entry.answer,
                )
            )
            for entry in self._shards.get(shard, {}).values()
        ]

    def jobs(self, shard: int, now: float) -> list[model.Job]:
        """Return the recorded jobs of a shard for a new owner."""
        entries = self._shards.get(shard, {}).values()
        return [_restore_job(entry, now) for entry in entries]

    def clear(self) -> None:
        """Remove all jobs, before a rebuild after a gap in the log."""
        self._shards.clear()
        self._ended.clear()
        self._ended_batches.clear()
        self._ended_bytes = 0

    def __len__(self) -> int:
        return sum(len(jobs) for jobs in self._shards.values())


def _restore_job(entry: IndexEntry, now: float) -> model.Job:
    """Return a job in its initial state at a new owner."""
    if entry.job:
        spec = job_records.decode_job(entry.job)
        job = model.new_job(spec, now)
        job.recorded = True
    else:
        job = _restore_partial_job(entry, now)
    job.intents = frozenset(entry.intents)
    job.places = frozenset(entry.places)
    job.note('taken over from the log', now)
    if entry.outcome:
        _restore_outcome(job, entry, now)
    return job


def _restore_partial_job(entry: IndexEntry, now: float) -> model.Job:
    """Return a job of which the log has only start intents."""
    last = max(entry.intents, default=0)
    spec = work.JobSpec(
        entry.job_id, team='', kind='', tasks=last + 1, repeatable=False
    )
    tasks = {index: model.Task(index) for index in entry.intents}
    return model.Job(spec, now, tasks, partial=True)


def _restore_outcome(job: model.Job, entry: IndexEntry, now: float) -> None:
    """Set the recorded final outcome of a job."""
    outcome = work.Outcome(entry.outcome)
    for task in job.tasks.values():
        task.phase = model.Phase.ENDED
        task.outcome = outcome
        task.detail = entry.detail
    if len(job.tasks) == 1:
        job.tasks[min(job.tasks)].answer = entry.answer
    job.outcome = outcome
    job.detail = entry.detail
    job.ended_at = now
    job.partial = False
