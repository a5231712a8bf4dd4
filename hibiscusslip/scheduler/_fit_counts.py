"""Count how many typical tasks of each kind the free capacity fits."""

import dataclasses
import typing

from hibiscusslip.scheduler import _accelerators
from hibiscusslip.scheduler import _vector

if typing.TYPE_CHECKING:
    from hibiscusslip.scheduler import _endpoints

EWMA_WEIGHT = 0.05
STALE_RATIO = 1.25
RECOUNT_INTERVAL_S = 5.0
NO_LIMIT = 2**60
UNLIMITED: _vector.Vector = (NO_LIMIT,) * 5


@dataclasses.dataclass(slots=True, eq=False)
class TypicalTask:
    """Represent the mean demand of a kind and how many tasks of it fit now.

    `need` is the demand that `fit_count` was computed for.
    """

    mean: list[float]
    need: _vector.Vector
    fit_count: int = 0
    counted: bool = False

    @property
    def stale(self) -> bool:
        """Return True if the mean has drifted from the counted demand."""
        for mean, used in zip(self.mean, self.need, strict=True):
            low, high = sorted((mean + 1.0, used + 1.0))
            if high / low > STALE_RATIO:
                return True
        return False


class FitCounts:
    """Track, for each kind, how many of its tasks still fit.

    Free processors on one endpoint and free slots on another fit no task:
    counts by endpoint see that, sums of free amounts don't.
    """

    def __init__(self, guard: _accelerators.StrandingGuard) -> None:
        self._guard = guard
        self.kinds: dict[str, TypicalTask] = {}
        self._counts: dict[str, dict[str, int]] = {}
        self._recounted_at = 0.0

    def record_demand(self, kind: str, need: _vector.Vector) -> None:
        """Update the mean demand of a kind."""
        known = self.kinds.get(kind)
        if known is None:
            self.kinds[kind] = TypicalTask([float(v) for v in need], need)
            self._recounted_at = -RECOUNT_INTERVAL_S
            return
        pairs = zip(known.mean, need, strict=True)
        known.mean = [m + EWMA_WEIGHT * (v - m) for m, v in pairs]

    def recount(self, endpoint: '_endpoints.Endpoint') -> None:
        """Recount for one endpoint whose free capacity has changed."""
        counts = self._counts.setdefault(endpoint.name, {})
        free = self.cpu_only_free(endpoint)
        for kind, typical in self.kinds.items():
            number = 0
            if endpoint.usable:
                usable = free if not typical.need[2] else endpoint.free
                number = count_fitting(typical.need, usable)
            typical.fit_count += number - counts.get(kind, 0)
            counts[kind] = number

    def remove(self, endpoint: '_endpoints.Endpoint') -> None:
        """Remove the counts of an endpoint."""
        for kind, fits in self._counts.pop(endpoint.name, {}).items():
            if kind in self.kinds:
                self.kinds[kind].fit_count -= fits

    def recount_stale(
        self, endpoints: typing.Iterable['_endpoints.Endpoint'], now: float
    ) -> None:
        """Recount all endpoints if mean demands have drifted."""
        if now - self._recounted_at < RECOUNT_INTERVAL_S:
            return
        self._recounted_at = now
        kinds = self.kinds.values()
        outdated = [t for t in kinds if t.stale or not t.counted]
        if not outdated:
            return
        for typical in outdated:
            cpu, memory, acc, slots, conns = (
                round(value) for value in typical.mean
            )
            typical.counted = True
            typical.need = (cpu, memory, acc, slots, conns)
        for endpoint in endpoints:
            self.recount(endpoint)

    def lendable(self, kind: str, reserved: _vector.Vector) -> _vector.Vector:
        """Return what may be lent so that `reserved` of a kind still fits."""
        typical = self.kinds.get(kind)
        if typical is None:
            return UNLIMITED
        need = typical.need
        reserved_tasks = 0.0
        for part, whole in zip(need, reserved, strict=True):
            if part > 0 and whole > 0:
                reserved_tasks = max(reserved_tasks, whole / part)
        spare = max(0, typical.fit_count - round(reserved_tasks + 0.5))
        cpu, memory, acc, slots, conns = (
            part * spare if part > 0 else NO_LIMIT for part in need
        )
        return (cpu, memory, acc, slots, conns)

    def cpu_only_free(self, endpoint: '_endpoints.Endpoint') -> _vector.Vector:
        """Return what work without accelerators may use of an endpoint."""
        number = endpoint.free[_vector.ACCELERATORS]
        if number <= 0:
            return endpoint.free
        return _vector.sub(endpoint.free, self._guard.reserved_for(number))


def count_fitting(need: _vector.Vector, free: _vector.Vector) -> int:
    """Return how many times `need` fits into `free`."""
    fewest = NO_LIMIT
    for part, available in zip(need, free, strict=True):
        if part > available:
            return 0
        if part > 0 and available // part < fewest:
            fewest = available // part
    return fewest if fewest < NO_LIMIT else 1
