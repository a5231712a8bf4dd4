"""Index endpoints by their free capacity."""

import typing

from hibiscusslip.scheduler import _vector

if typing.TYPE_CHECKING:
    from hibiscusslip.scheduler import _endpoints

BucketKey = tuple[int, int, int, int]
MAX_CANDIDATES_PER_BUCKET = 48


def log_bucket(value: int) -> int:
    """Return a bucket number that grows with the logarithm of a value."""
    if value <= 0:
        return 0
    bits = value.bit_length()
    next_bit = (value >> (bits - 2)) & 1 if bits > 1 else 0
    return 2 * bits + next_bit


def bucket_key(free: _vector.Vector) -> BucketKey:
    """Return the key of the bucket for an amount of free capacity."""
    if free[4] <= 0 or free[3] <= 0:
        return (0, 0, 0, 0)
    return (
        max(0, free[2]),
        free[3].bit_length(),
        log_bucket(free[0]),
        log_bucket(free[1]),
    )


class FreeCapacityIndex:
    """Group endpoints into buckets by their free capacity.

    The number of buckets doesn't depend on the number of endpoints.
    """

    def __init__(self) -> None:
        self.buckets: dict[BucketKey, dict[str, _endpoints.Endpoint]] = {}
        self._sorted_keys: dict[BucketKey, list[BucketKey]] = {}

    def put(self, endpoint: '_endpoints.Endpoint') -> None:
        """Add an endpoint, or move it after its free capacity has changed."""
        key = bucket_key(endpoint.free)
        if endpoint.bucket == key:
            return
        self.remove(endpoint)
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = {}
            self._sorted_keys.clear()
        bucket[endpoint.name] = endpoint
        endpoint.bucket = key

    def remove(self, endpoint: '_endpoints.Endpoint') -> None:
        """Remove an endpoint."""
        if endpoint.bucket is not None:
            self.buckets[endpoint.bucket].pop(endpoint.name, None)
            endpoint.bucket = None

    def candidates(
        self, need: _vector.Vector
    ) -> typing.Iterator[list['_endpoints.Endpoint']]:
        """Yield lists of endpoints that fit `need`, tightest buckets first.

        A list has up to `MAX_CANDIDATES_PER_BUCKET` endpoints of one bucket.
        """
        for key in self._covering_keys(bucket_key(need)):
            bucket = self.buckets[key]
            if bucket:
                fitting = self._fitting(bucket, need)
                if fitting:
                    yield fitting

    def _covering_keys(self, minimum: BucketKey) -> list[BucketKey]:
        keys = self._sorted_keys.get(minimum)
        if keys is None:
            keys = sorted(key for key in self.buckets if _covers(key, minimum))
            self._sorted_keys[minimum] = keys
        return keys

    @staticmethod
    def _fitting(
        bucket: dict[str, '_endpoints.Endpoint'], need: _vector.Vector
    ) -> list['_endpoints.Endpoint']:
        fitting = []
        for endpoint in bucket.values():
            if _vector.fits(need, endpoint.free):
                fitting.append(endpoint)
                if len(fitting) >= MAX_CANDIDATES_PER_BUCKET:
                    break
        return fitting


def _covers(key: BucketKey, minimum: BucketKey) -> bool:
    return (
        key[0] >= minimum[0]
        and key[1] >= minimum[1]
        and key[2] >= minimum[2]
        and key[3] >= minimum[3]
    )
