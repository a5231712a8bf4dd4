"""Define the records of a validated sheet and the faults of others."""

import dataclasses

from hibiscusslip.model import resources
from hibiscusslip.model import work


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Represent the share of the fleet that a kind gets, as fractions.

    `urgency` is the default for jobs of the kind; `lending` is true if idle
    guaranteed capacity may be lent to other kinds.
    """

    kind: str
    guarantee: float
    ceiling: float
    urgency: work.Urgency
    lending: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Represent the resource limit of a team and its fair-share weight."""

    team: str
    cpu_milli: int
    memory_mb: int
    accelerators: int
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Represent a workload; `demand` is per task, `run_time` in seconds."""

    name: str
    team: str
    kind: str
    form: work.Form
    urgency: work.Urgency
    copies: int
    demand: resources.Resources
    run_time: float
    repeatable: bool
    spread: bool
    payload: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Sheet:
    """Represent a validated sheet, with each section sorted by name."""

    shares: tuple[Share, ...]
    quotas: tuple[Quota, ...]
    workloads: tuple[Workload, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Describe a validation error of a sheet and its remedy.

    `row` counts from 1, as in a spreadsheet; 0 stands for the whole file.
    `column` is empty if the whole row is invalid.
    """

    row: int
    column: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        position = f'row {self.row}' if self.row else 'file'
        if self.column:
            position = f'{position}, column {self.column}'
        return f'{position}: {self.problem}; {self.remedy}'
