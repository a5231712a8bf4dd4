"""Hold a morning sheet once it is checked."""

import dataclasses

from hibiscusslip.model import resources
from hibiscusslip.model import work


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Hold one kind's share of the fleet, as fractions.

    `urgency` is that of jobs of the kind which name none; `lending` tells
    whether idle guarantee may be lent to other kinds.
    """

    kind: str
    guarantee: float
    ceiling: float
    urgency: work.Urgency
    lending: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """Hold the most that a team may hold at once, and its weight."""

    team: str
    cpu_milli: int
    memory_mb: int
    accelerators: int
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Hold one line of work; `demand` is per task, times in seconds."""

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
    """Hold all rows of a sheet, each section ordered by name."""

    shares: tuple[Share, ...]
    quotas: tuple[Quota, ...]
    workloads: tuple[Workload, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Hold one fault; `row` counts from 1 as a spreadsheet shows it.

    Row 0 stands for the whole file; `column` is empty for a whole row.
    """

    row: int
    column: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        where = f'row {self.row}' if self.row else 'file'
        if self.column:
            where = f'{where}, column {self.column}'
        return f'{where}: {self.problem}; {self.remedy}'
