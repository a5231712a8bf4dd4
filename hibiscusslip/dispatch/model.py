"""Describe queues, jobs and endpoints as the decisions see them.

Times are in seconds, processors in thousandths of a core, memory in MiB.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Hold what one task takes, or what an endpoint has."""

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def fits(self, capacity: 'Demand') -> bool:
        """Tell whether this much is free in `room`."""
        return (
            self.cpu <= capacity.cpu
            and self.memory <= capacity.memory
            and self.accelerators <= capacity.accelerators
        )

    def __add__(self, other: 'Demand') -> 'Demand':
        return Demand(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Demand') -> 'Demand':
        return Demand(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Describe the tasks of one step of a job.

    `fills` tasks take the processors that others leave, so theirs aren't
    booked. `tail_target` bounds the response times of a task that lasts.
    `spread` is the most tasks of the step on one endpoint, 0 for no bound.
    `rack` is where its data lies, `label` what the endpoint must have.
    """

    count: int
    demand: Demand
    estimate: float = 1.0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    rack: str = ''
    spread: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    tail_latency_target: float = 0.0
    fills: bool = False
    may_miss: int = 0

    @property
    def booked(self) -> Demand:
        """Return what one task takes of an endpoint's capacity."""
        if self.fills:
            return Demand(0, self.demand.memory, self.demand.accelerators)
        return self.demand

    @property
    def resumable(self) -> bool:
        """Tell whether a stopped task goes on alone from where it was."""
        return self.checkpoints and not self.gang and not self.long_running


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Describe a job; `times` > 0 asks for that many timed occurrences.

    `first_due` is a Unix time, `interval` the time between occurrences.
    """

    payload: str
    steps: tuple[Step, ...]
    times: int = 0
    first_due: float = 0.0
    interval: float = 0.0

    @property
    def long_running(self) -> bool:
        """Tell whether tasks run until the job is cancelled."""
        return any(step.long_running for step in self.steps)


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Tell what asking for eligible endpoints costs, and for how long
    its tickets hold.
    """

    decision: float
    per_endpoint: float
    valid: float

    def cost(self, endpoints: int) -> float:
        """Return how long a call about so many endpoints takes, in s."""
        return self.decision + self.per_endpoint * endpoints


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Hold one queue of the configuration; priority 0 goes first."""

    name: str
    host: str
    prefix: str
    service: str
    target_latency: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: Advice | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Hold one pool of endpoints; `guards` tells that they refuse what
    doesn't fit.
    """

    name: str
    health_path: str = ''
    rejects_overload: bool = False
    standby: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one version of the operator's configuration."""

    version: int
    queues: dict[str, Queue]
    services: dict[str, Service]
    max_body_bytes: int = 262144

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of `path`."""
        best = None
        for queue in self.queues.values():
            if queue.host == host and path.startswith(queue.prefix):
                if best is None or len(queue.prefix) > len(best.prefix):
                    best = queue
        return best


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointEntry:
    """Hold what an endpoint says of itself; `born` is a Unix time."""

    name: str
    service: str
    address: str
    zone: str
    labels: tuple[str, ...]
    capacity: Demand
    draining: bool
    seq: int
    born: float
    clock: float | None

    @property
    def rack(self) -> str:
        """Return the label of its rack."""
        return self.labels[-1] if self.labels else ''


class RunOutcome(enum.StrEnum):
    """Tell how a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRun:
    """Hold one run that an endpoint lists as at work.

    `usage` is the tail of response times in milliseconds for a task that
    serves, else the processors in use.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    usage: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """Hold one run that an endpoint lists as ended."""

    number: int
    task: str
    run: int
    how: RunOutcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReport:
    """Hold what an endpoint lists; `clock` is its own, in seconds."""

    born: float
    clock: float
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


class JobState(enum.StrEnum):
    """Tell how far a job is."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def final(self) -> bool:
        """Tell whether nothing of the job will run any more."""
        return self in _FINAL


_FINAL = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


def task_name(job: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task as endpoints know it."""
    return f'{job}.{occurrence}.{step}.{index}'


def step_name(job: str, occurrence: int, step: int) -> str:
    """Return the name of a step of one occurrence."""
    return f'{job}.{occurrence}.{step}'
