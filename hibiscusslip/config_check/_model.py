"""Define a configuration with the places of its parts, and findings."""

import collections.abc
import dataclasses
import enum

from hibiscusslip.dispatch import model

MAX_QUOTED_CHARS = 60
# The largest integer that hosts can send to each other.
MAX_COUNT = 2**63 - 1


class Severity(enum.StrEnum):
    """Enumerate the severities; a change is a mere difference."""

    ERROR = 'error'
    WARNING = 'warning'
    CHANGE = 'change'

    @property
    def rank(self) -> int:
        """Return 0 for the most severe, ascending."""
        return list(Severity).index(self)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Represent a finding, its place in the document and its remedy."""

    severity: Severity
    place: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        return f'{self.severity}: {self.place}: {self.problem}; {self.remedy}'


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Locate an entry in the document.

    `fields` maps the attributes of what is configured to the names that the
    document has for them.
    """

    path: str
    fields: collections.abc.Mapping[str, str]

    def of(self, attribute: str) -> str:
        """Return the place of an attribute."""
        name = self.fields[attribute]
        return f'{self.path}.{name}' if self.path else name


@dataclasses.dataclass(frozen=True, slots=True)
class QueueEntry:
    """Represent a queue in the document.

    `timeout` is in seconds: None if there is none, NaN if it isn't a number.
    Hosts don't read it.
    """

    place: Place
    queue: model.Queue
    timeout: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceEntry:
    """Represent a service in the document."""

    place: Place
    service: model.Service


@dataclasses.dataclass(frozen=True, slots=True)
class KeyEntry:
    """Represent the SHA-256 digest of an API key in the document."""

    place: str
    digest: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationEntry:
    """Represent an organisation in the document."""

    place: Place
    organisation: model.Organisation
    keys: tuple[KeyEntry, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """Represent a configuration with all its entries, also repeated ones.

    `configuration` is what a host makes of it.
    """

    place: Place
    configuration: model.Configuration
    queues: tuple[QueueEntry, ...]
    services: tuple[ServiceEntry, ...]
    organisations: tuple[OrganisationEntry, ...]


def quote(name: str) -> str:
    """Return a name for a message, printable and of limited length."""
    if len(name) > MAX_QUOTED_CHARS:
        name = f'{name[: MAX_QUOTED_CHARS - 1]}~'
    return repr(name)


def error(place: str, problem: str, remedy: str) -> Finding:
    """Return a finding of severity error."""
    return Finding(Severity.ERROR, place, problem, remedy)


def warning(place: str, problem: str, remedy: str) -> Finding:
    """Return a finding of severity warning."""
    return Finding(Severity.WARNING, place, problem, remedy)


def change(place: str, problem: str, remedy: str) -> Finding:
    """Return a finding of severity change."""
    return Finding(Severity.CHANGE, place, problem, remedy)


def show(value: float, scale: float = 1) -> str:
    """Return a number for a message, `scale` times as large."""
    if isinstance(value, float):
        return f'{value * scale:.12g}'
    if abs(value) > MAX_COUNT:
        return f'a number beyond {MAX_COUNT}'
    return str(value)


def show_change(old: float, new: float, scale: float = 1) -> str:
    """Return how a number changes, `scale` times as large."""
    direction = 'raised' if new > old else 'lowered'
    return f'{direction} from {show(old, scale)} to {show(new, scale)}'
