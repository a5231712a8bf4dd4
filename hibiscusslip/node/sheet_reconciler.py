"""Reconcile the jobs of owned shards with the sheet."""

from loguru import logger

from hibiscusslip import configuration
from hibiscusslip.jobs import exceptions
from hibiscusslip.jobs import model
from hibiscusslip.jobs import sheet_jobs
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.node import clock
from hibiscusslip.node import shard_runner

REPLACE_TIMEOUT_SECONDS = 60.0


class SheetReconciler:
    """Submit the jobs listed in the sheet; cancel services it dropped."""

    def __init__(self, shards: list[places.Shard]) -> None:
        self._shards = shards
        self._record: configuration.ConfigRecord | None = None
        self._changed_at = 0.0

    def set_config(self, record: configuration.ConfigRecord) -> None:
        """Set a newer configuration."""
        self._record = record
        self._changed_at = clock.now()

    def get_urgency(self, kind: str) -> work.Urgency:
        """Return the urgency that the sheet assigns to a kind."""
        if self._record is not None:
            for share in self._record.sheet.shares:
                if share.kind == kind:
                    return share.urgency
        return work.Urgency.NORMAL

    async def reconcile(self, runner: shard_runner.ShardRunner) -> None:
        """Reconcile one shard with the sheet."""
        now = clock.now()
        if self._record is None or not runner.engine.is_open:
            return
        if runner.frozen or not runner.may_act(now):
            return
        wanted = sheet_jobs.derive_jobs(
            self._record.sheet,
            self._record.published,
            runner.shard,
            self._shards,
        )
        runner.engine.pin(frozenset(spec.job_id for spec in wanted))
        for spec in wanted:
            self._submit(runner, spec, now)
        self._cancel_unlisted(runner, {s.job_id: s for s in wanted}, now)
        await runner.wake()

    def _submit(
        self,
        runner: shard_runner.ShardRunner,
        spec: work.JobSpec,
        now: float,
    ) -> None:
        """Submit a listed job unless its shard has it already."""
        known = runner.engine.jobs.get(spec.job_id)
        if known is not None and not known.partial:
            return
        try:
            runner.engine.submit(spec, now)
        except exceptions.JobError as exc:
            logger.warning(
                'job of workload {} is not accepted: {}', spec.workload, exc
            )

    def _cancel_unlisted(
        self,
        runner: shard_runner.ShardRunner,
        wanted: dict[str, work.JobSpec],
        now: float,
    ) -> None:
        """Cancel services that the sheet has removed or replaced."""
        jobs = list(runner.engine.jobs.values())
        for job in jobs:
            job_id = job.spec.job_id
            if job.outcome.final or job.cancelled or job_id in wanted:
                continue
            if not sheet_jobs.is_service_id(job_id):
                continue
            if self._is_replaced(runner, job, wanted, now):
                runner.engine.cancel(job_id, now)

    def _is_replaced(
        self,
        runner: shard_runner.ShardRunner,
        job: model.Job,
        wanted: dict[str, work.JobSpec],
        now: float,
    ) -> bool:
        """Return whether a service may be cancelled.

        That is when all tasks of its replacement run, if it has one, or after
        REPLACE_TIMEOUT_SECONDS.
        """
        successors = [
            job_id
            for job_id, spec in wanted.items()
            if spec.workload == job.spec.workload
            and spec.form == work.Form.SERVICE
        ]
        if now - self._changed_at > REPLACE_TIMEOUT_SECONDS:
            return True
        return all(_all_running(runner, job_id) for job_id in successors)


def _all_running(runner: shard_runner.ShardRunner, job_id: str) -> bool:
    job = runner.engine.jobs.get(job_id)
    if job is None:
        return False
    return all(t.phase == model.Phase.RUNNING for t in job.tasks.values())
