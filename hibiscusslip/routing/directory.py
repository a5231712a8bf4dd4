"""Track the owners of the region's shards and their load."""

import collections.abc
import dataclasses

from hibiscusslip.model import places
from hibiscusslip.peer import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """Represent a shard's owner as last reported, `reported_at` in seconds."""

    host: str
    epoch: int
    reported_at: float
    load: messages.ShardLoad


class ShardDirectory:
    """Store the owner with the highest epoch for each shard.

    Calls `on_update` with each shard whose load was updated.
    """

    def __init__(
        self,
        max_shards: int,
        on_update: collections.abc.Callable[[places.Shard], None],
    ) -> None:
        self._max_shards = max_shards
        self._on_update = on_update
        self._owners: dict[places.Shard, Owner] = {}

    def update_loads(
        self, host: str, loads: list[messages.ShardLoad], now: float
    ) -> None:
        """Apply a host's load reports of the shards it owns."""
        for load in loads:
            shard = places.Shard(load.zone, load.number)
            known = self._owners.get(shard)
            if known is None and len(self._owners) >= self._max_shards:
                continue
            if known is None or load.epoch >= known.epoch:
                self._owners[shard] = Owner(host, load.epoch, now, load)
                self._on_update(shard)

    def remove_owner(self, shard: places.Shard, host: str) -> None:
        """Remove a host that turned out not to own a shard."""
        known = self._owners.get(shard)
        if known is not None and known.host == host:
            del self._owners[shard]

    def owner(self, shard: places.Shard) -> Owner | None:
        """Return the owner of a shard with the highest known epoch."""
        return self._owners.get(shard)

    def recent_owners(self, now: float, max_age: float) -> list[Owner]:
        """Return the owners reported within the last `max_age` seconds."""
        oldest = now - max_age
        return [o for o in self._owners.values() if o.reported_at >= oldest]
