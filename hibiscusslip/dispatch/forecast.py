"""Keep the predicted waits that the owner tells the hosts."""

from hibiscusslip.dispatch import admission
from hibiscusslip.dispatch import arrivals
from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import occupancy
from hibiscusslip.dispatch import ordering
from hibiscusslip.dispatch import state

UPDATE_PERIOD_S = 0.4  # as often as the owner's heartbeats
MAX_AGE_S = 1.0  # an owner that can't plan tells nothing
NO_WAIT = admission.Prediction()


class Forecast:
    """Predict what new jobs have to expect.

    `predictions` are by queue. `beyond_percents` are the organisations that
    send beyond their entitlement, with the part of their jobs that is.
    """

    def __init__(self) -> None:
        self.predictions = admission.NO_PREDICTIONS
        self.beyond_percents: dict[str, int] = {}
        self._arrivals = arrivals.Arrivals()
        self._updated_at = float('-inf')
        self._estimator = estimates.Estimates()
        self._ratios: dict[str, float] = {}  # last reported, by queue

    def count(self, job: state.Job, config: model.Configuration) -> None:
        """Count a new job that was classified."""
        now = job.submitted_at
        beyond = not job.within_entitlement
        works = (
            admission.work_of(
                step, step.count, self._estimator.work_time(job, step)
            )
            for step in job.spec.steps
            if not step.long_running
        )
        for work in works:
            self._arrivals.add_work(job.queue, beyond, work, now)
        if not job.organisation:
            return
        percent = self.beyond_percents.get(job.organisation, 0)
        queue = config.queues.get(job.queue)
        sent = 1.0  # jobs for each accepted one; hosts reject the others
        if percent and queue is not None:
            predicted = self.predictions.get(job.queue, NO_WAIT)
            ratio = self._ratios.get(job.queue, 1.0)
            limit = admission.NO_LIMIT
            if self._estimator.policy.learned_run_times:
                limit = admission.limit_of(config, job.organisation)
            useful = admission.useful_wait(job.spec, queue, ratio, limit)
            if predicted.beyond > useful:
                sent = admission.PERCENT / (admission.PERCENT - percent)
        self._arrivals.add_job(job.organisation, sent, now)

    def is_due(self, config: model.Configuration | None, now: float) -> bool:
        """Return True if the predictions should be updated."""
        if config is None or config.organisations is None:
            self.predictions = admission.NO_PREDICTIONS
            self.beyond_percents = {}
            return False
        return now >= self._updated_at + UPDATE_PERIOD_S

    def is_current(self, now: float) -> bool:
        """Return True if the predictions are recent enough to be told."""
        return now < self._updated_at + MAX_AGE_S

    def update(
        self,
        config: model.Configuration,
        ranked: list[tuple[ordering.Rank, state.StepState]],
        pools: dict[str, list[state.Endpoint]],
        estimator: estimates.Estimates,
        now: float,
    ) -> None:
        """Update the predictions from the steps that wait after a pass.

        Counts all listed endpoints: a new owner has polled few of them yet.
        """
        self._updated_at = now
        self._estimator = estimator
        self._ratios = estimator.reported_ratios()

        def find_releases(service: str) -> list[occupancy.Release]:
            pool = pools.get(service, [])
            return occupancy.find_releases(pool, priority_of, estimator, now)

        def priority_of(job: state.Job) -> int:
            queue = config.queues.get(job.queue)
            return queue.priority if queue is not None else 0

        self.predictions = admission.predict(
            ranked,
            config,
            {service: _capacity(pool) for service, pool in pools.items()},
            self._arrivals.work(now),
            estimator,
            find_releases,
        )
        organisations = config.organisations or {}
        weights = {name: item.weight for name, item in organisations.items()}
        self.beyond_percents = self._arrivals.beyond_percents(weights, now)


def _capacity(pool: list[state.Endpoint]) -> admission.Work:
    entries = [
        endpoint.entry
        for endpoint in pool
        if endpoint.entry is not None and not endpoint.entry.draining
    ]
    cpu = sum(entry.capacity.cpu for entry in entries)
    accelerators = sum(entry.capacity.accelerators for entry in entries)
    return cpu / 1000, accelerators
