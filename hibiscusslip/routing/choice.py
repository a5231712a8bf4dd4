"""Choose a shard for a job from lagging summaries."""

import collections.abc
import random

from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.peer import messages

CHOICES = 2

Loads = collections.abc.Sequence[messages.ShardLoad]


class Router:
    """Spread jobs over shards without herding.

    Of two shards drawn at random the less loaded one is taken, and what
    was sent since a summary came is counted on top of it.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._sent: dict[places.Shard, int] = {}

    def reset_assigned(self, shard: places.Shard) -> None:
        """Note that a fresh summary of a shard has come."""
        self._sent.pop(shard, None)

    def choose(self, spec: work.JobSpec, loads: Loads) -> places.Shard | None:
        """Return a shard for a job; None without any shard."""
        suited = [load for load in loads if has_room(spec, load)] or loads
        if not suited:
            return None
        drawn = self._rng.sample(suited, min(CHOICES, len(suited)))
        best = min(drawn, key=lambda load: self._pressure(spec, load))
        shard = places.Shard(best.zone, best.number)
        self._sent[shard] = self._sent.get(shard, 0) + spec.tasks
        return shard

    def _pressure(
        self, spec: work.JobSpec, load: messages.ShardLoad
    ) -> tuple[float, float]:
        shard = places.Shard(load.zone, load.number)
        waiting = load.queued + self._sent.get(shard, 0)
        size = max(1, load.running + load.free_slots)
        return waiting / size, -float(free_of(spec, load))


def has_room(spec: work.JobSpec, load: messages.ShardLoad) -> bool:
    """Tell whether one task fits on some endpoint of a shard now."""
    demand = spec.demand
    return (
        demand.cpu_milli <= load.largest_cpu_milli
        and demand.memory_mb <= load.largest_memory_mb
        and demand.accelerators <= load.largest_accelerators
        and demand.slots <= load.free_slots
    )


def free_of(spec: work.JobSpec, load: messages.ShardLoad) -> int:
    """Return what is free of the scarcest resource that a job needs."""
    if spec.demand.accelerators:
        return load.free_accelerators
    return load.free_slots
