"""Choose a shard for a job by load reports that lag behind."""

import collections.abc
import random

from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.peer import messages

SAMPLE_SIZE = 2

Loads = collections.abc.Sequence[messages.ShardLoad]


class Router:
    """Spread jobs over shards without herding.

    Choose the less loaded of two random shards (power of two choices). The
    tasks assigned to a shard since its latest load report count as queued.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._assigned_tasks: dict[places.Shard, int] = {}

    def reset_assigned(self, shard: places.Shard) -> None:
        """Reset the count of assigned tasks after a new load report."""
        self._assigned_tasks.pop(shard, None)

    def choose(self, spec: work.JobSpec, loads: Loads) -> places.Shard | None:
        """Return a shard for a job, None if there are no shards."""
        fitting = [load for load in loads if fits_now(spec, load)] or loads
        if not fitting:
            return None
        drawn = self._rng.sample(fitting, min(SAMPLE_SIZE, len(fitting)))
        best = min(drawn, key=lambda load: self._pressure(spec, load))
        shard = places.Shard(best.zone, best.number)
        self._assigned_tasks[shard] = (
            self._assigned_tasks.get(shard, 0) + spec.tasks
        )
        return shard

    def _pressure(
        self, spec: work.JobSpec, load: messages.ShardLoad
    ) -> tuple[float, float]:
        shard = places.Shard(load.zone, load.number)
        waiting = load.queued + self._assigned_tasks.get(shard, 0)
        size = max(1, load.running + load.free_slots)
        return waiting / size, -float(scarcest_free_amount(spec, load))


def fits_now(spec: work.JobSpec, load: messages.ShardLoad) -> bool:
    """Return True if one task now fits on an endpoint of the shard."""
    demand = spec.demand
    return (
        demand.cpu_milli <= load.largest_cpu_milli
        and demand.memory_mb <= load.largest_memory_mb
        and demand.accelerators <= load.largest_accelerators
        and demand.slots <= load.free_slots
    )


def scarcest_free_amount(spec: work.JobSpec, load: messages.ShardLoad) -> int:
    """Return the free amount of the scarcest resource a job needs.

    That is accelerators if the job needs any, else slots.
    """
    if spec.demand.accelerators:
        return load.free_accelerators
    return load.free_slots
