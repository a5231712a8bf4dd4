"""Define the fleet service behind the operators' API."""

import abc
import dataclasses

import hibiscusslip.configuration as configuration
from hibiscusslip.operator import views
import hibiscusslip.sheet as sheet


@dataclasses.dataclass(frozen=True, slots=True)
class Selector:
    """Represent a filter on jobs.

    An empty field matches every job, but not all fields may be empty.
    `outcome` is `queued` or `running`.
    """

    team: str = ''
    kind: str = ''
    workload: str = ''
    outcome: str = ''

    @property
    def empty(self) -> bool:
        """Return whether all fields are empty."""
        return not (self.team or self.kind or self.workload or self.outcome)


@dataclasses.dataclass(frozen=True, slots=True)
class JobSummary:
    """Summarize one job of a selection; `age` is in seconds."""

    job_id: str
    team: str
    kind: str
    workload: str
    outcome: str
    tasks: int
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """Represent the jobs that match a selector.

    `count` is the number of all matching jobs and `sample` some of them.
    `unreachable` names the hosts that didn't respond.
    """

    count: int
    sample: list[JobSummary]
    unreachable: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Cancellation:
    """Represent a cancellation in progress.

    `count` is the number of jobs that are being cancelled; `unreachable`
    names the hosts that didn't respond.
    """

    count: int
    unreachable: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Represent an automatic action of the system; `at` is unix time."""

    at: float
    host: str
    what: str
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainState:
    """Represent the progress of a drain."""

    target: str
    done: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostConfigVersion:
    """Represent the configuration version in force on a host."""

    host: str
    zone: str
    reachable: bool
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigProposal:
    """Represent a sheet to be published.

    `made_from` is the version that the sheet is based on. `after_gap`
    restarts the sequence of versions for hosts that no longer know the latest.
    """

    record_id: str
    made_from: int
    author: str
    content: sheet.Sheet
    after_gap: bool = False


class FleetService(abc.ABC):
    """Provide the operations of the operators' API.

    Every call may raise OperatorError.
    """

    @abc.abstractmethod
    async def status(self) -> views.FleetStatus:
        """Return the state of the fleet, including its unreachable hosts."""

    @abc.abstractmethod
    async def history(self, limit: int) -> list[Event]:
        """Return up to `limit` of the latest events, newest first."""

    @abc.abstractmethod
    async def drain_host(self, host: str) -> DrainState:
        """Start to drain an entry host, or return the drain's progress."""

    @abc.abstractmethod
    async def drain_endpoint(self, endpoint: str) -> DrainState:
        """Start to drain an endpoint, or return the drain's progress.

        A draining endpoint gets no new work.
        """

    @abc.abstractmethod
    async def select(self, selector: Selector) -> Selection:
        """Return the jobs that match a selector."""

    @abc.abstractmethod
    async def cancel(self, selector: Selector, at_most: int) -> Cancellation:
        """Cancel all jobs that match a selector.

        Raises SelectionGrew, and cancels nothing, if more than `at_most`
        jobs match.
        """

    @abc.abstractmethod
    async def explain(self, job_id: str) -> list[str]:
        """Return a job's event history with reasons, oldest event first."""

    @abc.abstractmethod
    async def current(self) -> configuration.ConfigRecord | None:
        """Return the configuration in force on this host."""

    @abc.abstractmethod
    async def apply(
        self, proposal: ConfigProposal
    ) -> configuration.Publication:
        """Publish a configuration and return the outcome."""

    @abc.abstractmethod
    async def config_versions(self) -> list[HostConfigVersion]:
        """Return the configuration version in force on each host."""
