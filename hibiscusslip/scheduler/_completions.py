"""Learn from runs that ended."""

from hibiscusslip.model import work
from hibiscusslip.scheduler import _estimates
from hibiscusslip.scheduler import _health
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import limits

STABLE_RUN_S = 60.0  # after which a failure ends the restart backoff


class Completions:
    """Record run times, the health of endpoints and backoffs of services."""

    def __init__(
        self,
        estimator: _estimates.Estimator,
        health: _health.EndpointHealth,
        bounds: limits.Limits,
    ) -> None:
        self._estimator = estimator
        self._health = health
        self._bounds = bounds

    def record(
        self, job: _jobs.Job, index: int, outcome: base.RunOutcome, now: float
    ) -> None:
        """Record the end of the run of a placed task."""
        elapsed = now - job.started_at.get(index, now)
        history = self._estimator.history(job.spec)
        if outcome is base.RunOutcome.SUCCEEDED:
            history.add_run_time(elapsed)
        name = job.placed[index]
        if self._bounds.quarantine_enabled:
            self._health.record_run(name, outcome, elapsed, history, now)
        if job.spec.form is work.Form.SERVICE:
            self._back_off(job, outcome, elapsed)

    def _back_off(
        self, job: _jobs.Job, outcome: base.RunOutcome, elapsed: float
    ) -> None:
        """Update the restart backoff of a service after a run."""
        if outcome is not base.RunOutcome.FAILED or elapsed >= STABLE_RUN_S:
            job.backoff = 0.0
            return
        longer = max(self._bounds.service_backoff_s, 2 * job.backoff)
        job.backoff = min(longer, self._bounds.max_service_backoff_s)
