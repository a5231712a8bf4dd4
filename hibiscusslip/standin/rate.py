"""Limit the rate of events."""


class RateLimit:
    """Admit `per_second` events and queue others for up to `queue_s` seconds.

    A rate of zero means no limit.
    """

    def __init__(self, per_second: float, queue_s: float) -> None:
        self.per_second = per_second
        self._queue_s = queue_s
        self._next_free_at = 0.0

    def reserve(self, now: float) -> float | None:
        """Return the delay in seconds, or None when the queue is full."""
        if self.per_second <= 0:
            return 0.0
        start = max(now, self._next_free_at)
        if start - now > self._queue_s:
            return None
        self._next_free_at = start + 1.0 / self.per_second
        return start - now
