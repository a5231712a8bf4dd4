"""Allocate the capacity of a shard's endpoints to tasks."""

import collections
import dataclasses
import random

from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.scheduler import _accelerators
from hibiscusslip.scheduler import _fit_counts
from hibiscusslip.scheduler import _index
from hibiscusslip.scheduler import _vector


@dataclasses.dataclass(slots=True, eq=False)
class Endpoint:
    """Represent the capacity of an endpoint and its allocations.

    `free` is negative if adopted runs exceed the capacity. `trusted` is False
    while the endpoint is in quarantine or on probation, `reserved` is True
    while it is reserved for a gang. `seq` is the order of addition,
    `sequence_index` the place in the list that `Inventory.sample` draws from.
    """

    name: str
    rack: str
    capacity: _vector.Vector
    free: _vector.Vector
    state: places.EndpointState
    seq: int
    trusted: bool = True
    reserved: bool = False
    sequence_index: int = 0
    tasks: dict[str, _vector.Vector] = dataclasses.field(default_factory=dict)
    bucket: _index.BucketKey | None = None

    @property
    def live(self) -> bool:
        """Return True if the endpoint accepts new work."""
        return self.state is places.EndpointState.LIVE

    @property
    def usable(self) -> bool:
        """Return True if it accepts new work and is trusted."""
        return self.state is places.EndpointState.LIVE and self.trusted

    @property
    def open(self) -> bool:
        """Return True if it is usable and not reserved for a gang."""
        return self.usable and not self.reserved


class Inventory:
    """Track endpoints and allocations.

    `endpoint_of` maps an allocated task to its endpoint. `capacities` counts
    the live endpoints of each size, `remote_capacities` are the sizes that
    other shards have.
    """

    def __init__(self) -> None:
        self.endpoints: dict[str, Endpoint] = {}
        self.racks: dict[str, dict[str, Endpoint]] = {}
        self.endpoint_of: dict[str, Endpoint] = {}
        self.guard = _accelerators.StrandingGuard()
        self.fit_counts = _fit_counts.FitCounts(self.guard)
        self._sequence: list[Endpoint] = []
        self.index = _index.FreeCapacityIndex()
        self.capacity = _vector.ZERO
        self.remote_capacities: list[resources.Resources] = []
        self.capacities: collections.Counter[_vector.Vector] = (
            collections.Counter()
        )
        self._seq = 0

    def set_endpoint(self, info: places.EndpointInfo) -> Endpoint:
        """Add an endpoint or change its state and capacity."""
        capacity = _vector.from_resources(info.capacity)
        endpoint = self.endpoints.get(info.name)
        if endpoint is None:
            endpoint = self._add(info.name)
        used = _vector.sub(endpoint.capacity, endpoint.free)
        self._count_capacity(endpoint, -1)
        self._move_rack(endpoint, info.rack)
        endpoint.capacity = capacity
        endpoint.free = _vector.sub(capacity, used)
        endpoint.state = info.state
        self._count_capacity(endpoint, 1)
        self.refresh(endpoint)
        return endpoint

    def remove(self, name: str) -> list[str]:
        """Remove an endpoint and return the tasks allocated on it."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return []
        tasks = list(endpoint.tasks)
        last = self._sequence.pop()
        if last is not endpoint:
            self._sequence[endpoint.sequence_index] = last
            last.sequence_index = endpoint.sequence_index
        self._count_capacity(endpoint, -1)
        self.fit_counts.remove(endpoint)
        self.index.remove(endpoint)
        self.racks[endpoint.rack].pop(name, None)
        del self.endpoints[name]
        for task in tasks:
            del self.endpoint_of[task]
        return tasks

    def allocate(self, task: str, name: str, need: _vector.Vector) -> Endpoint:
        """Allocate `need` to a task without a check of capacity.

        An endpoint that is not known yet is added without capacity.
        """
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            endpoint = self._add(name)
        endpoint.tasks[task] = need
        endpoint.free = _vector.sub(endpoint.free, need)
        self.endpoint_of[task] = endpoint
        self.refresh(endpoint)
        return endpoint

    def release(self, task: str) -> Endpoint | None:
        """Release a task's allocation and return its endpoint."""
        endpoint = self.endpoint_of.pop(task, None)
        if endpoint is None:
            return None
        need = endpoint.tasks.pop(task)
        endpoint.free = _vector.add(endpoint.free, need)
        self.refresh(endpoint)
        return endpoint

    def admits(self, endpoint: Endpoint, need: _vector.Vector) -> bool:
        """Return True if `need` fits and strands no accelerators."""
        fits = _vector.fits(need, endpoint.free)
        return fits and self.guard.allows(need, endpoint.free)

    def sample(self, number: int, rng: random.Random) -> list[Endpoint]:
        """Return up to `number` endpoints, chosen at random."""
        if len(self._sequence) <= number:
            return list(self._sequence)
        return rng.sample(self._sequence, number)

    def could_fit(self, need: _vector.Vector) -> bool:
        """Return True if `need` fits the whole capacity of a live endpoint."""
        return any(
            _vector.fits(need, capacity) for capacity in self.capacities
        )

    def fits_on_other_shards(self, need: _vector.Vector) -> bool:
        """Return True if `need` fits an endpoint size of another shard."""
        return any(
            _vector.fits(need, _vector.from_resources(size))
            for size in self.remote_capacities
        )

    def refresh(self, endpoint: Endpoint) -> None:
        """Update the index and the fit counts for one endpoint."""
        self.fit_counts.recount(endpoint)
        if endpoint.open:
            self.index.put(endpoint)
        else:
            self.index.remove(endpoint)

    def _add(self, name: str) -> Endpoint:
        self._seq += 1
        endpoint = Endpoint(
            name,
            '',
            _vector.ZERO,
            _vector.ZERO,
            places.EndpointState.GONE,
            self._seq,
        )
        endpoint.sequence_index = len(self._sequence)
        self._sequence.append(endpoint)
        self.endpoints[name] = endpoint
        self.racks.setdefault('', {})[name] = endpoint
        return endpoint

    def _move_rack(self, endpoint: Endpoint, rack: str) -> None:
        if endpoint.rack == rack:
            return
        self.racks[endpoint.rack].pop(endpoint.name, None)
        endpoint.rack = rack
        self.racks.setdefault(rack, {})[endpoint.name] = endpoint

    def _count_capacity(self, endpoint: Endpoint, sign: int) -> None:
        if endpoint.state is not places.EndpointState.LIVE:
            return
        part = _vector.scale(endpoint.capacity, sign)
        self.capacity = _vector.add(self.capacity, part)
        self.capacities[endpoint.capacity] += sign
        if not self.capacities[endpoint.capacity]:
            del self.capacities[endpoint.capacity]
