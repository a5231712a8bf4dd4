"""Data types for queues, jobs and endpoints.

Times are in seconds, CPU in thousandths of a core and memory in MiB.
"""

import dataclasses
import enum

from hibiscusslip.dispatch import queue_index


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Represent the resources that a task needs or an endpoint has."""

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def fits(self, capacity: 'Demand') -> bool:
        """Return True if `capacity` covers each of these resources."""
        return (
            self.cpu <= capacity.cpu
            and self.memory <= capacity.memory
            and self.accelerators <= capacity.accelerators
        )

    def times(self, count: int) -> 'Demand':
        """Return the resources that `count` tasks need."""
        return Demand(
            self.cpu * count, self.memory * count, self.accelerators * count
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
    """Specify one step of a job, which consists of `count` equal tasks.

    `after` are the numbers of the steps that have to be complete first.
    `fills` marks best-effort tasks: they run on CPU time that other tasks
    leave idle, so no CPU is allocated to them. `tail_latency_target` bounds
    the tail of the response times of a long-running task; 0 means that the
    task isn't latency-sensitive. `spread` is the maximum number of tasks of
    the step on one endpoint, 0 for no limit. `rack` is the rack of the
    step's data, `label` a label that an endpoint must have.
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
    def allocated_demand(self) -> Demand:
        """Return the resources that are allocated to one task."""
        if self.fills:
            return Demand(0, self.demand.memory, self.demand.accelerators)
        return self.demand

    @property
    def all_or_none(self) -> bool:
        """Return True if the tasks are only placed together."""
        return self.gang or self.same_rack

    @property
    def resumable(self) -> bool:
        """Return True if a stopped task resumes from its checkpoint.

        A member of a gang doesn't: the gang restarts as a whole.
        """
        return self.checkpoints and not self.gang and not self.long_running


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Specify a job.

    With `times` > 0 the job is periodic: it runs that many occurrences, the
    first at the Unix time `first_due` and the others `interval` apart.
    """

    payload: str
    steps: tuple[Step, ...]
    times: int = 0
    first_due: float = 0.0
    interval: float = 0.0

    @property
    def tasks(self) -> int:
        """Return the number of tasks of one occurrence."""
        return sum(step.count for step in self.steps)

    @property
    def long_running(self) -> bool:
        """Return True if a task runs until the job is cancelled."""
        return any(step.long_running for step in self.steps)


@dataclasses.dataclass(frozen=True, slots=True)
class Advice:
    """Specify the calls to the advice service for a queue.

    A call returns the endpoints that are eligible for a step, each with an
    admission ticket. It takes `decision` plus `per_endpoint` for each
    endpoint; its tickets are valid for `valid`.
    """

    decision: float
    per_endpoint: float
    valid: float

    def cost(self, endpoints: int) -> float:
        """Return how long a call about `endpoints` endpoints takes, in s."""
        return self.decision + self.per_endpoint * endpoints


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """Configure a queue; priority 0 is the most urgent.

    A job is on time if it completes within `stretch` times its critical path
    plus `target_latency`. The callers of a `public` queue need no key.
    """

    name: str
    host: str
    prefix: str
    service: str
    target_latency: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: Advice | None = None
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """Configure an organisation, whose callers share one limit.

    It is entitled to `weight` jobs a second, and to a share of the capacity
    in proportion to its weight when there isn't enough for all. `limit` is
    what it may have running over all services; an amount of 0 is no limit.
    `key_digests` are the SHA-256 digests of its callers' keys.
    """

    name: str
    weight: float = 1.0
    limit: Demand = Demand()
    key_digests: frozenset[bytes] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Configure a service, which is a pool of endpoints.

    With `rejects_overload` its endpoints refuse tasks that exceed their
    capacity.
    """

    name: str
    health_path: str = ''
    rejects_overload: bool = False
    standby: bool = False


class _Indexed:
    """Hold the index of a configuration outside of its fields.

    Hosts exchange configurations, and all fields are encoded.
    """

    __slots__ = ('_index',)
    _index: queue_index.QueueIndex


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration(_Indexed):
    """Represent one version of the operator's configuration.

    `organisations` is None if the deployment has none: then callers need no
    keys, and nothing limits what they have running.
    """

    version: int
    queues: dict[str, Queue]
    services: dict[str, Service]
    max_body_bytes: int = 262144
    organisations: dict[str, Organisation] | None = None

    @property
    def index(self) -> queue_index.QueueIndex:
        """Return the index of the queues, built when it is first needed."""
        try:
            return self._index
        except AttributeError:
            index = queue_index.QueueIndex(self.queues)
            object.__setattr__(self, '_index', index)
            return index

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest match for `path`.

        Returns None if no queue of `host` matches.
        """
        return self.index.find(host, path)


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointEntry:
    """Represent an endpoint's entry in the platform's list of endpoints.

    `born` is the Unix time at which this incarnation started; `seq` orders
    the entries of one incarnation.
    """

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
    def kind(self) -> str:
        """Return the machine kind, the first label; '' if there is none."""
        return self.labels[0] if self.labels else ''

    @property
    def rack(self) -> str:
        """Return the rack, which is the last label; '' if there is none."""
        return self.labels[-1] if self.labels else ''


class RunOutcome(enum.StrEnum):
    """List how a run can end.

    LAPSED is a run whose lease expired. Only FAILED counts towards the
    queue's `max_attempts`.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@dataclasses.dataclass(frozen=True, slots=True)
class RunningRun:
    """Represent a run that an endpoint reports as running.

    `usage` is the tail latency in milliseconds for a latency-sensitive task,
    and the CPU in use for others.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    usage: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """Represent a run that an endpoint reports as ended.

    `number` ascends within one incarnation of the endpoint.
    """

    number: int
    task: str
    run: int
    how: RunOutcome
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointReport:
    """Represent an endpoint's reply to a poll.

    `clock` is the time on the endpoint's clock, `born` identifies its
    incarnation. Unless `ends_complete`, more runs may have ended than are
    listed, which follow once these are acknowledged.
    """

    born: float
    clock: float
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    ends_complete: bool = True

    def listed_runs(self) -> set[tuple[str, int]]:
        """Return the tasks and numbers of all runs in the report."""
        listed = {(row.task, row.run) for row in self.running}
        listed.update((row.task, row.run) for row in self.ended)
        return listed


class JobState(enum.StrEnum):
    """List the states of a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def final(self) -> bool:
        """Return True if the job has ended."""
        return self in _FINAL


_FINAL = (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)


def task_name(job: str, occurrence: int, step: int, index: int) -> str:
    """Return the name by which endpoints know a task."""
    return f'{job}.{occurrence}.{step}.{index}'


def step_name(job: str, occurrence: int, step: int) -> str:
    """Return the name of a step of one occurrence."""
    return f'{job}.{occurrence}.{step}'
