"""Define the interface between the owner of a shard and its scheduler.

A scheduler serves one shard. It allocates the capacity of the shard's
endpoints, keeps the bounded queues and makes the decisions. It does no I/O and
reads no clock: `now` is in seconds on any monotonic clock.
"""

import abc
import dataclasses
import enum

from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.model import work


@dataclasses.dataclass(frozen=True, slots=True)
class KindShare:
    """Represent the share of the fleet of one kind of work, as fractions.

    `guarantee` is reserved for the kind against all others, `ceiling` is the
    most that it may hold. If `lendable` is true, other kinds may borrow the
    guarantee while it is idle.
    """

    kind: str
    guarantee: float
    ceiling: float
    lendable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class TeamQuota:
    """Represent the most that a team may hold at once, and its weight.

    A team with twice the weight gets twice the fair share.
    """

    team: str
    limit: resources.Resources
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPolicy:
    """Represent the shares by kind and quotas by team of one configuration."""

    version: int
    shares: dict[str, KindShare]
    quotas: dict[str, TeamQuota]


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Report that a job is queued."""


class RefusalReason(enum.StrEnum):
    """List the reasons to refuse a job of which nothing has started."""

    IMPOSSIBLE = 'impossible'
    QUEUE_FULL = 'queue_full'
    DEADLINE = 'deadline'
    QUOTA = 'quota'
    UNKNOWN_KIND = 'unknown_kind'
    UNKNOWN_TEAM = 'unknown_team'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Report that a job is refused, why, and what to do about it.

    `retry_after` is in seconds, or None if a retry can't help. `nearest` is
    the closest demand per task that could run.
    """

    reason: RefusalReason
    detail: str
    retry_after: float | None = None
    nearest: resources.Resources | None = None


Admission = Admitted | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Decide to start a task on an endpoint; its capacity is allocated."""

    task: str
    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class GangStart:
    """Decide to start all tasks of a gang, each on its endpoint."""

    job_id: str
    placements: list[Start]


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteHoldRequest:
    """Decide to request capacity for tasks of a job from other shards.

    `local` are the placements that are held on this shard until `expires`,
    `missing` the indices of the tasks that need capacity on other shards. The
    hold has the id of the job: commit it once other shards hold the rest, or
    release it to retry the job later.
    """

    job_id: str
    local: list[Start]
    missing: list[int]
    expires: float


class ReclaimMethod(enum.StrEnum):
    """List the ways to reclaim lent resources, the cheapest first."""

    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Decide to reclaim what a running task holds."""

    task: str
    method: ReclaimMethod
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Decide to remove a queued job that can't run any more."""

    job_id: str
    refusal: Refused


Decision = Start | GangStart | RemoteHoldRequest | Preempt | Drop


class RunOutcome(enum.StrEnum):
    """List the outcomes of a run, for accounting and for estimates."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    NOT_STARTED = 'not_started'
    ENDPOINT_LOST = 'endpoint_lost'


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Explain why a job waits, in plain sentences, the main reason first.

    `waited` is in seconds.
    """

    job_id: str
    waited: float
    reasons: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class KindSummary:
    """Summarize the use of one shard by one kind.

    `queued` and `running` count tasks; `oldest_wait` is in seconds.
    """

    kind: str
    queued: int
    running: int
    held: resources.Resources
    guaranteed: resources.Resources
    oldest_wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShardSummary:
    """Summarize a shard for other owners, which spread work by it.

    The summary lags behind the scheduler. `largest_free` has the largest free
    amount of each dimension on any endpoint.
    """

    shard: places.Shard
    free: resources.Resources
    capacity: resources.Resources
    largest_free: resources.Resources
    kinds: list[KindSummary]


class Scheduler(abc.ABC):
    """Allocate, queue and decide for one shard."""

    @abc.abstractmethod
    def set_policy(self, policy: FleetPolicy, now: float) -> None:
        """Apply a newer configuration."""

    @abc.abstractmethod
    def set_endpoint(self, info: places.EndpointInfo, now: float) -> None:
        """Add an endpoint or change its state (live, leaving, gone)."""

    @abc.abstractmethod
    def set_remote_capacities(
        self, capacities: list[resources.Resources]
    ) -> None:
        """Set the sizes of endpoints that other shards of the cell have."""

    @abc.abstractmethod
    def endpoint_lost(self, endpoint: str, now: float) -> list[str]:
        """Remove an endpoint and return the tasks allocated on it."""

    @abc.abstractmethod
    def submit(self, spec: work.JobSpec, now: float) -> Admission:
        """Queue a job, or refuse it at once with the reason."""

    @abc.abstractmethod
    def adopt(
        self, spec: work.JobSpec, task: str, endpoint: str, now: float
    ) -> None:
        """Allocate for a run found on an endpoint, even beyond the shares."""

    @abc.abstractmethod
    def requeue(self, task: str, now: float, delay: float = 0.0) -> None:
        """Queue a task again; its run must provably have terminated.

        The task starts after `delay` seconds at the earliest.
        """

    @abc.abstractmethod
    def cancel(self, job_id: str, now: float) -> list[str]:
        """Remove a job from the queue and return its allocated tasks.

        The result includes tasks that run on other shards.
        """

    @abc.abstractmethod
    def decide(self, now: float, limit: int = 256) -> list[Decision]:
        """Return up to `limit` decisions, with their capacity allocated."""

    @abc.abstractmethod
    def ended(self, task: str, outcome: RunOutcome, now: float) -> None:
        """Release what a task held and learn from the outcome of its run."""

    @abc.abstractmethod
    def observe(
        self, task: str, used: resources.Resources, now: float
    ) -> None:
        """Record the measured, lagging resource usage of a run.

        Later jobs of the same workload may be allocated more.
        """

    @abc.abstractmethod
    def hold(
        self, hold_id: str, spec: work.JobSpec, tasks: list[int], until: float
    ) -> list[Start]:
        """Hold capacity for tasks of another shard's job until `until`.

        Return the placements that could be held, maybe fewer than requested.
        Idempotent: the same `hold_id` returns the same placements.
        """

    @abc.abstractmethod
    def commit_hold(self, hold_id: str, now: float) -> bool:
        """Turn a hold into allocations; return False if it has expired."""

    @abc.abstractmethod
    def release_hold(self, hold_id: str, now: float) -> None:
        """Release the capacity of a hold that is not committed."""

    @abc.abstractmethod
    def next_wakeup(self, now: float) -> float | None:
        """Return when to call `decide` next if no event occurs earlier.

        None means that only an event makes a call worthwhile.
        """

    @abc.abstractmethod
    def explain(self, job_id: str, now: float) -> Explanation | None:
        """Explain why a job waits; return None if it isn't queued here."""

    @abc.abstractmethod
    def summary(self, now: float) -> ShardSummary:
        """Return a summary of the shard's capacity, use and queues."""
