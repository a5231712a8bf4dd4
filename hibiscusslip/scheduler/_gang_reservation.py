"""Reserve endpoints for one gang at a time and backfill the gaps."""

import dataclasses

from hibiscusslip.model import work
from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _estimates
from hibiscusslip.scheduler import _fit_counts
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _ledger
from hibiscusslip.scheduler import _vector

MAX_ENDPOINTS_CONSIDERED = 256
REPLAN_AFTER_S = 2.0
RETRY_DELAY_S = 1.0
MAX_DELAY_DOUBLINGS = 5


@dataclasses.dataclass(slots=True)
class Plan:
    """Represent the endpoints reserved for a gang and its expected start."""

    job: _jobs.Job
    endpoints: list[_endpoints.Endpoint]
    start_at: float
    replan_at: float


class GangReserver:
    """Reserve endpoints for one gang.

    Only one gang has a reservation at a time, so that two gangs never wait for
    each other. Work that is expected to complete before the gang starts may
    still use the reserved endpoints (backfill).
    """

    def __init__(
        self,
        ledger: _ledger.Ledger,
        estimator: _estimates.Estimator,
        backfill: bool,
    ) -> None:
        self._backfill = backfill
        self._ledger = ledger
        self._estimator = estimator
        self.plan: Plan | None = None
        self.backfilled = 0

    def reserve(self, job: _jobs.Job, now: float) -> bool:
        """Reserve endpoints for a gang; return False if they can't suffice."""
        plan = self._make_plan(job, now) if now >= job.reserve_after else None
        if plan is None:
            return False
        self.plan = plan
        for endpoint in plan.endpoints:
            self._set_reserved(endpoint, True)
        return True

    def abandon(self, now: float) -> None:
        """Release the endpoints and delay the gang's next reservation.

        Free capacity alone does not let a gang start: shares, and what is
        reserved for other kinds, can block it for an unlimited time.
        """
        if self.plan is None:
            return
        job = self.plan.job
        doublings = min(job.failed_reservations, MAX_DELAY_DOUBLINGS)
        job.reserve_after = now + RETRY_DELAY_S * 2**doublings
        job.failed_reservations += 1
        self.release()

    def release(self) -> None:
        """Release the reserved endpoints."""
        if self.plan is None:
            return
        endpoints = self.plan.endpoints
        self.plan = None
        for endpoint in endpoints:
            self._set_reserved(endpoint, False)
            if endpoint.open:
                self._ledger.handle_freed(endpoint)

    def handle_lost(self, endpoint: _endpoints.Endpoint) -> None:
        """Release the plan if it includes an endpoint that is removed.

        It may return under its name with another capacity.
        """
        if self.plan is not None and endpoint in self.plan.endpoints:
            self.release()

    def update(self, now: float) -> None:
        """Release the plan of a gang that is gone; replan one that is late."""
        plan = self.plan
        if plan is None:
            return
        job = plan.job
        if not job.pending:
            self.release()
        elif now >= plan.replan_at and self.is_ready():
            self.abandon(now)
        elif now >= plan.replan_at:
            self.release()
            self.reserve(job, now)

    def is_ready(self) -> bool:
        """Return True if the reserved endpoints can run the whole gang."""
        plan = self.plan
        if plan is None:
            return False
        need = plan.job.demand
        fits = sum(
            _fit_counts.count_fitting(need, e.free) for e in plan.endpoints
        )
        return fits >= len(plan.job.pending)

    def backfill(
        self, job: _jobs.Job, now: float
    ) -> _endpoints.Endpoint | None:
        """Return a reserved endpoint that a short task may use meanwhile."""
        plan = self.plan
        if plan is None or job is plan.job or not self._backfill:
            return None
        time_left = plan.start_at - now
        if self._estimator.estimate(job.spec).p90 > time_left:
            return None
        for endpoint in plan.endpoints:
            if endpoint.usable and _vector.fits(job.demand, endpoint.free):
                self.backfilled += 1
                return endpoint
        return None

    def _set_reserved(
        self, endpoint: _endpoints.Endpoint, reserved: bool
    ) -> None:
        endpoint.reserved = reserved
        if endpoint.name in self._ledger.inventory.endpoints:
            self._ledger.inventory.refresh(endpoint)

    def _make_plan(self, job: _jobs.Job, now: float) -> Plan | None:
        steps: list[tuple[float, int, int]] = []
        endpoints = self._considered_endpoints()
        for position, endpoint in enumerate(endpoints):
            steps.extend(self._steps(job.demand, endpoint, position, now))
        steps.sort()
        remaining = len(job.pending)
        chosen: set[int] = set()
        for when, position, more in steps:
            chosen.add(position)
            remaining -= more
            if remaining <= 0:
                reserved = [endpoints[i] for i in sorted(chosen)]
                replan = max(when, now) + REPLAN_AFTER_S
                return Plan(job, reserved, when, replan)
        return None

    def _considered_endpoints(self) -> list[_endpoints.Endpoint]:
        endpoints = [
            e for e in self._ledger.inventory.endpoints.values() if e.usable
        ]
        if len(endpoints) <= MAX_ENDPOINTS_CONSIDERED:
            return endpoints
        step = len(endpoints) / MAX_ENDPOINTS_CONSIDERED
        return [
            endpoints[int(i * step)] for i in range(MAX_ENDPOINTS_CONSIDERED)
        ]

    def _steps(
        self,
        need: _vector.Vector,
        endpoint: _endpoints.Endpoint,
        position: int,
        now: float,
    ) -> list[tuple[float, int, int]]:
        """Return when an endpoint gains capacity, and for how many tasks."""
        free = endpoint.free
        count = _fit_counts.count_fitting(need, free)
        steps = [(now, position, count)] if count else []
        for when, amount in sorted(self._expected_completions(endpoint, now)):
            free = _vector.add(free, amount)
            more = _fit_counts.count_fitting(need, free) - count
            if more > 0:
                steps.append((when, position, more))
                count += more
        return steps

    def _expected_completions(
        self, endpoint: _endpoints.Endpoint, now: float
    ) -> list[tuple[float, _vector.Vector]]:
        completions = []
        for task, amount in endpoint.tasks.items():
            job = self._ledger.jobs.get(work.job_of(task))
            if job is None or job.spec.form is work.Form.SERVICE:
                continue
            started_at = job.started_at.get(work.index_of(task), now)
            completion = started_at + self._estimator.estimate(job.spec).p90
            if completion <= now:
                completion = now + max(now - started_at, REPLAN_AFTER_S)
            completions.append((completion, amount))
        return completions
