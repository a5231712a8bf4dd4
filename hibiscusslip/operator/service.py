"""Define what operators ask of the node."""

import abc
import dataclasses

import hibiscusslip.configuration as configuration
from hibiscusslip.operator import views
import hibiscusslip.sheet as sheet


@dataclasses.dataclass(frozen=True, slots=True)
class Selector:
    """Choose jobs; empty fields match all, but not all may be empty.

    `outcome` is `queued` or `running`.
    """

    team: str = ''
    kind: str = ''
    workload: str = ''
    outcome: str = ''

    @property
    def empty(self) -> bool:
        """Tell whether the selector names nothing."""
        return not (self.team or self.kind or self.workload or self.outcome)


@dataclasses.dataclass(frozen=True, slots=True)
class JobSummary:
    """Hold one job of a selection; `age` is in seconds."""

    job_id: str
    team: str
    kind: str
    workload: str
    outcome: str
    tasks: int
    age: float


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """Hold how many jobs match and some of them."""

    count: int
    sample: list[JobSummary]
    unreachable: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Cancellation:
    """Tell how many jobs are being cancelled."""

    count: int
    unreachable: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Hold something the system did by itself; `at` is unix time."""

    at: float
    host: str
    what: str
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainState:
    """Tell how far a planned stop has come."""

    target: str
    done: bool
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class HostConfigVersion:
    """Tell which configuration is in force on a host."""

    host: str
    zone: str
    reachable: bool
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigProposal:
    """Hold a sheet that an operator wants in force."""

    record_id: str
    made_from: int
    author: str
    content: sheet.Sheet
    after_gap: bool = False


class FleetService(abc.ABC):
    """Serve operators; calls may raise OperatorError."""

    @abc.abstractmethod
    async def status(self) -> views.FleetStatus:
        """Return the view of the fleet; hosts out of reach are named."""

    @abc.abstractmethod
    async def history(self, limit: int) -> list[Event]:
        """Return the latest events, the newest first."""

    @abc.abstractmethod
    async def drain_host(self, host: str) -> DrainState:
        """Start a planned stop of an entry host, or tell how far it is."""

    @abc.abstractmethod
    async def drain_endpoint(self, endpoint: str) -> DrainState:
        """Give an endpoint no new work, or tell how far it is."""

    @abc.abstractmethod
    async def select(self, selector: Selector) -> Selection:
        """Return which jobs match."""

    @abc.abstractmethod
    async def cancel(self, selector: Selector, at_most: int) -> Cancellation:
        """Cancel all jobs that match; raises SelectionGrew above the count.

        Nothing is cancelled in that case.
        """

    @abc.abstractmethod
    async def explain(self, job_id: str) -> list[str]:
        """Return a job's whole history with reasons, the oldest first."""

    @abc.abstractmethod
    async def current(self) -> configuration.ConfigRecord | None:
        """Return the configuration in force on this host."""

    @abc.abstractmethod
    async def apply(
        self, proposal: ConfigProposal
    ) -> configuration.Publication:
        """Publish a configuration and tell what became of it."""

    @abc.abstractmethod
    async def config_versions(self) -> list[HostConfigVersion]:
        """Return which version is in force on which host."""
