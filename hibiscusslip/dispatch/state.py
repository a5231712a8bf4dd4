"""Hold jobs, their tasks and the endpoints that run them."""

import dataclasses
import enum

from hibiscusslip.dispatch import model

MIN_CLOCK_RATE = 0.98  # an endpoint's clock may run 2% slow
LAPSE_SLACK_S = 0.25


class Status(enum.IntEnum):
    """Tell how far a task is; the numbers are written to records."""

    WAITING = 0
    STARTING = 1
    RUNNING = 2
    DONE = 4
    FAILED = 5

    @property
    def placed(self) -> bool:
        """Tell whether a run of the task may be at work."""
        return self is Status.STARTING or self is Status.RUNNING


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """Hold one task; `run` numbers its last start, 0 before the first."""

    name: str
    step: 'StepState'
    index: int
    status: Status = Status.WAITING
    run: int = 0
    failures: int = 0
    endpoint: str = ''
    checkpoint: str = ''
    not_before: float = 0.0
    started: float = 0.0
    stalls: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class StepState:
    """Hold one step of one occurrence of a job.

    `tickets` are what the advice service gave last for endpoints that may
    run it, None before it was asked; `asked` are all endpoints it was asked
    of, `eligible` those of them that may run it.
    """

    job: 'Job'
    occurrence: int
    number: int
    spec: model.Step
    tasks: list[Task] = dataclasses.field(default_factory=list)
    tickets: dict[str, str] | None = None
    tickets_until: float = 0.0
    asked: set[str] = dataclasses.field(default_factory=set)
    eligible: set[str] = dataclasses.field(default_factory=set)
    advice_pending: bool = False
    next_advice_at: float = 0.0
    failures: int = 0
    failed_run: int = 0
    checkpoint: str = ''
    done: int = 0
    waiting_since: float = 0.0

    @property
    def name(self) -> str:
        """Return the name of the step."""
        return model.step_name(self.job.job_id, self.occurrence, self.number)

    @property
    def complete(self) -> bool:
        """Tell whether all tasks have ended as done."""
        return self.done == len(self.tasks)

    @property
    def ready(self) -> bool:
        """Tell whether all steps before are complete."""
        others = self.job.occurrences[self.occurrence]
        return all(others[number].complete for number in self.spec.after)

    def has_waiting(self) -> bool:
        """Tell whether a task waits to be started."""
        return any(t.status is Status.WAITING for t in self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks that wait to be started."""
        return [t for t in self.tasks if t.status is Status.WAITING]


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """Hold one accepted job; `shown` is the state that is on the store.

    `zone` is where its last task was started.
    """

    job_id: str
    queue: str
    service: str
    spec: model.JobSpec
    submitted: float
    state: model.JobState = model.JobState.QUEUED
    durable_state: model.JobState = model.JobState.QUEUED
    occurrences: dict[int, list[StepState]] = dataclasses.field(
        default_factory=dict
    )
    final_at: float = 0.0
    has_started: bool = False
    zone: str = ''

    def steps(self) -> list[StepState]:
        """Return the steps of all occurrences that are due."""
        return [s for steps in self.occurrences.values() for s in steps]


@dataclasses.dataclass(slots=True, eq=False)
class Allocation:
    """Hold what one run takes of an endpoint until it surely has ended.

    `deadline` is when its order is void, on the endpoint's clock;
    `answered` when the endpoint confirmed the start, 0 before.
    """

    task: Task | None
    run: int
    demand: model.Demand
    decided_at: float
    deadline: float = 0.0
    confirmed_at: float = 0.0
    listed: bool = False
    recovered: bool = False
    stop_requested_at: float = 0.0
    percent: int = 100
    usage: float = 0.0
    progressed_at: float = 0.0
    pace_percent: int = 100
    cooldown_since: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HandledCursor:
    """Hold the number of the last end that was handled of one life."""

    born: float
    number: int


@dataclasses.dataclass(slots=True, eq=False)
class Endpoint:
    """Hold what is known of one endpoint and what is booked on it.

    `answered_at` is when it last answered a call, `doubted_at` when one was
    first left without an answer since then, 0 for none.
    """

    name: str
    entry: model.EndpointEntry | None = None
    allocations: dict[tuple[str, int], Allocation] = dataclasses.field(
        default_factory=dict
    )
    used: model.Demand = dataclasses.field(default_factory=model.Demand)
    born: float = 0.0
    clock: float = 0.0
    clock_read_at: float = 0.0
    polled: bool = False
    responsive: bool = False
    granted: float = 0.0
    inherited_leases_until: float = 0.0
    handled: int = 0
    acknowledged: int = 0
    quarantined_until: float = 0.0
    consecutive_failures: int = 0
    full_until: float = 0.0
    slowness: float = 1.0
    slowness_updated_at: float = 0.0
    draining_since: float = 0.0
    last_response_at: float = 0.0
    suspected_at: float = 0.0

    def clock_now(self, now: float) -> float:
        """Return the endpoint's clock as it should read now."""
        return self.clock + (now - self.clock_read_at)

    def lapsed(self, now: float) -> bool:
        """Tell whether every lease given to this endpoint is surely over."""
        if not self.polled:
            return now >= self.inherited_leases_until
        least = self.clock + (now - self.clock_read_at) * MIN_CLOCK_RATE
        return (
            least > self.granted + LAPSE_SLACK_S
            and now >= self.inherited_leases_until
        )

    def usable(self, now: float) -> bool:
        """Tell whether new runs may be started here."""
        return (
            self.entry is not None
            and not self.entry.draining
            and self.polled
            and self.responsive
            and now >= self.quarantined_until
            and now >= self.full_until
        )

    def free(self) -> model.Demand:
        """Return what isn't booked."""
        assert self.entry is not None
        return self.entry.capacity - self.used

    def allocate(self, task: str, allocation: Allocation) -> None:
        """Take a run's demand until it is released."""
        self.allocations[(task, allocation.run)] = allocation
        self.used = self.used + allocation.demand

    def release(self, task: str, run: int) -> Allocation | None:
        """Give back what a run took."""
        allocation = self.allocations.pop((task, run), None)
        if allocation is not None:
            self.used = self.used - allocation.demand
        return allocation
