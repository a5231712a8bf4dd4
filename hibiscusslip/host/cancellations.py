"""Apply the cancellations that the owner reads from the inbox."""

from hibiscusslip.dispatch import engine as engines
from hibiscusslip.host import access
from hibiscusslip.host import context
from hibiscusslip.host import topics

MAX_DEFERRED_JOBS = 10_000
# Callers wait for 3 s for a job to be accepted, and an append whose response
# was lost may be carried out seconds later.
DEFERRAL_S = 30.0


class Cancellations:
    """Cancel jobs for callers that may access them.

    A cancellation that is read before its job is deferred: both may be in
    different partitions, each of which is read on its own. One of a caller
    whose access can't be decided without a configuration is kept until there
    is one.
    """

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._deferred: dict[str, set[str]] = {}
        self._deferred_at: dict[str, float] = {}
        self._undecided: dict[str, set[str]] = {}

    def apply(
        self, engine: engines.Engine, key: str, value: bytes, now: float
    ) -> bool:
        """Apply a record; return False if its job isn't known yet."""
        job_id = topics.cancelled_job(key)
        organisation = topics.decode_cancel(value)
        if job_id not in engine.jobs:
            self._deferred.setdefault(job_id, set()).add(organisation)
            self._deferred_at.setdefault(job_id, now)
            return False
        self._cancel(engine, job_id, organisation, now)
        return True

    def apply_deferred(
        self, engine: engines.Engine, job_id: str, now: float
    ) -> None:
        """Apply the cancellations that were read before their job."""
        organisations = self._deferred.get(job_id, set())
        self.forget(job_id)
        for organisation in organisations:
            self._cancel(engine, job_id, organisation, now)

    def decide_undecided(self, engine: engines.Engine, now: float) -> None:
        """Decide again about the callers that couldn't be decided about."""
        undecided, self._undecided = self._undecided, {}
        for job_id, organisations in undecided.items():
            for organisation in organisations:
                self._cancel(engine, job_id, organisation, now)

    def forget(self, job_id: str) -> None:
        """Forget the deferred cancellations of a job."""
        self._deferred.pop(job_id, None)
        self._deferred_at.pop(job_id, None)

    def forget_undecided(self, job_id: str) -> None:
        """Forget the undecided cancellations of a former job."""
        self._undecided.pop(job_id, None)

    def find_expired(self, before: float) -> list[str]:
        """Return the jobs whose deferred cancellations have expired.

        These are the ones deferred before `before`, and the oldest ones beyond
        MAX_DEFERRED_JOBS.
        """
        expired: list[str] = []
        excess = len(self._deferred) - MAX_DEFERRED_JOBS
        for job_id, since in self._deferred_at.items():  # oldest first
            if len(expired) >= excess and since >= before:
                break
            expired.append(job_id)
        return expired

    @property
    def overfull(self) -> bool:
        """Return True if too many jobs have deferred cancellations."""
        return len(self._deferred) > MAX_DEFERRED_JOBS

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
        verdict = access.decide_job_access(
            engine.config,
            engine.known_queue_of(job),
            job.organisation,
            organisation,
        )
        if verdict is access.Verdict.ADMITTED:
            engine.cancel(job_id, now)
            return
        if verdict is access.Verdict.UNDECIDED:
            self._undecided.setdefault(job_id, set()).add(organisation)
            self._ctx.metrics.count('access_undecided', call='cancel')
            self._ctx.log.note(
                'cancel_undecided',
                job=job_id,
                organisation=organisation,
                job_organisation=job.organisation,
            )
            return
        self._ctx.log.note(
            'cancel_ignored',
            job=job_id,
            organisation=organisation,
            job_organisation=job.organisation,
        )
