"""Submit the jobs that the owner reads from the inbox."""

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import state
from hibiscusslip.host import context
from hibiscusslip.host import topics
from hibiscusslip.platform import documents
from hibiscusslip.platform import exceptions

# The wrong clock of the host that accepted a job must not make its deadlines
# earlier than by this.
MAX_JOB_AGE_S = 60.0


class Submissions:
    """Submit the first job of each ID; ignore other organisations' later ones.

    Each organisation has its own record of an ID in the inbox, so that none
    replaces another's.
    """

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._keys: dict[str, tuple[str, ...]] = {}

    def apply(
        self,
        engine: engines.Engine,
        key: str,
        value: bytes,
        now: float,
        wall_time: float,
    ) -> bool:
        """Apply a record of the inbox; return False unless it adds a job.

        `now` is a reading of the monotonic clock, `wall_time` is the time
        since the epoch, both in seconds.
        """
        job_id = topics.submitted_job(key)
        self._remember(job_id, key)
        known = engine.jobs.get(job_id)
        if known is None:
            return self._submit(engine, key, value, now, wall_time)
        if key != topics.submission_key(job_id, known.organisation):
            self._ignore(engine, known, value)
        return False

    def keys(self, job_id: str) -> set[str]:
        """Return the keys of all records that submit a job."""
        return set(self._keys.get(job_id, (job_id,)))

    def forget(self, job_id: str) -> None:
        """Forget the keys of a job whose ID is retired."""
        self._keys.pop(job_id, None)

    def _remember(self, job_id: str, key: str) -> None:
        keys = self._keys.get(job_id, ())
        if key not in keys:
            self._keys[job_id] = (*keys, key)

    def _ignore(
        self, engine: engines.Engine, job: state.Job, value: bytes
    ) -> None:
        """Log another organisation's submission; name the job's in its record.

        The clocks of hosts differ, so the times of acceptance may not tell the
        next owner which one was first.
        """
        try:
            organisation = records.decode_submission(value).organisation
        except records.Unreadable:
            return
        if organisation == job.organisation:
            return  # the key is that of a former release
        self._ctx.log.note(
            'submission_ignored',
            job=job.job_id,
            organisation=organisation,
            job_organisation=job.organisation,
        )
        self._mark_contested(engine, job)

    def _mark_contested(self, engine: engines.Engine, job: state.Job) -> None:
        if not job.contested:
            job.contested = True
            engine.dirty.add(job.job_id)

    def _submit(
        self,
        engine: engines.Engine,
        key: str,
        value: bytes,
        now: float,
        wall_time: float,
    ) -> bool:
        job_id = topics.submitted_job(key)
        try:
            submission = records.decode_submission(value)
            spec = documents.read_job(submission.body)
        except (records.Unreadable, exceptions.JobInvalid) as exc:
            self._ctx.log.note(
                'submission_unreadable', job=job_id, error=str(exc)[:200]
            )
            return False
        age = min(max(wall_time - submission.accepted, 0.0), MAX_JOB_AGE_S)
        job = engine.submit(job_id, submission, spec, now - age, wall_time)
        if self.keys(job_id) != {key}:
            # Another organisation's record of an ended job isn't deleted yet,
            # or a record is unreadable.
            self._mark_contested(engine, job)
        return True
