"""Define the limits and timings of a shard's scheduler."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Represent the bounds, timings and options of one shard's scheduler.

    Queues are bounded in tasks; times are in seconds. `unix_offset` is added
    to `now` to get Unix time, for deadlines. `quota_fraction` is the part of
    each team's quota that this shard may allocate. `remote_hold_s` is how long
    a request for capacity on other shards may take, `remote_retry_s` the first
    delay until the same job requests again, and the time without requests of
    the shard that ends a longer delay. `remote_pause_s` is the first pause of
    all requests of the shard after a failed one. `quarantine_enabled`
    quarantines endpoints that fail their runs; `backfill` lets short work use
    the capacity that is reserved or accumulated for a gang.
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
