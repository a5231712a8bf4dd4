"""The state of jobs and their tasks, and the resources of their runs."""

import dataclasses
import enum

from hibiscusslip.dispatch import holdings
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import second_runs

# For so long after its start a run may be the cause of a crash.
PROBATION_S = 0.5
LONG_PROBATION_S = 8.0
CRASHES_TO_LONG_PROBATION = 2


class Status(enum.IntEnum):
    """List the states of a task; the numbers are written to records."""

    WAITING = 0
    STARTING = 1
    RUNNING = 2
    DONE = 4
    FAILED = 5

    @property
    def placed(self) -> bool:
        """Return True if a run of the task may be active on an endpoint."""
        return self is Status.STARTING or self is Status.RUNNING


@dataclasses.dataclass(frozen=True, slots=True)
class Crashes:
    """Count the endpoints that crashed soon after they started a task.

    `sole` are those where no other job can have been the cause, `confirmed`
    those of them that had confirmed the start.
    """

    total: int = 0
    sole: int = 0
    confirmed: int = 0

    @property
    def probation(self) -> float:
        """Return for how long a run of the task is on probation, in s."""
        if self.total < CRASHES_TO_LONG_PROBATION:
            return PROBATION_S
        return LONG_PROBATION_S


@dataclasses.dataclass(frozen=True, slots=True)
class UnexplainedLoss:
    """A run that was given up on a silent endpoint, which may have crashed."""

    run: int
    endpoint: str
    address: str
    born: float


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """Track one task.

    `run` is the number of its last run, 0 before the first. `not_before` is
    the earliest time of its next start. `stalls` counts the runs that were
    stopped because they made no progress. While the task is placed,
    `address` and `born` are those of its endpoint's incarnation.
    `unexplained` are its runs on endpoints that may have crashed under it.
    `proven_run` is the last run on trial that was seen to work. `preempted` is
    set once a run was stopped in favour of urgent work. `second` is the run
    beside the current one, `copy_run` the number of the run that was started
    as a copy, 0 for none.
    """

    name: str
    step: 'StepState'
    index: int
    status: Status = Status.WAITING
    run: int = 0
    failures: int = 0
    endpoint: str = ''
    checkpoint: str = ''
    not_before: float = 0.0
    started_at: float = 0.0
    stalls: int = 0
    crashes: Crashes = Crashes()
    unexplained: tuple[UnexplainedLoss, ...] = ()
    proven_run: int = 0
    address: str = ''
    born: float = 0.0
    preempted: bool = False
    second: second_runs.SecondRun | None = None
    copy_run: int = 0

    @property
    def on_trial(self) -> bool:
        """Return True if an endpoint has crashed under it, or may have."""
        return bool(self.crashes.total or self.unexplained)


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """An endpoint's admission ticket for a step, valid until a time."""

    text: str
    until: float


