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

    def note(self, now: float) -> None:
        """Count one start."""
        self._weight = self._faded(now) + 1.0
        self._at = now

    def per_second(self, now: float) -> float:
        """Return the recent rate."""
        return self._faded(now) * 0.693 / RATE_HALF_LIFE_S

    def _faded(self, now: float) -> float:
        if self._at is None:
            return 0.0
        age = max(0.0, now - self._at)
        return self._weight * 0.5 ** (age / RATE_HALF_LIFE_S)


class Door:
    """Judge jobs before they are queued."""

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

    def judge(self, spec: work.JobSpec, now: float) -> base.Refused | None:
        """Return why a job isn't queued, None to queue it."""
        return (
            self.unknown(spec)
            or self._over_quota(spec)
            or self._impossible(spec)
            or self._deadlines.refuse(spec, now)
            or self._full(spec, now)
        )

    def unknown(self, spec: work.JobSpec) -> base.Refused | None:
        """Refuse kinds and teams that the configuration lacks."""
        accounts = self._ledger.accounts
        if not accounts.known_kind(spec.kind):
            return base.Refused(
                base.RefusalReason.UNKNOWN_KIND,
                f'the configuration has no share for kind {spec.kind!r}: '
                'add it to the sheet or use one of: '
                + ', '.join(accounts.known_kinds()),
            )
        if spec.team not in accounts.quotas:
            return base.Refused(
                base.RefusalReason.UNKNOWN_TEAM,
                f'the configuration has no quota for team {spec.team!r}: '
                'add the team to the sheet',
            )
        return None

    def _over_quota(self, spec: work.JobSpec) -> base.Refused | None:
        limit = self._ledger.accounts.quotas[spec.team].limit
        need = _vector.of(spec.demand)
        if spec.form is work.Form.GANG:
            need = _vector.scale(need, spec.tasks)
        whole = _vector.of(limit)
        if _vector.fits(need, whole):
            return None
        words = ', '.join(_vector.short(need, whole))
        return base.Refused(
            base.RefusalReason.QUOTA,
            f'the quota of team {spec.team!r} has too little {words}: '
            f'ask for at most {feasibility.describe(whole)} '
            'or have the quota raised',
            nearest=limit,
        )

    def _impossible(self, spec: work.JobSpec) -> base.Refused | None:
        book = self._ledger.book
        need = _vector.of(spec.demand)
        if min(need) >= 0 and spec.tasks > 0 and book.could_fit(need):
            return None
        known = [_vector.amount(room) for room in book.capacities]
        known.extend(self._ledger.book.elsewhere)
        return feasibility.judge(spec, known)

    def _full(self, spec: work.JobSpec, now: float) -> base.Refused | None:
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
        for owner, queued, most in rows:
            if queued + spec.tasks > most:
                return self._queue_full(owner, queued, most, now)
        return None

    def _queue_full(
        self, owner: str, queued: int, most: int, now: float
    ) -> base.Refused:
        wait = self.retry_after(queued, now)
        return base.Refused(
            base.RefusalReason.QUEUE_FULL,
            f'{queued} of {most} queued tasks of {owner} wait already: '
            f'try again in {wait:.0f} s',
            retry_after=wait,
        )

    def retry_after(self, queued: int, now: float) -> float:
        """Return when half of a queue will have drained, in seconds."""
        rate = max(self.rate.per_second(now), 1e-3)
        wait = 0.5 * queued / rate * self._rng.uniform(0.8, 1.2)
        bounded = max(wait, MIN_RETRY_AFTER_S)
        return min(bounded, self._bounds.max_retry_after)
