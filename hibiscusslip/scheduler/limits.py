"""Set the bounds that a shard's scheduler keeps."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Hold the bounds of queues and the times of one shard's scheduler.

    Queues are counted in tasks, times are in seconds. `unix_offset` is
    what has to be added to `now` to get unix time, for deadlines;
    `quota_fraction` is the part of each team's quota that this shard
    may give out. `suspicion` turns the suspension of failing endpoints
    on, `backfill` lets short work use what a gang gathers.
    """

    max_queued: int = 100_000
    max_queued_per_kind: int = 50_000
    max_queued_per_team: int = 20_000
    max_retry_after_s: float = 600.0
    unix_offset: float = 0.0
    quota_fraction: float = 1.0
    remote_hold_s: float = 5.0
    remote_retry_s: float = 0.5
    remote_pause_s: float = 0.1
    service_backoff_s: float = 1.0
    max_service_backoff_s: float = 60.0
    quarantine_enabled: bool = True
    backfill: bool = True
