"""Define what callers ask of the node."""

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
    """Tell whether work is taken, and if not why."""

    ready: bool
    detail: str = ''


class JobService(abc.ABC):
    """Serve callers' jobs.

    Every call may raise UnknownJob, Unavailable or Unsettled.
    """

    @abc.abstractmethod
    async def submit(self, spec: work.JobSpec) -> JobState:
        """Queue a job, or return the state of the one with the same id.

        A durable job is answered only once its record is kept. Raises
        KeyReused when the same id stands for another job.
        """

    @abc.abstractmethod
    async def wait(self, job_id: str, timeout: float) -> JobState:
        """Return the state once it is final or `timeout` s have passed."""

    @abc.abstractmethod
    async def cancel(self, job_id: str) -> JobState:
        """Cancel a job and return its state, which may not be final yet."""

    @abc.abstractmethod
    async def status(self, job_id: str) -> JobState:
        """Return how a job stands."""

    @abc.abstractmethod
    async def explain(self, job_id: str) -> JobHistory:
        """Return a job's history with reasons."""

    @abc.abstractmethod
    def readiness(self) -> Readiness:
        """Tell whether this host takes work."""

    async def submit_and_wait(
        self, spec: work.JobSpec, wait: float
    ) -> JobState:
        """Queue a job and wait up to `wait` s for its end.

        Raises as `submit` does; a failed wait leaves the job queued.
        """
        state = await self.submit(spec)
        if state.outcome.final or wait <= 0:
            return state
        try:
            return await self.wait(state.job_id, wait)
        except exceptions.JobError:
            # It was queued, and that is what the caller has to learn.
            return state

    async def submit_all(
        self, specs: list[work.JobSpec], wait: float
    ) -> list[JobState]:
        """Queue jobs and return the state of each; raises no JobError.

        A job that can't be queued is told so by its own outcome, as others
        of the list may be queued already.
        """
        return [
            await self.submit_reporting_failure(spec, wait) for spec in specs
        ]

    async def submit_reporting_failure(
        self, spec: work.JobSpec, wait: float
    ) -> JobState:
        """Queue one of many jobs; its own outcome tells a failure."""
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
        """Return the whole answer of a job that succeeded."""
        state = await self.status(job_id)
        return state.answer

    def default_urgency(self, kind: str) -> work.Urgency:
        """Return the urgency of jobs of a kind that name none."""
        return work.Urgency.NORMAL

    def new_job_id(self, team: str, key: str) -> str:
        """Return a job's id: the same for the same team and key.

        So a retry finds the job of the first try, wherever it arrives.
        """
        if not key:
            return f'j-{secrets.token_hex(ID_BYTES)}'
        text = f'{len(team)}:{team}:{key}'.encode()
        return f'k-{hashlib.sha256(text).hexdigest()[: 2 * ID_BYTES]}'
