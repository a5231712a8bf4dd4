"""Apply the cancellations that the owner reads from the inbox."""

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.host import access
from hibiscusslip.host import context
from hibiscusslip.host import topics

MAX_EARLY_JOBS = 10_000


class Cancellations:
    """Cancel jobs for callers that may; defer what is read before its job.

    A job and its cancellation may be in different partitions, each of which
    is read on its own.
    """

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._early: dict[str, set[str]] = {}
        self._keys: dict[str, set[str]] = {}

    def apply(
        self, engine: engines.Engine, key: str, value: bytes, now: float
    ) -> bool:
        """Apply a record; return False if its job isn't known yet."""
        job_id = topics.cancelled_job(key)
        organisation = topics.decode_cancel(value)
        self._keys.setdefault(job_id, set()).add(key)
        if job_id not in engine.jobs:
            self._defer(job_id, organisation)
            return False
        self._cancel(engine, job_id, organisation, now)
        return True

    def apply_deferred(
        self, engine: engines.Engine, job_id: str, now: float
    ) -> None:
        """Apply the cancellations that were read before their job."""
        for organisation in self._early.pop(job_id, ()):
            self._cancel(engine, job_id, organisation, now)

    def cancel_keys(self, job_id: str) -> set[str]:
        """Return the keys of all records that may cancel a job."""
        return self._keys.get(job_id, set()) | {topics.cancel_key(job_id, '')}

    def forget(self, job_ids: list[str]) -> None:
        """Forget the cancellations of jobs whose records are deleted."""
        for job_id in job_ids:
            self._keys.pop(job_id, None)

    def _cancel(
        self,
        engine: engines.Engine,
        job_id: str,
        organisation: str,
        now: float,
    ) -> None:
        job = engine.jobs.get(job_id)
        if job is None:
            return
        if access.may_access(
            engine.config, job.queue, job.organisation, organisation
        ):
            engine.cancel(job_id, now)
            return
        self._ctx.log.note(
            'cancel_ignored',
            job=job_id,
            organisation=organisation,
            job_organisation=job.organisation,
        )

    def _defer(self, job_id: str, organisation: str) -> None:
        self._early.setdefault(job_id, set()).add(organisation)
        if len(self._early) > MAX_EARLY_JOBS:
            oldest = next(iter(self._early))
            del self._early[oldest]
            self._keys.pop(oldest, None)
