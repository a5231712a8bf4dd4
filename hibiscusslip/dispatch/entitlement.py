"""Decide which jobs of an organisation are within its entitlement.

An organisation is entitled to `weight` jobs a second. A token bucket for each
holds the jobs of one second, at least one, and runs on the times at which the
hosts accepted the jobs. So a new owner, which reads the same submissions in
order of acceptance, gets the same result, whenever it reads them.
"""

import dataclasses

from hibiscusslip.dispatch import model

BURST_S = 1.0
MIN_BURST_JOBS = 1.0
ROUNDING_JOBS = 1e-9


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The jobs that an organisation may submit as of `updated_at`."""

    tokens: float
    updated_at: float

    def take(self, rate: float, accepted: float) -> bool:
        """Take a token for a job; return False if there is none.

        A job that was accepted before an earlier one adds no tokens, as
        those of that time are added already.
        """
        burst = max(rate * BURST_S, MIN_BURST_JOBS)
        elapsed = max(accepted - self.updated_at, 0.0)
        self.updated_at += elapsed
        self.tokens = min(self.tokens + rate * elapsed, burst)
        if self.tokens < 1.0 - ROUNDING_JOBS:
            return False
        self.tokens -= 1.0
        return True


class Entitlements:
    """The token buckets of all organisations."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def admit(self, organisation: str, weight: float, accepted: float) -> bool:
        """Return True if a job is within its organisation's entitlement.

        `weight` is in jobs a second, `accepted` a Unix time.
        """
        bucket = self._buckets.get(organisation)
        if bucket is None:
            burst = max(weight * BURST_S, MIN_BURST_JOBS)
            bucket = _Bucket(burst, accepted)
            self._buckets[organisation] = bucket
        return bucket.take(weight, accepted)


def weight_of(config: model.Configuration | None, organisation: str) -> float:
    """Return an organisation's weight.

    One that isn't configured, or not any more, has the default weight.
    """
    organisations = (config.organisations if config else None) or {}
    known = organisations.get(organisation)
    return known.weight if known else model.Organisation('').weight
