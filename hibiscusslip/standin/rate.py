"""Limit how often something may happen."""


class RateLimit:
    """Let `per_second` events through and queue at most `queue_s` seconds.

    Zero means no limit.
    """

    def __init__(self, per_second: float, queue_s: float) -> None:
        self.per_second = per_second
        self._queue_s = queue_s
        self._free_at = 0.0

    def take(self, now: float) -> float | None:
        """Return how long to wait in seconds, None when the queue is full."""
        if self.per_second <= 0:
            return 0.0
        start = max(now, self._free_at)
        if start - now > self._queue_s:
            return None
        self._free_at = start + 1.0 / self.per_second
        return start - now
