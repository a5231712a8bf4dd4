"""Hold what the parts of a shard's engine share."""

import collections
import dataclasses
import enum

from hibiscusslip.jobs import budget
from hibiscusslip.jobs import commands
from hibiscusslip.jobs import model
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.records import zone as zone_records
from hibiscusslip.scheduler import base as scheduler_base


@dataclasses.dataclass(frozen=True, slots=True)
class EngineConfig:
    """Hold the engine's limits; times are in seconds."""

    worker_lease: float = 12.0
    settle: float = 3.0
    clock_drift: float = 0.01
    contact_lost_after: float = 6.0
    record_timeout: float = 2.0
    stop_grace: float = 5.0
    event_wait: float = 1.0
    retry_delay: float = 0.05
    service_backoff: float = 1.0
    service_backoff_max: float = 60.0
    max_attempts: int = 3
    max_jobs: int = 20_000
    max_finished: int = 2_000
    max_finished_bytes: int = 4 * 1024 * 1024
    max_retention: float = 3600.0
    min_retention: float = 2.0
    max_recorded_answer_bytes: int = 64 * 1024

    @property
    def lapse(self) -> float:
        """Return how long after a send a run may still hold its lease."""
        return self.settle + self.worker_lease * (1 + self.clock_drift)


class Contact(enum.StrEnum):
    """Tell what the engine knows of an endpoint."""

    UNLISTED = 'unlisted'
    LISTED = 'listed'
    LOST = 'lost'


@dataclasses.dataclass(slots=True)
class EndpointView:
    """Hold the engine's view of one endpoint of the shard.

    `missing` are tasks that a renewal did not find; whether they are still
    waited for is looked at from `check_at` on. `back_at` is when the
    endpoint answered again after a silence.
    """

    info: places.EndpointInfo
    contact: Contact = Contact.UNLISTED
    boot: str = ''
    list_in_flight: bool = False
    next_list_at: float = 0.0
    last_contact_at: float = 0.0
    contact_regained_at: float = 0.0
    renewal_sent_at: float = 0.0
    missing_check_at: float = 0.0
    missing: frozenset[str] = frozenset()
    tasks: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class OffloadHold:
    """Hold what a foreign home asked room for."""

    home: places.Shard
    home_epoch: int
    spec: work.JobSpec
    attempt: int
    starts: list[scheduler_base.Start]
    until: float


@dataclasses.dataclass(slots=True)
class Counters:
    """Count what the engine met; the node publishes them."""

    starts: int = 0
    retries: int = 0
    late_answers: int = 0
    adopted: int = 0
    doubts: int = 0
    unknown: int = 0
    restarts: int = 0


@dataclasses.dataclass(slots=True)
class ShardState:
    """Hold a shard's jobs, endpoints and what is to be done."""

    shard: places.Shard
    epoch: int
    scheduler: scheduler_base.Scheduler
    cfg: EngineConfig
    ids: collections.abc.Iterator[str]
    retry_budget: budget.RetryBudget
    jobs: dict[str, model.Job] = dataclasses.field(default_factory=dict)
    endpoints: dict[str, EndpointView] = dataclasses.field(
        default_factory=dict
    )
    pending: list[commands.Command] = dataclasses.field(default_factory=list)
    unconfirmed_records: dict[str, zone_records.ZoneRecord] = (
        dataclasses.field(default_factory=dict)
    )
    offload_holds: dict[str, OffloadHold] = dataclasses.field(
        default_factory=dict
    )
    committed: dict[str, float] = dataclasses.field(default_factory=dict)
    fencing_epochs: dict[places.Shard, int] = dataclasses.field(
        default_factory=dict
    )
    delayed_reports: dict[str, float] = dataclasses.field(default_factory=dict)
    finished: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )
    finished_bytes: int = 0
    pinned: frozenset[str] = frozenset()
    pinned_skipped: int = 0
    unwritten: list[zone_records.JobEnded] = dataclasses.field(
        default_factory=list
    )
    open: bool = False
    opens_at: float = 0.0
    log_up: bool = True
    counters: Counters = dataclasses.field(default_factory=Counters)

    def find(self, task: str) -> tuple[model.Job, model.Task] | None:
        """Return the job and the task with a task id, if known."""
        job_id, _, index = task.rpartition('/')
        job = self.jobs.get(job_id)
        if job is None:
            return None
        found = job.tasks.get(int(index))
        return None if found is None else (job, found)

    def write(self, record: zone_records.ZoneRecord) -> None:
        """Ask the node to write a record and remember it until confirmed."""
        self.unconfirmed_records[record.record_id] = record
        self.pending.append(commands.WriteRecord(record))
