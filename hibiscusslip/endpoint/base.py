"""Define the interface of endpoints.

An endpoint checks only whether a start request has expired. It isn't
idempotent: it starts every other request, and a repeated one again. All
other protection is up to the caller of this interface.
"""

import abc
import dataclasses
import enum

from hibiscusslip.model import resources


@dataclasses.dataclass(frozen=True, slots=True)
class StartRequest:
    """Request the start of one run; `lease` is in seconds.

    The endpoint returns `tag` with the run in `runs` and `events`, so that
    a new owner can adopt the run; `trace` is a W3C traceparent. The request
    expires at `void_at` on the endpoint's own clock, after which it must not
    start the run; 0 means that it doesn't expire.
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
    """Define the states of a run; LAPSED is for an expired lease."""

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Describe one run.

    `answer` is None if the run has no answer yet or one that is too large
    to be inline; `answer_size` is in bytes.
    """

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
    """Store ended runs in order; `boot` is the endpoint's incarnation.

    `next_event` is the position to read from next.
    """

    boot: str
    next_event: int
    ended: list[Run]


@dataclasses.dataclass(frozen=True, slots=True)
class RunListing:
    """List an endpoint's active and recently ended runs.

    `clock` is the reading of the endpoint's own clock in seconds at the
    time of the response.
    """

    boot: str
    next_event: int
    runs: list[Run]
    clock: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """Store the result of a renewal.

    `gone` names the tasks that aren't running any more, `clock` is the
    reading of the endpoint's own clock in seconds.
    """

    gone: list[str]
    clock: float


@dataclasses.dataclass(frozen=True, slots=True)
class StartResult:
    """Report whether one task was started; `detail` says why not."""

    task: str
    started: bool
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Store the resource usage of one run, measured `age` seconds ago."""

    task: str
    used: resources.Resources
    age: float


class Endpoint(abc.ABC):
    """Start, renew, poll and stop runs on one endpoint.

    Every call raises NotSent, CallUnsettled or CallRefused.
    """

    @abc.abstractmethod
    async def start(self, requests: list[StartRequest]) -> list[StartResult]:
        """Start the requested runs; return a result for each."""

    @abc.abstractmethod
    async def renew(self, tasks: list[str], lease: float) -> Renewal:
        """Renew leases for `lease` seconds; report tasks no longer running."""

    @abc.abstractmethod
    async def runs(self) -> RunListing:
        """Return the active and the recently ended runs."""

    @abc.abstractmethod
    async def events(self, after: int, wait: float) -> EventBatch:
        """Return the runs that ended after event number `after`.

        Waits up to `wait` seconds for the first one.
        """

    @abc.abstractmethod
    async def answer(self, task: str, attempt: int) -> bytes:
        """Return the complete answer of an ended run."""

    @abc.abstractmethod
    async def checkpoint(self, task: str) -> bytes:
        """Make a task save its state; return the checkpoint."""

    @abc.abstractmethod
    async def throttle(self, task: str, share: float) -> None:
        """Limit a task to `share` of its demand (0 < share <= 1)."""

    @abc.abstractmethod
    async def stop(self, task: str, grace: float) -> None:
        """Stop a task; it has `grace` seconds to terminate by itself."""

    @abc.abstractmethod
    async def usage(self) -> list[Usage]:
        """Return the most recent usage measurement of each run."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close the connections."""
