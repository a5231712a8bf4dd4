"""Define the state that the modules of a shard's engine share."""

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
    """Configure the limits of an engine; times are in seconds.

    `settle` is how long a request may be under way before an endpoint
    carries it out, `clock_drift` by which fraction an endpoint's clock may
    be slow. An outcome is reported without its record after
    `record_timeout`. An endpoint whose renewal misses tasks is listed unless
    their end events arrive within `event_wait`. Finished jobs are kept for
    at least `min_retention` and at most `max_retention`.
    """

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
    def lease_wait(self) -> float:
        """Return the seconds after a send until a run's lease has expired.

        The send is that of the last start or renewal request of the run.
        """
        return self.settle + self.worker_lease * (1 + self.clock_drift)


class Contact(enum.StrEnum):
    """Enumerate the states of the contact with an endpoint.

    The runs of an endpoint are known once it is LISTED. An endpoint that
    stops responding, restarts or moves to another address is LOST.
    """

    UNLISTED = 'unlisted'
    LISTED = 'listed'
    LOST = 'lost'


@dataclasses.dataclass(slots=True)
class EndpointView:
    """Represent an endpoint of the shard as the engine sees it.

    `boot` is the incarnation of the endpoint, `tasks` are those that the
    engine expects on it. `next_list_at` is the earliest time for the next
    listing of its runs; for a LISTED endpoint, 0 means that none is due.
    `contact_regained_at` is when the endpoint answered again after the
    contact was lost. `missing` are tasks that a renewal did not find; from
    `missing_check_at` on (0 for never) the endpoint is listed if some of
    them are still expected.
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
    """Represent a hold on capacity for tasks of a foreign home.

    `starts` are the reserved placements, empty in a request for a hold. The
    hold expires at `until`.
    """

    home: places.Shard
    home_epoch: int
    spec: work.JobSpec
    attempt: int
    starts: list[scheduler_base.Start]
    until: float


@dataclasses.dataclass(slots=True)
class Counters:
    """Count the engine's events; the fields are published as metrics.

    `late_answers` counts reports that were ignored as stale, `doubts` starts
    of unknown outcome, `unknown` tasks that were closed as unknown and
    `restarts` runs of services that ended and were queued again.
    """

    starts: int = 0
    retries: int = 0
    late_answers: int = 0
    adopted: int = 0
    doubts: int = 0
    unknown: int = 0
    restarts: int = 0


@dataclasses.dataclass(slots=True)
class ShardState:
    """Store a shard's jobs, endpoints and pending work.

    `pending` are commands that the node has not fetched yet, and
    `unconfirmed_records` the records that were not read back yet, by id.
    `offload_holds` are the open holds of foreign homes, `committed` the
    times of the recently committed ones, both by hold id. `fencing_epochs`
    maps a foreign home to its latest known epoch; older ones are rejected.
    `delayed_reports` maps a job whose final outcome is not on the log yet to
    the time when it is reported in any case. `finished` are the ids of
    finished jobs, oldest first; `pinned` ones are not evicted, and
    `pinned_skipped` counts those that an eviction has passed over.
    `unwritten` are records of final outcomes that the log refused. The shard
    opens at `opens_at` even if some endpoint has not been listed.
    """

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
        """Return the job and the task of a task id, None if unknown."""
        job_id, _, index = task.rpartition('/')
        job = self.jobs.get(job_id)
        if job is None:
            return None
        match = job.tasks.get(int(index))
        return None if match is None else (job, match)

    def write(self, record: zone_records.ZoneRecord) -> None:
        """Queue a record for writing; keep it until it is confirmed."""
        self.unconfirmed_records[record.record_id] = record
        self.pending.append(commands.WriteRecord(record))
