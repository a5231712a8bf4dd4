"""Limit how often one sender may call."""

import collections
import dataclasses

MAX_SENDERS = 4096


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_at: float


class RateLimiter:
    """Give each sender `rate` calls a second, and a burst of one second.

    Only the latest `MAX_SENDERS` are remembered; `now` is in seconds on a
    clock that never steps back.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._burst = max(1.0, rate)
        self._buckets: collections.OrderedDict[str, _Bucket] = (
            collections.OrderedDict()
        )

    def take(self, sender: str, now: float, count: int = 1) -> float:
        """Take `count` calls and return 0, or the seconds to wait.

        More calls than a whole burst pass once the burst is full.
        """
        bucket = self._bucket(sender, now)
        passed = max(0.0, now - bucket.filled_at)
        bucket.tokens = min(self._burst, bucket.tokens + passed * self._rate)
        bucket.filled_at = now
        needed = min(float(count), self._burst)
        if bucket.tokens < needed:
            return (needed - bucket.tokens) / self._rate
        bucket.tokens -= count
        return 0.0

    def _bucket(self, sender: str, now: float) -> _Bucket:
        bucket = self._buckets.get(sender)
        if bucket is not None:
            self._buckets.move_to_end(sender)
            return bucket
        if len(self._buckets) >= MAX_SENDERS:
            self._buckets.popitem(last=False)
        bucket = self._buckets[sender] = _Bucket(self._burst, now)
        return bucket
