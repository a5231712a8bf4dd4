"""Reject new jobs that the owner's forecast says would be of no use.

A rejection says that the job has not run and never runs. So a host rejects no
ID that it has passed on once, whatever became of it, and asks the owner about
the others: the job may have been accepted by another host whose answer was
lost. If the owner can't be asked, the job is accepted. Two heartbeats in a row
must agree, so that a job which another host is just writing was rejected there
too, unless that host has no heartbeats or writes for longer than both.
"""

import abc

from hibiscusslip.dispatch import admission
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.host import context
from hibiscusslip.host import load_report
from hibiscusslip.host import notices

MAX_NOTICE_AGE_S = 1.5
MAX_PASSED_IDS = 10_000


class KnownJobs(abc.ABC):
    """Interface to the jobs that the owner has read."""

    @abc.abstractmethod
    async def may_know_job(self, job_id: str) -> bool:
        """Return False if the owner says that it hasn't read the job."""


class AdmissionControl:
    """Decide about the new jobs that one host receives."""

    def __init__(self, ctx: context.Context, known_jobs: KnownJobs) -> None:
        self._ctx = ctx
        self._known_jobs = known_jobs
        self._passed: dict[str, None] = {}

    async def check(
        self,
        job_id: str,
        submission: records.Submission,
        queue: model.Queue,
        spec: model.JobSpec,
    ) -> admission.Rejection | None:
        """Return why a job is rejected, or None if it is to be written."""
        config = self._ctx.config
        if config is None or config.organisations is None:
            return None
        rejection = None
        if job_id not in self._passed:
            rejection = self._decide(
                job_id, submission.organisation, queue, spec
            )
        if rejection is not None:
            if not await self._known_jobs.may_know_job(job_id):
                self._record(job_id, submission, rejection)
                return rejection
        self._remember(job_id)
        return None

    def _decide(
        self,
        job_id: str,
        organisation: str,
        queue: model.Queue,
        spec: model.JobSpec,
    ) -> admission.Rejection | None:
        """Return a rejection if both of the last heartbeats call for it."""
        ownership = self._ctx.ownership
        heard_at = ownership.last_notice_at
        if heard_at is None:
            return None
        if context.monotonic() > heard_at + MAX_NOTICE_AGE_S:
            return None
        rejection = None
        for notice in (ownership.former_notice, ownership.owner):
            if notice is None or notice.kind != notices.HEARTBEAT:
                return None
            rejection = admission.decide(
                job_id,
                spec,
                queue,
                load_report.read_prediction(notice, queue),
                notice.beyond.get(organisation, 0),
                load_report.read_ratio(notice, queue.name),
                self._counted_limit(organisation),
            )
            if rejection is None:
                return None
        return rejection

    def _counted_limit(self, organisation: str) -> model.Demand:
        """Return the limit by which waves are counted, if they are."""
        config = self._ctx.config
        policy = self._ctx.options.policy_under(config)
        if config is None or not policy.learned_run_times:
            return admission.NO_LIMIT
        return admission.limit_of(config, organisation)

    def _remember(self, job_id: str) -> None:
        """Remember a job that may get written, the newest ones only."""
        self._passed[job_id] = None
        if len(self._passed) > MAX_PASSED_IDS:
            del self._passed[next(iter(self._passed))]

    def _record(
        self,
        job_id: str,
        submission: records.Submission,
        rejection: admission.Rejection,
    ) -> None:
        reason = 'within' if rejection.within else 'beyond'
        self._ctx.metrics.count(
            'jobs_rejected', queue=submission.queue, entitlement=reason
        )
        self._ctx.log.note(
            'job_rejected',
            job=job_id,
            queue=submission.queue,
            organisation=submission.organisation,
            entitlement=reason,
            wait_ms=int(rejection.wait * 1000),
            useful_ms=int(rejection.useful_wait * 1000),
            ratio=rejection.ratio,
            retry_after=rejection.retry_after,
        )


def describe(rejection: admission.Rejection) -> str:
    """Return the reason that the caller is told."""
    subject = (
        'the job'
        if rejection.within
        else "the job, which is beyond its organisation's rate,"
    )
    return (
        f'not accepted and never run: {subject} would wait for'
        f' {rejection.wait:.1f} s, and is of no use after'
        f' {max(rejection.useful_wait, 0.0):.1f} s'
    )
