"""Choose a home shard for a request without a key."""

import random

from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.peer import messages


def choose(
    loads: list[messages.ShardLoad],
    spec: work.JobSpec,
    zone: str,
    tried: frozenset[places.Shard],
    rng: random.Random,
) -> places.Shard | None:
    """Return the less loaded of two random shards, None without any.

    Loads lag, so that the best of all would draw every request at once.
    """
    left = [load for load in loads if shard_of(load) not in tried]
    roomy = [load for load in left if _has_room(load, spec)]
    pool = roomy or left
    if not pool:
        return None
    pair = [rng.choice(pool), rng.choice(pool)]
    best = min(pair, key=lambda load: (load.queued, load.zone != zone))
    return shard_of(best)


def shard_of(load: messages.ShardLoad) -> places.Shard:
    """Return the shard that a load tells about."""
    return places.Shard(load.zone, load.number)


def _has_room(load: messages.ShardLoad, spec: work.JobSpec) -> bool:
    """Tell whether one task of a job fits at present, as far as known."""
    return (
        spec.demand.cpu_milli <= load.largest_cpu_milli
        and spec.demand.memory_mb <= load.largest_memory_mb
        and spec.demand.accelerators <= load.largest_accelerators
    )
