"""Admit jobs to the queue or refuse them at once."""

import random

from hibiscusslip.model import work
from hibiscusslip.scheduler import _deadlines
from hibiscusslip.scheduler import _ledger
from hibiscusslip.scheduler import _vector
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import feasibility
from hibiscusslip.scheduler import limits

RATE_HALF_LIFE_S = 20.0
MIN_RETRY_AFTER_S = 1.0


class StartRate:
    """Estimate how many tasks start per second."""

    def __init__(self) -> None:
        self._weight = 0.0
        self._at: float | None = None

    def record_start(self, now: float) -> None:
        """Count one start."""
        self._weight = self._decayed_weight(now) + 1.0
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the recent rate.

        It is the decayed weight times the decay rate, ln 2 over the half-life.
        """
        return self._decayed_weight(now) * 0.693 / RATE_HALF_LIFE_S

    def _decayed_weight(self, now: float) -> float:
        if self._at is None:
            return 0.0
        age = max(0.0, now - self._at)
        return self._weight * 0.5 ** (age / RATE_HALF_LIFE_S)


class AdmissionControl:
    """Check jobs before they are queued."""

    def __init__(
        self,
        ledger: _ledger.Ledger,
        deadlines: _deadlines.Deadlines,
        bounds: limits.Limits,
        rng: random.Random,
    ) -> None:
        self._ledger = ledger
        self._deadlines = deadlines
        self._bounds = bounds
        self._rng = rng
        self.rate = StartRate()

    def check(self, spec: work.JobSpec, now: float) -> base.Refused | None:
        """Return why a job is refused, or None to queue it."""
        return (
            self.check_configured(spec)
            or self._check_quota(spec)
            or self._check_feasibility(spec)
            or self._deadlines.check(spec, now)
            or self._check_queue_limits(spec, now)
        )

    def check_configured(self, spec: work.JobSpec) -> base.Refused | None:
        """Refuse kinds and teams that the configuration doesn't have."""
        accounts = self._ledger.accounts
        if not accounts.is_configured(spec.kind):
            return base.Refused(
                base.RefusalReason.UNKNOWN_KIND,
                f'the configuration has no share for kind {spec.kind!r}: '
                'add it to the sheet or use one of: '
                + ', '.join(accounts.configured_kinds()),
            )
        if spec.team not in accounts.quotas:
            return base.Refused(
                base.RefusalReason.UNKNOWN_TEAM,
                f'the configuration has no quota for team {spec.team!r}: '
                'add the team to the sheet',
            )
        return None

    def _check_quota(self, spec: work.JobSpec) -> base.Refused | None:
        limit = self._ledger.accounts.quotas[spec.team].limit
        need = _vector.from_resources(spec.demand)
        if spec.form is work.Form.GANG:
            need = _vector.scale(need, spec.tasks)
        quota_limit = _vector.from_resources(limit)
        if _vector.fits(need, quota_limit):
            return None
        dimensions = ', '.join(_vector.exceeded_dimensions(need, quota_limit))
        return base.Refused(
            base.RefusalReason.QUOTA,
            f'the quota of team {spec.team!r} has too little {dimensions}: '
            f'ask for at most {feasibility.describe(quota_limit)} '
            'or have the quota raised',
            nearest=limit,
        )

    def _check_feasibility(self, spec: work.JobSpec) -> base.Refused | None:
        inventory = self._ledger.inventory
        need = _vector.from_resources(spec.demand)
        if min(need) >= 0 and spec.tasks > 0 and inventory.could_fit(need):
            return None
        known = [
            _vector.to_resources(capacity) for capacity in inventory.capacities
        ]
        known.extend(self._ledger.inventory.remote_capacities)
        return feasibility.check(spec, known)

    def _check_queue_limits(
        self, spec: work.JobSpec, now: float
    ) -> base.Refused | None:
        bounds = self._bounds
        ledger = self._ledger
        rows = (
            ('the shard', ledger.queued, bounds.max_queued),
            (
                f'kind {spec.kind!r}',
                ledger.queued_by_kind[spec.kind],
                bounds.max_queued_per_kind,
            ),
            (
                f'team {spec.team!r}',
                ledger.queued_by_team[spec.team],
                bounds.max_queued_per_team,
            ),
        )
        for scope, queued, maximum in rows:
            if queued + spec.tasks > maximum:
                return self._queue_full(scope, queued, maximum, now)
        return None

    def _queue_full(
        self, scope: str, queued: int, maximum: int, now: float
    ) -> base.Refused:
        wait = self.retry_after(queued, now)
        return base.Refused(
            base.RefusalReason.QUEUE_FULL,
            f'{queued} of {maximum} queued tasks of {scope} wait already: '
            f'try again in {wait:.0f} s',
            retry_after=wait,
        )

    def retry_after(self, queued: int, now: float) -> float:
        """Return in how many seconds half of a queue will have drained.

        The time is bounded and jittered.
        """
        rate = max(self.rate.per_second(now), 1e-3)
        wait = 0.5 * queued / rate * self._rng.uniform(0.8, 1.2)
        bounded = max(wait, MIN_RETRY_AFTER_S)
        return min(bounded, self._bounds.max_retry_after_s)
