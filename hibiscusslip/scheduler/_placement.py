"""Choose an endpoint for a task."""

import abc
import collections.abc

from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _vector

MAX_CANDIDATES = 8
MAX_RACKS_TRIED = 16

TaskCounts = collections.abc.Mapping[str, int]


class Placement(abc.ABC):
    """Choose an endpoint for a task among those with enough free capacity."""

    @abc.abstractmethod
    def choose(
        self, inventory: _endpoints.Inventory, need: _vector.Vector
    ) -> _endpoints.Endpoint | None:
        """Return an endpoint that fits `need`, or None."""

    def choose_spread(
        self,
        inventory: _endpoints.Inventory,
        need: _vector.Vector,
        racks: TaskCounts,
    ) -> _endpoints.Endpoint | None:
        """Return an endpoint in a rack with the fewest tasks of the job.

        `racks` has the number of the job's tasks by rack.
        """
        names = sorted(inventory.racks, key=lambda name: racks.get(name, 0))
        for name in names[:MAX_RACKS_TRIED]:
            endpoints = inventory.racks[name].values()
            fitting = [
                e for e in endpoints if e.open and inventory.admits(e, need)
            ]
            if fitting:
                return max(fitting, key=lambda e: (e.free[3], -e.seq))
        return self.choose(inventory, need)


class FirstFit(Placement):
    """Choose the first endpoint that fits, in the order of addition."""

    def choose(
        self, inventory: _endpoints.Inventory, need: _vector.Vector
    ) -> _endpoints.Endpoint | None:
        """Return the oldest endpoint that fits."""
        for endpoint in inventory.endpoints.values():
            if endpoint.open and _vector.fits(need, endpoint.free):
                return endpoint
        return None

    def choose_spread(
        self,
        inventory: _endpoints.Inventory,
        need: _vector.Vector,
        racks: TaskCounts,
    ) -> _endpoints.Endpoint | None:
        """Return the oldest endpoint that fits, regardless of its rack."""
        return self.choose(inventory, need)


class _Scored(Placement):
    """Choose the endpoint with the best score in the tightest bucket."""

    def choose(
        self, inventory: _endpoints.Inventory, need: _vector.Vector
    ) -> _endpoints.Endpoint | None:
        """Return the best candidate of the first bucket that has any."""
        for candidates in inventory.index.candidates(need):
            endpoints = self._admissible(inventory, candidates, need)
            if endpoints:
                return min(
                    endpoints, key=lambda e: (self.score(e, need), e.seq)
                )
        return None

    @staticmethod
    def _admissible(
        inventory: _endpoints.Inventory,
        candidates: list[_endpoints.Endpoint],
        need: _vector.Vector,
    ) -> list[_endpoints.Endpoint]:
        if need[_vector.ACCELERATORS]:
            return candidates[:MAX_CANDIDATES]
        allows = inventory.guard.allows
        admissible = []
        for endpoint in candidates:
            if allows(need, endpoint.free):
                admissible.append(endpoint)
                if len(admissible) == MAX_CANDIDATES:
                    break
        return admissible

    @abc.abstractmethod
    def score(
        self, endpoint: _endpoints.Endpoint, need: _vector.Vector
    ) -> float:
        """Return a score of the placement; lower is better."""


class BestFit(_Scored):
    """Choose the endpoint with the least capacity left over."""

    def score(
        self, endpoint: _endpoints.Endpoint, need: _vector.Vector
    ) -> float:
        """Return the sum of the fractions that stay free."""
        left = zip(endpoint.free, need, endpoint.capacity, strict=True)
        return sum((f - n) / c for f, n, c in left if c)


class Alignment(_Scored):
    """Choose the endpoint whose dimensions stay most evenly free."""

    def score(
        self, endpoint: _endpoints.Endpoint, need: _vector.Vector
    ) -> float:
        """Return range plus mean of the fractions that stay free."""
        left = zip(endpoint.free, need, endpoint.capacity, strict=True)
        parts = [(f - n) / c for f, n, c in left if c]
        return max(parts) - min(parts) + sum(parts) / len(parts)
