"""Limit the request rate of each sender."""

import collections
import dataclasses

MAX_SENDERS = 4096


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Store the tokens of one sender at the time of its last refill."""

    tokens: float
    refilled_at: float


class RateLimiter:
    """Limit senders with a token bucket each.

    `rate` is in calls per second; a bucket has the tokens of one second, at
    least one. Only the `MAX_SENDERS` most recent senders are tracked, so a
    sender that was evicted starts with a full bucket. `now` is in seconds on
    a monotonic clock.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._burst = max(1.0, rate)
        self._buckets: collections.OrderedDict[str, _Bucket] = (
            collections.OrderedDict()
        )

    def acquire(self, sender: str, now: float, count: int = 1) -> float:
        """Take `count` tokens and return 0, or return the seconds to wait.

        A count above the bucket's capacity is granted once the bucket is
        full, and leaves a negative balance.
        """
        bucket = self._get_bucket(sender, now)
        elapsed_s = max(0.0, now - bucket.refilled_at)
        bucket.tokens = min(
            self._burst, bucket.tokens + elapsed_s * self._rate
        )
        bucket.refilled_at = now
        needed = min(float(count), self._burst)
        if bucket.tokens < needed:
            return (needed - bucket.tokens) / self._rate
        bucket.tokens -= count
        return 0.0

    def _get_bucket(self, sender: str, now: float) -> _Bucket:
        bucket = self._buckets.get(sender)
        if bucket is not None:
            self._buckets.move_to_end(sender)
            return bucket
        if len(self._buckets) >= MAX_SENDERS:
            self._buckets.popitem(last=False)
        bucket = self._buckets[sender] = _Bucket(self._burst, now)
        return bucket
