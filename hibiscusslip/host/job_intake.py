"""Apply the records of the inbox, and free the IDs of ended jobs."""

import math
import typing

from hibiscusslip.dispatch import model
from hibiscusslip.host import cancellations
from hibiscusslip.host import context
from hibiscusslip.host import inbox_positions
from hibiscusslip.host import record_deletion
from hibiscusslip.host import submissions
from hibiscusslip.host import topics
from hibiscusslip.host import writer

if typing.TYPE_CHECKING:
    from hibiscusslip.host import owner as owners

# For how long an ended job stays known, as a multiple of the time for which
# its state has to be retained.
RETENTION_FACTOR = 1.5


class JobIntake:
    """Apply submissions and cancellations; free the IDs of ended jobs."""

    def __init__(self, owner: 'owners.Owner') -> None:
        self._owner = owner
        self._ctx = owner.ctx
        self._inbox_failed_at = 0.0
        self.submissions = submissions.Submissions(owner.ctx)
        self.cancellations = cancellations.Cancellations(owner.ctx)
        self.deletion = record_deletion.RecordDeletion(
            owner.ctx, self._read_offsets, self._free_id, self._apply
        )

    def apply(
        self, key: str, value: bytes, position: inbox_positions.Position
    ) -> None:
        """Apply a record of the inbox: an accepted job or a cancellation."""
        if not value or not key:
            return
        if not self.deletion.withhold(key, value, position):
            self._apply(key, value)

    async def delete_old(self, job_writer: writer.Writer) -> None:
        """Retire the IDs of jobs that ended long ago; delete old records."""
        now = context.monotonic()
        self._retire_ended(
            now - self._ctx.cfg.bounds.status_kept * RETENTION_FACTOR
        )
        self._retire_expired_if_all_read(now)
        await self.deletion.retire(job_writer)
        jobs = self._owner.engine.jobs
        for job_id in await self.deletion.delete(job_writer):
            if job_id in jobs:
                jobs[job_id].inbox_since = ()

    def _apply(self, key: str, value: bytes) -> None:
        if key.startswith(topics.CANCEL_PREFIX):
            self._apply_cancellation(key, value)
        else:
            self._apply_submission(key, value)

    def _apply_cancellation(self, key: str, value: bytes) -> None:
        known = self.cancellations.apply(
            self._owner.engine, key, value, context.monotonic()
        )
        job_id = topics.cancelled_job(key)
        self._ctx.log.note('cancel_taken', job=job_id, known=known)
        if self.cancellations.overfull:
            self._retire_expired(-math.inf)

    def _apply_submission(self, key: str, value: bytes) -> None:
        engine = self._owner.engine
        now = context.monotonic()
        job_id = topics.submitted_job(key)
        wall_time = context.wall_time()
        if self.submissions.apply(engine, key, value, now, wall_time):
            self._ctx.log.note('job_taken', job=job_id)
            since = self.deletion.retired_since(job_id)
            if since:
                # The record of the job replaces the retirement.
                engine.jobs[job_id].inbox_since = since
                engine.dirty.add(job_id)
            self.cancellations.apply_deferred(engine, job_id, now)

    def _read_offsets(self) -> list[int | None]:
        return [feed.offset for feed in self._owner.inboxes]

    def _retire_ended(self, before: float) -> None:
        ended = self._owner.engine.find_ended_before(before)
        self.deletion.add({job.job_id: job.state.value for job in ended})

    def _retire_expired_if_all_read(self, now: float) -> None:
        """Retire expired IDs unless an unread record may submit their jobs."""
        if any(feed.failing or feed.behind for feed in self._owner.inboxes):
            self._inbox_failed_at = now
        before = now - cancellations.DEFERRAL_S
        if self._inbox_failed_at < before:
            self._retire_expired(before)

    def _retire_expired(self, before: float) -> None:
        """Retire the IDs of expired cancellations, which are deleted then."""
        cancelled = model.JobState.CANCELLED.value
        expired = self.cancellations.find_expired(before)
        if self.deletion.add(dict.fromkeys(expired, cancelled)):
            for job_id in expired:
                self.cancellations.forget(job_id)
                self._ctx.log.note('cancel_expired', job=job_id)

    def _free_id(self, job_id: str) -> None:
        """Forget a job whose records no later owner applies."""
        self._owner.engine.jobs.pop(job_id, None)
        self.submissions.forget(job_id)
        self.cancellations.forget_undecided(job_id)
