"""Find endpoints by their free room without looking at all of them."""

import typing

from hibiscusslip.scheduler import _vector

if typing.TYPE_CHECKING:
    from hibiscusslip.scheduler import _endpoints

Key = tuple[int, int, int, int]
PROBES_PER_BUCKET = 48


def level(value: int) -> int:
    """Return a step number that grows with the logarithm of a value."""
    if value <= 0:
        return 0
    bits = value.bit_length()
    half = (value >> (bits - 2)) & 1 if bits > 1 else 0
    return 2 * bits + half


def key_of(free: _vector.Vector) -> Key:
    """Return the bucket for an amount of free room."""
    if free[4] <= 0 or free[3] <= 0:
        return (0, 0, 0, 0)
    return (
        max(0, free[2]),
        free[3].bit_length(),
        level(free[0]),
        level(free[1]),
    )


class Index:
    """Group endpoints into buckets by their free room.

    The number of buckets doesn't depend on the number of endpoints.
    """

    def __init__(self) -> None:
        self.buckets: dict[Key, dict[str, _endpoints.Room]] = {}
        self._sorted: dict[Key, list[Key]] = {}

    def put(self, room: '_endpoints.Room') -> None:
        """Add an endpoint or move it after its free room has changed."""
        key = key_of(room.free)
        if room.bucket == key:
            return
        self.remove(room)
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = {}
            self._sorted.clear()
        bucket[room.name] = room
        room.bucket = key

    def remove(self, room: '_endpoints.Room') -> None:
        """Take an endpoint out."""
        if room.bucket is not None:
            self.buckets[room.bucket].pop(room.name, None)
            room.bucket = None

    def candidates(
        self, need: _vector.Vector
    ) -> typing.Iterator[list['_endpoints.Room']]:
        """Yield endpoints where `need` fits, the tightest buckets first."""
        for key in self._keys(key_of(need)):
            bucket = self.buckets[key]
            if bucket:
                found = self._probe(bucket, need)
                if found:
                    yield found

    def _keys(self, low: Key) -> list[Key]:
        keys = self._sorted.get(low)
        if keys is None:
            keys = sorted(key for key in self.buckets if _covers(key, low))
            self._sorted[low] = keys
        return keys

    @staticmethod
    def _probe(
        bucket: dict[str, '_endpoints.Room'], need: _vector.Vector
    ) -> list['_endpoints.Room']:
        found = []
        for room in bucket.values():
            if _vector.fits(need, room.free):
                found.append(room)
                if len(found) >= PROBES_PER_BUCKET:
                    break
        return found


def _covers(key: Key, low: Key) -> bool:
    return (
        key[0] >= low[0]
        and key[1] >= low[1]
        and key[2] >= low[2]
        and key[3] >= low[3]
    )
