"""Define what the owner of a shard asks of a scheduling policy.

A scheduler serves one shard. It books the shard's endpoints, keeps the
bounded queues and decides; it does no I/O and reads no clock: `now` is in
seconds on any clock that never steps back.
"""

import abc
import dataclasses
import enum

from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.model import work


@dataclasses.dataclass(frozen=True, slots=True)
class KindShare:
    """Hold the share of the fleet of one kind of work, as fractions.

    `guarantee` is kept for the kind against all others, `ceiling` is the
    most it may hold; `lendable` tells whether idle guarantee is lent.
    """

    kind: str
    guarantee: float
    ceiling: float
    lendable: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class TeamQuota:
    """Hold the most that a team may hold at once, and its weight."""

    team: str
    limit: resources.Resources
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPolicy:
    """Hold shares by kind and quotas by team, of one configuration."""

    version: int
    shares: dict[str, KindShare]
    quotas: dict[str, TeamQuota]


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """Tell that a job is queued."""


class RefusalReason(enum.StrEnum):
    """Name why a job was refused before anything of it started."""

    IMPOSSIBLE = 'impossible'
    QUEUE_FULL = 'queue_full'
    DEADLINE = 'deadline'
    QUOTA = 'quota'
    UNKNOWN_KIND = 'unknown_kind'
    UNKNOWN_TEAM = 'unknown_team'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Tell that a job is not run, why, and what to do about it.

    `retry_after` is in seconds, None when a retry can't help;
    `nearest` is the closest demand per task that could run.
    """

    reason: RefusalReason
    detail: str
    retry_after: float | None = None
    nearest: resources.Resources | None = None


Admission = Admitted | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Decide that a task starts on an endpoint; its room is booked."""

    task: str
    endpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class GangStart:
    """Decide that all tasks of a gang start, each on its endpoint."""

    job_id: str
    placements: list[Start]


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteHoldRequest:
    """Decide to gather room for a gang on other shards too.

    `local` are placements held here until `expires`, `missing` the numbers
    of tasks that need room elsewhere. The hold's id is the job's: commit it
    once the rest is held, release it to have the gang try again later.
    """

    job_id: str
    local: list[Start]
    missing: list[int]
    expires: float


class ReclaimMethod(enum.StrEnum):
    """Name the ways to take lent resources back, the cheapest first."""

    THROTTLE = 'throttle'
    CHECKPOINT = 'checkpoint'
    STOP = 'stop'


@dataclasses.dataclass(frozen=True, slots=True)
class Preempt:
    """Decide to take back what a running task holds."""

    task: str
    method: ReclaimMethod
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Decide that a queued job is not run any more."""

    job_id: str
    refusal: Refused


Decision = Start | GangStart | RemoteHoldRequest | Preempt | Drop


class RunOutcome(enum.StrEnum):
    """Tell how a run ended, for booking and for learning."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    NOT_STARTED = 'not_started'
    ENDPOINT_LOST = 'endpoint_lost'


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Tell why a job waits, in plain sentences, the strongest first."""

    job_id: str
    waited: float
    reasons: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class KindSummary:
    """Hold the standing of one kind on one shard."""

    kind: str
    queued: int
    running: int
    held: resources.Resources
    guaranteed: resources.Resources
    oldest_wait: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShardSummary:
    """Hold what other owners need to spread work; it lags."""

    shard: places.Shard
    free: resources.Resources
    capacity: resources.Resources
    largest_free: resources.Resources
    kinds: list[KindSummary]


class Scheduler(abc.ABC):
    """Book, queue and decide for one shard."""

    @abc.abstractmethod
    def set_policy(self, policy: FleetPolicy, now: float) -> None:
        """Take a newer configuration into force."""

    @abc.abstractmethod
    def set_endpoint(self, info: places.EndpointInfo, now: float) -> None:
        """Add an endpoint or change its state (live, leaving, gone)."""

    @abc.abstractmethod
    def set_remote_capacities(
        self, capacities: list[resources.Resources]
    ) -> None:
        """Tell which sizes of endpoints other shards of the cell have."""

    @abc.abstractmethod
    def endpoint_lost(self, endpoint: str, now: float) -> list[str]:
        """Drop an endpoint and return the tasks that were booked on it."""

    @abc.abstractmethod
    def submit(self, spec: work.JobSpec, now: float) -> Admission:
        """Queue a job, or refuse it at once with the reason."""

    @abc.abstractmethod
    def adopt(
        self, spec: work.JobSpec, task: str, endpoint: str, now: float
    ) -> None:
        """Book a run that was found on an endpoint, even beyond shares."""

    @abc.abstractmethod
    def requeue(self, task: str, now: float, delay: float = 0.0) -> None:
        """Queue a task again whose run has provably ended."""

    @abc.abstractmethod
    def cancel(self, job_id: str, now: float) -> list[str]:
        """Take a job off the queue and return its booked tasks."""

    @abc.abstractmethod
    def decide(self, now: float, limit: int = 256) -> list[Decision]:
        """Return up to `limit` decisions; their room is booked already."""

    @abc.abstractmethod
    def ended(self, task: str, outcome: RunOutcome, now: float) -> None:
        """Free what a task held and learn from how it ended."""

    @abc.abstractmethod
    def observe(
        self, task: str, used: resources.Resources, now: float
    ) -> None:
        """Learn the size of a workload from the lagging use of a run."""

    @abc.abstractmethod
    def hold(
        self, hold_id: str, spec: work.JobSpec, tasks: list[int], until: float
    ) -> list[Start]:
        """Book room for tasks of a foreign job until `until`.

        Returns the placements that could be booked, maybe fewer.
        """

    @abc.abstractmethod
    def commit_hold(self, hold_id: str, now: float) -> bool:
        """Turn a hold into bookings; False when it has expired."""

    @abc.abstractmethod
    def release_hold(self, hold_id: str, now: float) -> None:
        """Give a hold's room back."""

    @abc.abstractmethod
    def next_wakeup(self, now: float) -> float | None:
        """Return when `decide` is worth calling again without an event."""

    @abc.abstractmethod
    def explain(self, job_id: str, now: float) -> Explanation | None:
        """Tell why a queued job waits; None when it isn't queued here."""

    @abc.abstractmethod
    def summary(self, now: float) -> ShardSummary:
        """Return the shard's standing."""
