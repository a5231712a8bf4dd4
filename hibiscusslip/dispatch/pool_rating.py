"""Rate how many tasks of one demand fit on each endpoint of a pool.

A pool of thousands of endpoints has few combinations of free capacity and
size, and the steps of a pass have few demands. So endpoints are grouped by
how many tasks fit, once for each demand, and the steps use these groups.
"""

import bisect
import collections.abc
import typing

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

if typing.TYPE_CHECKING:
    from hibiscusslip.dispatch import candidate_pool

UNLIMITED = 2**62  # tasks that fit if they have no demand


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
    """

    def __init__(
        self,
        demand: model.Demand,
        label: str,
        pool: list[state.Endpoint],
        find: collections.abc.Callable[
            [str], 'candidate_pool.Candidate | None'
        ],
    ) -> None:
        self._demand = demand
        self._label = label
        self._fits = [
            self._fit(endpoint, find(endpoint.name)) for endpoint in pool
        ]
        self.groups: dict[Fit, list[int]] = {}
        for number, fit in enumerate(self._fits):
            if fit is not None:
                self.groups.setdefault(fit, []).append(number)

    def fit(self, number: int) -> Fit | None:
        """Return how many tasks fit on an endpoint, None if it is left out."""
        return self._fits[number]

    def free_tasks(self, limit: int) -> int:
        """Return how many tasks fit now, at most `limit` on an endpoint."""
        return sum(
            min(fit.free, limit) * len(numbers)
            for fit, numbers in self.groups.items()
        )

    def update(self, candidate: 'candidate_pool.Candidate') -> None:
        """Move a candidate whose free capacity has changed."""
        number = candidate.number
        old = self._fits[number]
        new = self._fit(candidate.endpoint, candidate)
        if new == old:
            return
        self._fits[number] = new
        if old is not None:
            self.groups[old].remove(number)
            if not self.groups[old]:
                del self.groups[old]
        if new is not None:
            bisect.insort(self.groups.setdefault(new, []), number)

    def _fit(
        self,
        endpoint: state.Endpoint,
        candidate: 'candidate_pool.Candidate | None',
    ) -> Fit | None:
        entry = endpoint.entry
        if entry is None or entry.draining:
            return None
        if self._label and self._label not in entry.labels:
            return None
        if candidate is None:
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
