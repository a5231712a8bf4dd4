"""Define the row types, their columns, and how a row is built."""

import dataclasses
import enum
import typing

from hibiscusslip.model import resources
from hibiscusslip.sheet import _cells
from hibiscusslip.sheet import _model


class RowType(enum.StrEnum):
    """Name what a row is about."""

    SHARE = 'share'
    QUOTA = 'quota'
    WORKLOAD = 'workload'


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """Describe a cell: its reader, and its text when it is blank.

    A column without a default must be filled in.
    """

    name: str
    read: _cells.Reader
    default: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Hold the readable cells of one row by column name."""

    number: int
    type: RowType
    values: dict[str, typing.Any]


ROW = 'row'
# A service runs until it is stopped; policies never use this figure.
SERVICE_RUN_TIME_S = 1.0
COLUMN_NAMES = (
    ROW,
    'name',
    'team',
    'kind',
    'form',
    'urgency',
    'guarantee',
    'ceiling',
    'lending',
    'copies',
    'cores',
    'memory_gb',
    'accelerators',
    'weight',
    'run_time_s',
    'repeatable',
    'spread',
    'payload',
)


def columns_of(
    row_type: RowType, numbers: _cells.Numbers
) -> tuple[Column, ...]:
    """Return the columns that rows of a type fill in."""
    if row_type is RowType.SHARE:
        return _share_columns(numbers)
    if row_type is RowType.QUOTA:
        return _quota_columns(numbers)
    return _workload_columns(numbers)


def _share_columns(numbers: _cells.Numbers) -> tuple[Column, ...]:
    return (
        Column('kind', _cells.name),
        Column('guarantee', numbers.fraction),
        Column('ceiling', numbers.fraction),
        Column('urgency', _cells.urgency, 'normal'),
        Column('lending', _cells.boolean, 'yes'),
    )


def _quota_columns(numbers: _cells.Numbers) -> tuple[Column, ...]:
    return (
        Column('team', _cells.name),
        Column('cores', numbers.cores),
        Column('memory_gb', numbers.memory),
        Column('accelerators', numbers.whole, '0'),
        Column('weight', numbers.positive, '1'),
    )


def _workload_columns(numbers: _cells.Numbers) -> tuple[Column, ...]:
    return (
        Column('name', _cells.name),
        Column('team', _cells.name),
        Column('kind', _cells.name),
        Column('form', _cells.form),
        Column('urgency', _cells.urgency, 'normal'),
        Column('copies', numbers.count, '1'),
        Column('cores', numbers.cores),
        Column('memory_gb', numbers.memory),
        Column('accelerators', numbers.whole, '0'),
        Column('run_time_s', numbers.optional_positive, ''),
        Column('repeatable', _cells.boolean, 'yes'),
        Column('spread', _cells.boolean, 'no'),
        Column('payload', _cells.payload, ''),
    )


def assemble(rows: list[Row]) -> _model.Sheet:
    """Return the sheet of rows that are without a fault."""
    shares = [_share(row) for row in _pick(rows, RowType.SHARE)]
    quotas = [_quota(row) for row in _pick(rows, RowType.QUOTA)]
    workloads = [_workload(row) for row in _pick(rows, RowType.WORKLOAD)]
    return _model.Sheet(
        tuple(sorted(shares, key=lambda item: item.kind)),
        tuple(sorted(quotas, key=lambda item: item.team)),
        tuple(sorted(workloads, key=lambda item: item.name)),
    )


def _pick(rows: list[Row], row_type: RowType) -> list[Row]:
    return [row for row in rows if row.type is row_type]


def _share(row: Row) -> _model.Share:
    return _model.Share(**row.values)


def _quota(row: Row) -> _model.Quota:
    values = row.values
    return _model.Quota(
        values['team'],
        values['cores'],
        values['memory_gb'],
        values['accelerators'],
        values['weight'],
    )


def _workload(row: Row) -> _model.Workload:
    values = row.values
    return _model.Workload(
        name=values['name'],
        team=values['team'],
        kind=values['kind'],
        form=values['form'],
        urgency=values['urgency'],
        copies=values['copies'],
        demand=resources.Resources(
            values['cores'], values['memory_gb'], values['accelerators']
        ),
        run_time=values['run_time_s'] or SERVICE_RUN_TIME_S,
        repeatable=values['repeatable'],
        spread=values['spread'],
        payload=values['payload'],
    )
