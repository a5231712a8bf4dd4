"""Delete the records of jobs that ended long ago."""

import itertools

from hibiscusslip.host import cancellations
from hibiscusslip.host import context
from hibiscusslip.host import submissions
from hibiscusslip.host import topics
from hibiscusslip.host import writer
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import store

TIMEOUT_S = 1.2
MAX_JOBS = 1000  # that are tried again together if an append fails


class RecordDeletion:
    """Delete all records of jobs: submissions, cancellations, progress."""

    def __init__(
        self,
        ctx: context.Context,
        submits: submissions.Submissions,
        cancels: cancellations.Cancellations,
    ) -> None:
        self._ctx = ctx
        self._submissions = submits
        self._cancellations = cancels
        self._undeleted: dict[str, None] = {}

    def add(self, job_ids: list[str]) -> None:
        """Have the records of jobs deleted by the next `delete`."""
        self._undeleted.update(dict.fromkeys(job_ids))

    def withdraw(self, job_id: str) -> bool:
        """Keep the records of a job that was submitted again.

        Return False if they weren't to be deleted.
        """
        if job_id not in self._undeleted:
            return False
        del self._undeleted[job_id]
        return True

    async def delete(self, progress: writer.Writer, partitions: int) -> None:
        """Delete records in groups until one fails, which is tried later.

        `partitions` is the number of those of the inbox.
        """
        while self._undeleted:
            group = list(itertools.islice(self._undeleted, MAX_JOBS))
            try:
                await self._delete_group(group, progress, partitions)
            except exceptions.PlatformError as exc:
                self._ctx.log.note('forgetting_failed', error=str(exc)[:120])
                return

    async def _delete_group(
        self, job_ids: list[str], progress: writer.Writer, partitions: int
    ) -> None:
        """Delete the records of jobs; raises PlatformError.

        Each append takes time, in which jobs may be withdrawn.
        """
        for part in range(partitions):
            await self._delete_inbox_records(job_ids, part)
        deleted = [job_id for job_id in job_ids if job_id in self._undeleted]
        for job_id in deleted:
            del self._undeleted[job_id]
        self._submissions.forget(deleted)
        self._cancellations.forget(deleted)
        await progress.delete_jobs(deleted)

    async def _delete_inbox_records(
        self, job_ids: list[str], part: int
    ) -> None:
        """Delete inbox records of all jobs that aren't withdrawn."""
        jobs_by_name = {
            store.encode_keyed(key): job_id
            for job_id in job_ids
            for key in self._keys(job_id)
        }
        groups = writer.split_batch(
            list(jobs_by_name), writer.MAX_APPEND_BYTES
        )
        for group in groups:
            names = [
                name for name in group if jobs_by_name[name] in self._undeleted
            ]
            if names:
                await self._ctx.store.append(
                    topics.INBOX, names, TIMEOUT_S, part=part
                )

    def _keys(self, job_id: str) -> set[str]:
        """Return the keys of all inbox records of a job."""
        submitted = self._submissions.keys(job_id)
        return submitted | self._cancellations.cancel_keys(job_id)
