"""The state of an endpoint, its leases and what is allocated on it."""

import collections.abc
import dataclasses

from hibiscusslip.dispatch import _job_state
from hibiscusslip.dispatch import model

MIN_CLOCK_RATE = 0.98  # an endpoint's clock may run 2% slow
LAPSE_SLACK_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class HandledCursor:
    """Identify the last ended run handled of one endpoint incarnation."""

    born: float
    number: int


Observe = collections.abc.Callable[
    ['Endpoint', str, _job_state.Allocation, bool], None
]


@dataclasses.dataclass(slots=True, eq=False)
class Endpoint:
    """Track one endpoint and the resources allocated on it.

    `entry` is None while the platform doesn't list the endpoint, `polled` is
    False until its first report. `clock` is the endpoint's clock as of
    `clock_read_at`. `leased_until` is the latest end of a lease or start
    request sent to it, on its clock; `inherited_leases_until` is, on the
    host's clock, the latest end of a lease that a former owner, or this one to
    a former incarnation, may have granted, and `lease_evidence` tells from
    what that was derived. `handled_cursor` is the number of
    the last ended run that was handled, `acknowledged_cursor` that of the last
    whose record is written. With `ends_partial` its last report left out ended
    runs. A restart was seen at `restarted_at`, 0 once the runs that it ended
    are abandoned. Until `entry_outdated_until` its entry is that of another
    incarnation, and may differ. It `may_have_restarted` since its last report
    if a call went unanswered or its clock went back. `last_response_at` is
    when it last answered a call, `suspected_at` when a call first went
    unanswered after that, 0 for none. It is `silent` once several calls went
    unanswered.
    While `withheld` no lease may be granted there. `lapsed` are the runs that
    were given up while it was silent, `trials` the runs beside which no other
    job may start any. The last start there was decided at `last_start_at`, for
    the job `last_start_job`. `observe` is called with each allocation and
    its task's name when it is added (True) or released (False).
    `best_effort_count` is the number of allocations of best-effort tasks.
    """

    name: str
    address: str = ''
    zone: str = ''
    entry: model.EndpointEntry | None = None
    allocations: dict[tuple[str, int], _job_state.Allocation] = (
        dataclasses.field(default_factory=dict)
    )
    used: model.Demand = dataclasses.field(default_factory=model.Demand)
    born: float = 0.0
    clock: float = 0.0
    clock_read_at: float = 0.0
    polled: bool = False
    responsive: bool = False
    leased_until: float = 0.0
    inherited_leases_until: float = 0.0
    lease_evidence: str = ''
    handled_cursor: int = 0
    acknowledged_cursor: int = 0
    ends_partial: bool = False
    restarted_at: float = 0.0
    entry_outdated_until: float = 0.0
    may_have_restarted: bool = False
    quarantined_until: float = 0.0
    consecutive_failures: int = 0
    full_until: float = 0.0
    slowness: float = 1.0
    slowness_updated_at: float = 0.0
    draining_since: float = 0.0
    last_response_at: float = 0.0
    suspected_at: float = 0.0
    silent: bool = False
    withheld: bool = False
    lapsed: list[_job_state.Allocation] = dataclasses.field(
        default_factory=list
    )
    lapsed_at: float = 0.0
    trials: dict[tuple[str, int], str] = dataclasses.field(
        default_factory=dict
    )
    last_start_at: float = 0.0
    last_start_job: str = ''
    observe: Observe = lambda *args: None
    best_effort_count: int = 0

    def clock_now(self, now: float) -> float:
        """Return the expected time on the endpoint's clock."""
        return self.clock + (now - self.clock_read_at)

    def cursor_to_send(self) -> int:
        """Return the number up to which it may forget its ended runs.

        A new incarnation numbers its ended runs anew.
        """
        return 0 if self.may_have_restarted else self.acknowledged_cursor

    def leases_expired(self, now: float) -> bool:
        """Return True if all leases granted to it have provably expired."""
        return now >= self.leases_end()

    def leases_end(self) -> float:
        """Return when all leases granted to it have provably expired.

        Assumes that its clock runs at MIN_CLOCK_RATE at least.
        """
        if not self.polled:
            return self.inherited_leases_until
        left = self.leased_until + LAPSE_SLACK_S - self.clock
        end = self.clock_read_at + left / MIN_CLOCK_RATE
        return max(end, self.inherited_leases_until)

    def usable(self, now: float) -> bool:
        """Return True if new runs may be started on this endpoint."""
        return (
            self.reachable()
            and now >= self.quarantined_until
            and now >= self.full_until
            and now >= self.entry_outdated_until
        )

    def reachable(self) -> bool:
        """Return True if it stays and would answer to a start."""
        return (
            self.entry is not None
            and not self.entry.draining
            and self.polled
            and self.responsive
            and not self.withheld
        )

    def free_capacity(self) -> model.Demand:
        """Return the capacity that isn't allocated."""
        assert self.entry is not None
        return self.entry.capacity - self.used

    def allocate(self, task: str, allocation: _job_state.Allocation) -> None:
        """Add an allocation for a run of the task."""
        self.allocations[(task, allocation.run)] = allocation
        self.used = self.used + allocation.demand
        self.best_effort_count += allocation.best_effort
        self.observe(self, task, allocation, True)
        if allocation.holding is not None:
            allocation.holding.add(allocation.demand)
        if allocation.starts_trial:
            assert allocation.task is not None
            job_id = allocation.task.step.job.job_id
            self.trials[(task, allocation.run)] = job_id

    def release(self, task: str, run: int) -> _job_state.Allocation | None:
        """Remove and return a run's allocation, None if there is none."""
        allocation = self.allocations.pop((task, run), None)
        self.end_trial(task, run)
        if allocation is not None:
            self.used = self.used - allocation.demand
            self.best_effort_count -= allocation.best_effort
            self.observe(self, task, allocation, False)
            if allocation.holding is not None:
                allocation.holding.subtract(allocation.demand)
        return allocation

    def end_trial(self, task: str, run: int) -> None:
        """Allow other jobs to start beside a run, if none else is on trial."""
        self.trials.pop((task, run), None)

    def on_trial_for_other(self, job_id: str) -> bool:
        """Return True if a run of another job is on trial here."""
        return any(other != job_id for other in self.trials.values())
