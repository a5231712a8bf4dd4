"""Rate how many tasks of one demand fit on each endpoint of a pool.

A pool of thousands of endpoints has few combinations of free capacity and
size, and the steps of a pass have few demands. So endpoints are grouped by
how many tasks fit, for each demand, and the steps use these groups.
"""

import bisect
import typing

from hibiscusslip.dispatch import model

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import candidate_pool

UNLIMITED = 2**62  # tasks that fit if they have no demand
REBUILD_SHARE = 0.25  # of the pool; above, it is faster to rate all again


class Fit(typing.NamedTuple):
    """Count the tasks that fit now, and those that fit an idle endpoint."""

    zone: str
    free: int
    total: int


class Rating:
    """The endpoints of a pool, grouped by how many tasks of a demand fit.

    Endpoints that are draining or lack the label are left out; on those that
    aren't usable now nothing fits. An endpoint is identified by its place in
    the pool. The places in each of the `groups` are in ascending order.
    The `outdated` candidates have changed since the last update.
    """

    def __init__(
        self,
        demand: model.Demand,
        label: str,
        listed: list['candidate_pool.Candidate'],
    ) -> None:
        self.groups: dict[Fit, list[int]] = {}
        self.outdated: set[candidate_pool.Candidate] = set()
        self._demand = demand
        self._label = label
        self._listed = listed
        self._fits: list[Fit | None] = []
        self._build()

    def _build(self) -> None:
        self._fits = []
        self.groups = {}
        shared: dict[Fit | None, Fit | None] = {}  # saves memory
        for candidate in self._listed:
            fit = self._fit(candidate)
            fit = shared.setdefault(fit, fit)
            self._fits.append(fit)
            if fit is not None:
                self.groups.setdefault(fit, []).append(candidate.number)

    def fit(self, number: int) -> Fit | None:
        """Return how many tasks fit on an endpoint, None if it is left out."""
        return self._fits[number]

    def free_tasks(self, limit: int) -> int:
        """Return how many tasks fit now, at most `limit` on an endpoint."""
        return sum(
            min(fit.free, limit) * len(numbers)
            for fit, numbers in self.groups.items()
        )

    def update(self) -> None:
        """Rate the `outdated` endpoints again, or all if these are many."""
        if len(self.outdated) > REBUILD_SHARE * len(self._listed):
            self._build()
        else:
            for candidate in self.outdated:
                self._move(candidate)
        self.outdated.clear()

    def _move(self, candidate: 'candidate_pool.Candidate') -> None:
        number = candidate.number
        old = self._fits[number]
        new = self._fit(candidate)
        if new == old:
            return
        self._fits[number] = new
        if old is not None:
            self.groups[old].remove(number)
            if not self.groups[old]:
                del self.groups[old]
        if new is not None:
            bisect.insort(self.groups.setdefault(new, []), number)

    def _fit(self, candidate: 'candidate_pool.Candidate') -> Fit | None:
        entry = candidate.entry
        if entry.draining:
            return None
        if self._label and self._label not in entry.labels:
            return None
        if not candidate.usable:
            return Fit(entry.zone, 0, 0)
        return Fit(
            entry.zone, self._count(candidate), self._count(entry.capacity)
        )

    def _count(
        self, capacity: 'candidate_pool.RemainingCapacity | model.Demand'
    ) -> int:
        return count_fitting(self._demand, capacity, UNLIMITED)


def count_fitting(
    demand: model.Demand,
    capacity: 'candidate_pool.RemainingCapacity | model.Demand',
    limit: int,
) -> int:
    """Return how often a demand fits in a capacity, at most `limit`."""
    count = limit
    if demand.cpu:
        count = min(count, capacity.cpu // demand.cpu)
    if demand.memory:
        count = min(count, capacity.memory // demand.memory)
    if demand.accelerators:
        count = min(count, capacity.accelerators // demand.accelerators)
    return max(count, 0)