@dataclasses.dataclass(slots=True, eq=False)
class StepState:
    """Track one step of one occurrence of a job.

    `tickets` maps endpoints to their newest tickets, None before the first
    reply of the advice service. `asked_about` are all endpoints that it was
    asked about, `eligible` those that may run the step. While
    `advice_pending`, and before `next_advice_at`, it isn't asked again, and
    before `next_widening_at` not about more endpoints. With `call_refused` the
    next call had to wait for those of other steps. The members of a gang
    were stopped in `stopped_run`, as one was missing. Since `kept_back_since`
    capacity that its tasks could use is kept for others, 0 for none. It is
    `hopeless` if none of its waiting tasks could run on the present pool.
    """

    job: 'Job'
    occurrence: int
    number: int
    spec: model.Step
    tasks: list[Task] = dataclasses.field(default_factory=list)
    tickets: dict[str, Ticket] | None = None
    asked_about: set[str] = dataclasses.field(default_factory=set)
    eligible: set[str] = dataclasses.field(default_factory=set)
    advice_pending: bool = False
    next_advice_at: float = 0.0
    next_widening_at: float = 0.0
    call_refused: bool = False
    failures: int = 0
    failed_run: int = 0
    stopped_run: int = 0
    checkpoint: str = ''
    done_count: int = 0
    waiting_since: float = 0.0
    kept_back_since: float = 0.0
    hopeless: bool = False

    @property
    def name(self) -> str:
        """Return the name of the step."""
        return model.step_name(self.job.job_id, self.occurrence, self.number)

    @property
    def complete(self) -> bool:
        """Return True if all tasks are done."""
        return self.done_count == len(self.tasks)

    @property
    def ready(self) -> bool:
        """Return True if all steps that it depends on are complete."""
        steps = self.job.occurrences[self.occurrence]
        return all(steps[number].complete for number in self.spec.after)

    def note_done(self) -> None:
        """Count one more task as done."""
        self.done_count += 1
        self.job.open_tasks -= 1

    def endpoints_with_ticket(self, now: float) -> list[str]:
        """Return the endpoints whose tickets are valid at a time."""
        tickets = self.tickets or {}
        return [name for name, ticket in tickets.items() if now < ticket.until]

    def has_progress(self) -> bool:
        """Return True if a task was ever started, or mustn't be for now."""
        return any(task.run or task.not_before for task in self.tasks)

    def has_waiting(self) -> bool:
        """Return True if a task waits to be started."""
        return any(t.status is Status.WAITING for t in self.tasks)

    def waiting(self) -> list[Task]:
        """Return the tasks that wait to be started."""
        return [t for t in self.tasks if t.status is Status.WAITING]


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """Track one accepted job.

    `occurrences` are those that are due and not complete, of the `created`
    first ones; `open_tasks` is the number of their tasks that aren't done.
    `durable_state` is the state that has been written to the store; callers
    are told of no other final state. `zone` is the zone in which a task of
    the job was started last. `organisation` is the one that submitted it, ''
    for none; `within_entitlement` is False if it had submitted more jobs than
    it is entitled to, and `holding` sums up what its runs hold in the pool.
    It is `contested` if another organisation has submitted a job of this ID.
    Records of the inbox before `inbox_since`, an offset for each partition,
    are those of former jobs with this ID; it is () if there are none.
    `accepted_queue` is its queue as it was when the job was accepted, None if
    that isn't known. With `progress_unknown` its record couldn't be read:
    tasks of it may run or be done, so none is started.
    """

    job_id: str
    queue: str
    service: str
    spec: model.JobSpec
    submitted_at: float
    state: model.JobState = model.JobState.QUEUED
    durable_state: model.JobState = model.JobState.QUEUED
    occurrences: dict[int, list[StepState]] = dataclasses.field(
        default_factory=dict
    )
    created: int = 0
    open_tasks: int = 0
    final_at: float = 0.0
    has_started: bool = False
    zone: str = ''
    organisation: str = ''
    within_entitlement: bool = True
    holding: holdings.Holding | None = None
    contested: bool = False
    inbox_since: tuple[int, ...] = ()
    accepted_queue: model.Queue | None = None
    progress_unknown: bool = False

    def steps(self) -> list[StepState]:
        """Return the steps of all occurrences that are open."""
        return [s for steps in self.occurrences.values() for s in steps]


@dataclasses.dataclass(slots=True, eq=False)
class Allocation:
    """Reserve resources of an endpoint for a run until its end is certain.

    `deadline` is when the start request expires, on the endpoint's clock.
    `confirmed_at` is when the endpoint confirmed the start, 0 before.
    `listed_at` is when a report contained the run last, 0 for never;
    `recovered` is set if the allocation was restored from a record.
    `progressed_at` is when `percent` changed last. `pace_percent` is the
    share of its speed that the run may use; `cooldown_since` is the start of
    the delay before it is raised. The duration of a run that is `measurable`
    tells the length of its work: it began anew, under this owner, and was
    neither throttled nor stalled. It is `overdue` once it was learned that
    it takes longer than expected. `checkpointed_at` is when a report had a
    new checkpoint of it last, 0 for never. A start that was sent again is
    `partly_unanswered`: an earlier one may still be carried out.
    """

    task: Task | None
    run: int
    demand: model.Demand
    decided_at: float
    deadline: float = 0.0
    confirmed_at: float = 0.0
    listed_at: float = 0.0
    recovered: bool = False
    stop_requested_at: float = 0.0
    percent: int = 100
    usage: float = 0.0
    progressed_at: float = 0.0
    pace_percent: int = 100
    cooldown_since: float = 0.0
    measurable: bool = True
    overdue: bool = False
    checkpointed_at: float = 0.0
    partly_unanswered: bool = False

    @property
    def holding(self) -> holdings.Holding | None:
        """Return where the run of an organisation's job is summed up."""
        return self.task.step.job.holding if self.task is not None else None

    @property
    def best_effort(self) -> bool:
        """Return True if the run uses only CPU that others leave idle."""
        return self.task is not None and self.task.step.spec.fills

    @property
    def proven_age(self) -> float:
        """Return for how long the run was seen to be active, in seconds."""
        began = self.confirmed_at or self.decided_at
        return max(self.listed_at - began, 0.0)

    @property
    def was_confirmed(self) -> bool:
        """Return True if the endpoint confirmed the start to any owner."""
        if not self.recovered:
            return bool(self.confirmed_at)
        if self.task is None:
            return False
        second = self.task.second
        if second is not None and second.run == self.run:
            return second.confirmed
        return self.task.status is Status.RUNNING

    @property
    def starts_trial(self) -> bool:
        """Return True if no other job may start a run beside this one."""
        return (
            self.task is not None
            and self.task.on_trial
            and self.task.proven_run != self.run
        )

    @property
    def on_probation(self) -> bool:
        """Return True if the run may be the cause of a crash."""
        if self.task is None:
            return self.proven_age < PROBATION_S
        if self.task.proven_run == self.run:
            return False
        return self.proven_age < self.task.crashes.probation
