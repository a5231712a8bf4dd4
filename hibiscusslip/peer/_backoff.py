"""Decide when a host may be dialled again."""

import random

from hibiscusslip.peer import limits


class Backoff:
    """Double the pause after each failure, with jitter, up to a limit."""

    def __init__(self, lim: limits.Limits, rng: random.Random):
        self._limits = lim
        self._rng = rng
        self._pause = lim.min_backoff
        self._not_before = 0.0

    def remaining(self, now: float) -> float:
        """Return the seconds to wait before the next attempt."""
        return max(0.0, self._not_before - now)

    def failed(self, now: float) -> None:
        """Note a failed attempt at `now`."""
        jitter = self._rng.uniform(0.5, 1.0)
        self._not_before = now + self._pause * jitter
        self._pause = min(self._pause * 2, self._limits.max_backoff)

    def reset(self) -> None:
        """Forget earlier failures."""
        self._pause = self._limits.min_backoff
        self._not_before = 0.0
