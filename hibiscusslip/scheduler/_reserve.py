"""Count how many typical tasks of each kind the free room would take."""

import dataclasses
import typing

from hibiscusslip.scheduler import _accelerators
from hibiscusslip.scheduler import _vector

if typing.TYPE_CHECKING:
    from hibiscusslip.scheduler import _endpoints

BLEND = 0.05
STALE_RATIO = 1.25
RECOUNT_EVERY_S = 5.0
NO_LIMIT = 2**60
UNLIMITED: _vector.Vector = (NO_LIMIT,) * 5


@dataclasses.dataclass(slots=True, eq=False)
class Typical:
    """Hold the mean demand of a kind and how often it fits now."""

    mean: list[float]
    need: _vector.Vector
    fits: int = 0
    counted: bool = False

    @property
    def stale(self) -> bool:
        """Tell whether the mean has moved away from what is counted."""
        for mean, used in zip(self.mean, self.need, strict=True):
            low, high = sorted((mean + 1.0, used + 1.0))
            if high / low > STALE_RATIO:
                return True
        return False


class Reserve:
    """Follow, for each kind, how many of its tasks still fit.

    Free processors on one endpoint and free slots on another take no task:
    counting tasks endpoint by endpoint sees that, sums don't.
    """

    def __init__(self, guard: _accelerators.Guard) -> None:
        self._guard = guard
        self.kinds: dict[str, Typical] = {}
        self._counts: dict[str, dict[str, int]] = {}
        self._recounted = 0.0

    def note(self, kind: str, need: _vector.Vector) -> None:
        """Learn from a demand of a kind."""
        known = self.kinds.get(kind)
        if known is None:
            self.kinds[kind] = Typical([float(v) for v in need], need)
            self._recounted = -RECOUNT_EVERY_S
            return
        pairs = zip(known.mean, need, strict=True)
        known.mean = [m + BLEND * (v - m) for m, v in pairs]

    def update(self, room: '_endpoints.Room') -> None:
        """Count anew for one endpoint whose free room has changed."""
        counts = self._counts.setdefault(room.name, {})
        free = self.reachable(room)
        for kind, typical in self.kinds.items():
            number = 0
            if room.usable:
                usable = free if not typical.need[2] else room.free
                number = count(typical.need, usable)
            typical.fits += number - counts.get(kind, 0)
            counts[kind] = number

    def forget(self, room: '_endpoints.Room') -> None:
        """Uncount an endpoint that is gone."""
        for kind, number in self._counts.pop(room.name, {}).items():
            if kind in self.kinds:
                self.kinds[kind].fits -= number

    def refresh(
        self, rooms: typing.Iterable['_endpoints.Room'], now: float
    ) -> None:
        """Count everything anew when mean demands have moved."""
        if now - self._recounted < RECOUNT_EVERY_S:
            return
        self._recounted = now
        kinds = self.kinds.values()
        moved = [t for t in kinds if t.stale or not t.counted]
        if not moved:
            return
        for typical in moved:
            cpu, memory, acc, slots, conns = (
                round(value) for value in typical.mean
            )
            typical.counted = True
            typical.need = (cpu, memory, acc, slots, conns)
        for room in rooms:
            self.update(room)

    def lendable(self, kind: str, idle: _vector.Vector) -> _vector.Vector:
        """Return what may be lent so that `idle` of a kind still fits."""
        typical = self.kinds.get(kind)
        if typical is None:
            return UNLIMITED
        need = typical.need
        kept = 0.0
        for part, whole in zip(need, idle, strict=True):
            if part > 0 and whole > 0:
                kept = max(kept, whole / part)
        spare = max(0, typical.fits - round(kept + 0.5))
        cpu, memory, acc, slots, conns = (
            part * spare if part > 0 else NO_LIMIT for part in need
        )
        return (cpu, memory, acc, slots, conns)

    def reachable(self, room: '_endpoints.Room') -> _vector.Vector:
        """Return what work without accelerators may use."""
        number = room.free[_vector.ACCELERATORS]
        if number <= 0:
            return room.free
        return _vector.sub(room.free, self._guard.kept(number))


def count(need: _vector.Vector, free: _vector.Vector) -> int:
    """Return how many times `need` fits into `free`."""
    least = NO_LIMIT
    for part, room in zip(need, free, strict=True):
        if part > room:
            return 0
        if part > 0 and room // part < least:
            least = room // part
    return least if least < NO_LIMIT else 1
