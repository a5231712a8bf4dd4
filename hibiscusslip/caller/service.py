"""Define the job service behind the callers' API."""

import abc
import collections.abc
import dataclasses
import hashlib
import secrets

from hibiscusslip.caller import exceptions
from hibiscusslip.jobs import view
from hibiscusslip.model import work

ID_BYTES = 12


JobState = view.JobView
JobHistory = view.JobHistory


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """Represent whether a host accepts jobs; `detail` is the reason if not."""

    ready: bool
    detail: str = ''


class JobService(abc.ABC):
    """Provide the operations of the callers' API.

    Every call may raise UnknownJob, Unavailable or OutcomeUnknown.
    """

    @abc.abstractmethod
    async def submit(self, spec: work.JobSpec) -> JobState:
        """Queue a job, or return the state of the job with the same id.

        For a durable job it returns only once the job's record is stored.
        Raises KeyReused if the job with the same id is a different one.
        """

    @abc.abstractmethod
    async def wait(self, job_id: str, timeout: float) -> JobState:
        """Return the state once it is final or after `timeout` seconds."""

    @abc.abstractmethod
    async def cancel(self, job_id: str) -> JobState:
        """Request cancellation; the returned state may not be final yet."""

    @abc.abstractmethod
    async def status(self, job_id: str) -> JobState:
        """Return the current state of a job."""

    @abc.abstractmethod
    async def explain(self, job_id: str) -> JobHistory:
        """Return a job's event history, with the reasons why it waits."""

    @abc.abstractmethod
    def readiness(self) -> Readiness:
        """Return whether this host accepts jobs."""

    async def submit_and_wait(
        self, spec: work.JobSpec, wait: float
    ) -> JobState:
        """Queue a job and wait up to `wait` seconds for its completion.

        Raises as `submit` does. A failed wait leaves the job queued, and
        returns the state from the submission.
        """
        state = await self.submit(spec)
        if state.outcome.final or wait <= 0:
            return state
        try:
            return await self.wait(state.job_id, wait)
        except exceptions.JobError:
            # The job is queued. An error would make the caller believe that
            # the submission failed.
            return state

    async def submit_all(
        self, specs: list[work.JobSpec], wait: float
    ) -> list[JobState]:
        """Queue jobs and return the state of each; raises no JobError.

        A failure is reported in the outcome of its job, because other jobs
        of the list may be queued already.
        """
        return [
            await self.submit_reporting_failure(spec, wait) for spec in specs
        ]

    async def submit_reporting_failure(
        self, spec: work.JobSpec, wait: float
    ) -> JobState:
        """Queue one job of a list and report a failure as its outcome."""
        try:
            return await self.submit_and_wait(spec, wait)
        except exceptions.Unavailable as exc:
            return JobState(
                spec.job_id,
                work.Outcome.NOT_RUN,
                str(exc),
                retry_after=exc.retry_after,
            )
        except exceptions.KeyReused as exc:
            return JobState(spec.job_id, work.Outcome.NOT_RUN, str(exc))
        except exceptions.JobError as exc:
            return JobState(spec.job_id, work.Outcome.UNKNOWN, str(exc))

    async def answer(
        self, job_id: str
    ) -> bytes | collections.abc.AsyncIterator[bytes]:
        """Return the complete result of a job that succeeded."""
        state = await self.status(job_id)
        return state.answer

    def default_urgency(self, kind: str) -> work.Urgency:
        """Return the urgency of jobs of a kind that specify none."""
        return work.Urgency.NORMAL

    def new_job_id(self, team: str, key: str) -> str:
        """Return the id of a new job, random if `key` is empty.

        The id is derived from team and idempotency key, so that a retry
        finds the job of the first attempt on any host.
        """
        if not key:
            return f'j-{secrets.token_hex(ID_BYTES)}'
        text = f'{len(team)}:{team}:{key}'.encode()
        return f'k-{hashlib.sha256(text).hexdigest()[: 2 * ID_BYTES]}'
