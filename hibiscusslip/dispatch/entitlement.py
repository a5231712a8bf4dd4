"""Decide which jobs of an organisation are within its entitlement.

An organisation is entitled to `weight` jobs a second, on average over a window
that the deployment sets. A token bucket for each holds the jobs of one window,
at least one: callers don't come evenly spaced, and a small organisation often
sends two jobs within a second. The bucket runs on the times at which the hosts
accepted the jobs. So a new owner, which reads the same submissions in order of
acceptance, gets the same result, whenever it reads them.
"""

import dataclasses

from hibiscusslip.dispatch import model

DEFAULT_WINDOW_S = 1.0
MIN_BURST_JOBS = 1.0
ROUNDING_JOBS = 1e-9


@dataclasses.dataclass(slots=True)
class _Bucket:
    """The jobs that an organisation may submit as of `updated_at`."""

    tokens: float
    updated_at: float

    def take(self, rate: float, burst: float, accepted: float) -> bool:
        """Take a token for a job; return False if there is none.

        The bucket gets `rate` tokens a second and holds `burst`. A job that
        was accepted before an earlier one adds no tokens, as those of that
        time are added already.
        """
        elapsed = max(accepted - self.updated_at, 0.0)
        self.updated_at += elapsed
        self.tokens = min(self.tokens + rate * elapsed, burst)
        if self.tokens < 1.0 - ROUNDING_JOBS:
            return False
        self.tokens -= 1.0
        return True


class Entitlements:
    """The token buckets of all organisations; `window` is in seconds."""

    def __init__(self, window: float = DEFAULT_WINDOW_S) -> None:
        self._window = window
        self._buckets: dict[str, _Bucket] = {}

    def take(self, organisation: str, weight: float, accepted: float) -> bool:
        """Count a job; return True if it is within the entitlement.

        `weight` is in jobs a second, `accepted` a Unix time.
        """
        burst = max(weight * self._window, MIN_BURST_JOBS)
        bucket = self._buckets.get(organisation)
        if bucket is None:
            bucket = _Bucket(burst, accepted)
            self._buckets[organisation] = bucket
        return bucket.take(weight, burst, accepted)


def weight_of(config: model.Configuration | None, organisation: str) -> float:
    """Return an organisation's weight.

    One that isn't configured, or not any more, has the default weight.
    """
    organisations = (config.organisations if config else None) or {}
    known = organisations.get(organisation)
    return known.weight if known else model.Organisation('').weight
