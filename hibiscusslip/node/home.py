"""Serve requests for jobs whose home shard this host owns."""

from hibiscusslip.jobs import exceptions
from hibiscusslip.jobs import index as jobs_index
from hibiscusslip.jobs import model
from hibiscusslip.jobs import view
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.node import clock
from hibiscusslip.node import shard_runner
from hibiscusslip.observe import traces

RECORD_TIMEOUT_SECONDS = 5.0


class NotOwner(exceptions.JobError):
    """Report that this host doesn't own the shard, or no longer does."""

    def __init__(self, shard: places.Shard) -> None:
        super().__init__(
            f'this host does not own shard {shard}; ask its present owner'
        )
        self.retry_after = 0.2


class UnknownJob(exceptions.JobError):
    """Report a job id that the shard doesn't know."""

    def __init__(self, job_id: str) -> None:
        super().__init__(
            f'job {job_id} is not known; it ended long ago, or its request'
            ' was not kept (ask for durable work to have it kept)'
        )


class NotKeptYet(exceptions.JobError):
    """Report that the log has not confirmed a durable job in time."""

    def __init__(self, job_id: str) -> None:
        super().__init__(
            f'job {job_id} may be accepted: the log has not confirmed it yet;'
            ' ask for its status before asking for it again'
        )
        self.retry_after = 1.0


class OwnerChanged(exceptions.JobError):
    """Report that the shard changed its owner after it accepted a job."""

    def __init__(self, job_id: str) -> None:
        super().__init__(
            f'job {job_id} was taken, then its shard went to another host;'
            ' ask the present owner for the same job'
        )
        self.retry_after = 0.2


class Home:
    """Serve the jobs of the shards that this host owns.

    Calls raise NotOwner for a shard that this host may not act for now, or
    that it is transferring.
    """

    def __init__(
        self,
        runners: dict[int, shard_runner.ShardRunner],
        index: jobs_index.JobIndex,
        tracer: traces.Tracer,
    ) -> None:
        self._runners = runners
        self._index = index
        self._tracer = tracer

    def _require_runner(self, shard: places.Shard) -> shard_runner.ShardRunner:
        runner = self._runners.get(shard.number)
        if runner is None or runner.shard != shard:
            raise NotOwner(shard)
        if not runner.may_act(clock.now()) or runner.frozen:
            raise NotOwner(shard)
        return runner

    async def submit(
        self, shard: places.Shard, spec: work.JobSpec, wait: float
    ) -> view.JobView:
        """Accept a job and wait up to `wait` seconds for its final outcome.

        Raises jobs.exceptions.JobError. The request had no effect unless the
        error is NotKeptYet or OwnerChanged.
        """
        runner = self._require_runner(shard)
        with self._tracer.start_span('home', spec.trace) as span:
            span.set_attribute('job', spec.job_id)
            traced = work.with_trace(spec, span.traceparent)
            self._restore_from_index(runner, spec.job_id)
            runner.engine.submit(traced, clock.now())
        await runner.wake()
        if spec.durable:
            recorded = await runner.wait_recorded(
                spec.job_id, RECORD_TIMEOUT_SECONDS
            )
            if not recorded:
                raise NotKeptYet(spec.job_id)
        try:
            return await self._view(runner, spec.job_id, wait)
        except (NotOwner, UnknownJob) as exc:
            if _was_dropped_unsent(runner, spec.job_id):
                raise NotOwner(shard) from exc
            raise OwnerChanged(spec.job_id) from exc

    def _restore_from_index(
        self, runner: shard_runner.ShardRunner, job_id: str
    ) -> None:
        """Restore a final job that only the index of the log still has.

        The same request then gets the old outcome, and work that must not
        be repeated doesn't run again.
        """
        if job_id in runner.engine.jobs:
            return
        job = self._index.find(runner.shard.number, job_id, clock.now())
        if job is not None and job.outcome.final:
            runner.engine.restore(job)

    async def status(
        self, shard: places.Shard, job_id: str, wait: float
    ) -> view.JobView:
        """Return a job's view once it is final, or after `wait` seconds."""
        runner = self._require_runner(shard)
        self._restore_from_index(runner, job_id)
        return await self._view(runner, job_id, wait)

    async def cancel(self, shard: places.Shard, job_id: str) -> view.JobView:
        """Cancel the tasks of a job that have not ended."""
        runner = self._require_runner(shard)
        runner.engine.cancel(job_id, clock.now())
        await runner.wake()
        return await self._view(runner, job_id, 0.0)

    def explain(self, shard: places.Shard, job_id: str) -> view.JobHistory:
        """Return a job's event history and the reasons why it waits."""
        runner = self._require_runner(shard)
        self._restore_from_index(runner, job_id)
        job = runner.engine.jobs.get(job_id)
        if job is None:
            raise UnknownJob(job_id)
        now = clock.now()
        explanation = runner.engine.scheduler.explain(job_id, now)
        return view.history_of(
            job, now, explanation.reasons if explanation else []
        )

    async def _view(
        self, runner: shard_runner.ShardRunner, job_id: str, wait: float
    ) -> view.JobView:
        job = await runner.wait_final(job_id, wait)
        if runner.stopped and not (job and job.outcome.final):
            raise NotOwner(runner.shard)
        if job is None:
            raise UnknownJob(job_id)
        return view.view_of(job, runner.is_reportable(job))


def _was_dropped_unsent(runner: shard_runner.ShardRunner, job_id: str) -> bool:
    """Return whether a job ended with its runner before any of it was sent.

    No other host knows such a job, so that another home may accept it.
    """
    job = runner.engine.jobs.get(job_id)
    if job is None or not runner.stopped or runner.state_sent:
        return False
    return model.is_unsent(job)
