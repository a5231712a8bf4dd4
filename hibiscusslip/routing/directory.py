"""Remember who owns which shard of the region, and how loaded it is."""

import collections.abc
import dataclasses

from hibiscusslip.model import places
from hibiscusslip.peer import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """Hold what was last heard of a shard's owner; `heard_at` in seconds."""

    host: str
    epoch: int
    heard_at: float
    load: messages.ShardLoad


class ShardDirectory:
    """Keep the newest owner of each shard, by epoch."""

    def __init__(
        self,
        max_shards: int,
        refreshed: collections.abc.Callable[[places.Shard], None],
    ) -> None:
        self._max_shards = max_shards
        self._refreshed = refreshed
        self._owners: dict[places.Shard, Owner] = {}

    def update_loads(
        self, host: str, loads: list[messages.ShardLoad], now: float
    ) -> None:
        """Take what a host told of the shards it owns."""
        for load in loads:
            shard = places.Shard(load.zone, load.number)
            known = self._owners.get(shard)
            if known is None and len(self._owners) >= self._max_shards:
                continue
            if known is None or load.epoch >= known.epoch:
                self._owners[shard] = Owner(host, load.epoch, now, load)
                self._refreshed(shard)

    def lost(self, shard: places.Shard, host: str) -> None:
        """Forget a host that turned out not to own a shard."""
        known = self._owners.get(shard)
        if known is not None and known.host == host:
            del self._owners[shard]

    def owner(self, shard: places.Shard) -> Owner | None:
        """Return the newest known owner of a shard."""
        return self._owners.get(shard)

    def recent_owners(self, now: float, max_age: float) -> list[Owner]:
        """Return the owners heard of within `max_age` seconds."""
        oldest = now - max_age
        return [o for o in self._owners.values() if o.heard_at >= oldest]
