"""Represent the scheduler's state of jobs that are not over."""

import collections
import dataclasses

from hibiscusslip.model import work
from hibiscusslip.scheduler import _vector


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """Store the state of the tasks of one job.

    The last of `pending` starts next. A task is in exactly one of `pending`,
    `delayed`, `placed` (allocated or held here) and `remote`, or it is over.
    `delayed` has the times when the delays of its tasks end. `started_at`
    has the times of the tasks that were started here;
    `ever_started` is True once any task has started. `foreign` jobs belong to
    another shard, `short` ones are expected to run for a short time. `shape`
    is -1 until the job is queued.
    """

    spec: work.JobSpec
    demand: _vector.Vector
    submitted: float
    seq: int
    shape: int = -1
    foreign: bool = False
    pending: list[int] = dataclasses.field(default_factory=list)
    delayed: dict[int, float] = dataclasses.field(default_factory=dict)
    placed: dict[int, str] = dataclasses.field(default_factory=dict)
    remote: set[int] = dataclasses.field(default_factory=set)
    tasks_by_rack: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    started_at: dict[int, float] = dataclasses.field(default_factory=dict)
    accepted: bool = False
    ever_started: bool = False
    short: bool = False
    backoff: float = 0.0
    remote_attempts: int = 0
    next_remote_attempt_at: float = 0.0
    reserve_after: float = 0.0
    failed_reservations: int = 0
    failures: int = 0

    @property
    def job_id(self) -> str:
        """Return the job's id."""
        return self.spec.job_id

    @property
    def gang(self) -> bool:
        """Return True if all tasks have to start together."""
        return self.spec.form is work.Form.GANG

    @property
    def spread(self) -> bool:
        """Return True if the tasks should be placed in different racks."""
        return self.spec.spread or self.spec.form is work.Form.SERVICE

    @property
    def is_over(self) -> bool:
        """Return True if no task waits or runs any more."""
        waits = self.pending or self.delayed
        return not (waits or self.placed or self.remote)
