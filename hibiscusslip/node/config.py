"""Define the configuration of a node."""

import dataclasses

from hibiscusslip.jobs import engine as jobs_engine
from hibiscusslip.membership import pacing as membership_pacing
from hibiscusslip.model import places
from hibiscusslip.ownership import timing as ownership_timing
from hibiscusslip.scheduler import limits as scheduler_limits


@dataclasses.dataclass(frozen=True, slots=True)
class NodeConfig:
    """Configure a node's identity, its cell and its limits.

    `zones` are the availability zones of the region, in any order. `hold` is
    how long capacity on other shards is held for a job, in seconds, and
    `host_list_interval` the time between polls of the host list.
    """

    me: places.HostId
    region: str
    zone: str
    zones: tuple[str, ...]
    shards_per_zone: int
    timing: ownership_timing.Timing = ownership_timing.Timing()
    pacing: membership_pacing.Pacing = membership_pacing.Pacing()
    hold: float = 2.0
    engine: jobs_engine.EngineConfig = jobs_engine.EngineConfig()
    scheduler: scheduler_limits.Limits = scheduler_limits.Limits()
    host_list_interval: float = 2.0
    max_ended_jobs: int = 2_000
    max_ended_bytes: int = 2 * 1024 * 1024

    @property
    def shards(self) -> list[places.Shard]:
        """Return all shards of the region."""
        return [
            places.Shard(zone, number)
            for zone in sorted(self.zones)
            for number in range(self.shards_per_zone)
        ]
