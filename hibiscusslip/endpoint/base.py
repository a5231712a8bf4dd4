"""Define what the system needs of an endpoint.

An endpoint checks nothing but whether an order is void: it starts whatever
else it is told, twice if told twice. All other protection is on this side of
the interface.
"""

import abc
import dataclasses
import enum

from hibiscusslip.model import resources


@dataclasses.dataclass(frozen=True, slots=True)
class StartRequest:
    """Ask for the start of one task; `lease` is in seconds.

    `tag` travels with the task and comes back in `running` and `events`, so
    that a new owner can adopt what it finds; `trace` is a W3C traceparent.
    After `void_at` on its own clock the endpoint must not start the task; 0
    is for no such time.
    """

    task: str
    attempt: int
    demand: resources.Resources
    lease: float
    tag: bytes
    payload: bytes
    checkpoint: bytes = b''
    trace: str = ''
    void_at: float = 0.0


class RunState(enum.StrEnum):
    """Tell how a run on an endpoint stands."""

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Hold the state of one run; `answer` is None while not inline."""

    task: str
    attempt: int
    state: RunState
    demand: resources.Resources
    tag: bytes
    answer: bytes | None = None
    answer_size: int = 0
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class EventBatch:
    """Hold ended runs in order; `boot` names the endpoint's process."""

    boot: str
    next_event: int
    ended: list[Run]


@dataclasses.dataclass(frozen=True, slots=True)
class RunListing:
    """Hold all runs that an endpoint has or has ended lately.

    `clock` is the endpoint's own, in seconds, as of the answer.
    """

    boot: str
    next_event: int
    runs: list[Run]
    clock: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """Hold the tasks that run no longer, and the endpoint's clock."""

    gone: list[str]
    clock: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartResult:
    """Tell for one order whether it started, and if not why."""

    task: str
    started: bool
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Hold the lagging use of one run; `age` is in seconds."""

    task: str
    used: resources.Resources
    age: float


class Endpoint(abc.ABC):
    """Start, renew, watch and stop runs on one endpoint.

    Every call raises NotSent, CallUnsettled or CallRefused.
    """

    @abc.abstractmethod
    async def start(self, orders: list[StartRequest]) -> list[StartResult]:
        """Start the ordered tasks."""

    @abc.abstractmethod
    async def renew(self, tasks: list[str], lease: float) -> Renewal:
        """Renew the leases; tell which tasks run no longer."""

    @abc.abstractmethod
    async def runs(self) -> RunListing:
        """Return what runs or has ended lately."""

    @abc.abstractmethod
    async def events(self, after: int, wait: float) -> EventBatch:
        """Return runs ended since event `after`, waiting up to `wait` s."""

    @abc.abstractmethod
    async def answer(self, task: str, attempt: int) -> bytes:
        """Return the whole answer of an ended run."""

    @abc.abstractmethod
    async def checkpoint(self, task: str) -> bytes:
        """Have a task save its state and return it."""

    @abc.abstractmethod
    async def throttle(self, task: str, share: float) -> None:
        """Slow a task down to `share` of its demand (0 < share <= 1)."""

    @abc.abstractmethod
    async def stop(self, task: str, grace: float) -> None:
        """Stop a task, which has `grace` seconds to end by itself."""

    @abc.abstractmethod
    async def usage(self) -> list[Usage]:
        """Return the lagging usage of all runs."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""
