"""Compute the delay before a host may be dialled again."""

import random

from hibiscusslip.peer import limits


class Backoff:
    """Provide exponential backoff with jitter.

    The delay doubles with each failure, from `min_backoff` up to
    `max_backoff` seconds; between half of it and all of it is applied.
    `now` is a reading of the monotonic clock.
    """

    def __init__(self, lim: limits.Limits, rng: random.Random):
        self._limits = lim
        self._rng = rng
        self._delay = lim.min_backoff
        self._not_before = 0.0

    def remaining(self, now: float) -> float:
        """Return the seconds to wait before the next attempt."""
        return max(0.0, self._not_before - now)

    def record_failure(self, now: float) -> None:
        """Record an attempt that failed at `now`."""
        jitter = self._rng.uniform(0.5, 1.0)
        self._not_before = now + self._delay * jitter
        self._delay = min(self._delay * 2, self._limits.max_backoff)

    def reset(self) -> None:
        """Reset the delay to its minimum, after a success."""
        self._delay = self._limits.min_backoff
        self._not_before = 0.0
