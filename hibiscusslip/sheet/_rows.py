"""Define the row types and their columns, and build sheets from rows."""

import dataclasses
import enum
import typing

from hibiscusslip.model import resources
from hibiscusslip.sheet import _cells
from hibiscusslip.sheet import _model


class RowType(enum.StrEnum):
    """Enumerate the types of rows."""

    SHARE = 'share'
    QUOTA = 'quota'
    WORKLOAD = 'workload'


@dataclasses.dataclass(frozen=True, slots=True)
class Column:
    """Define a column: its parser, and the default text of a blank cell.

    A column without a default is required.
    """

    name: str
    parse: _cells.Parser
    default: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Store the values of the valid cells of a row by column name."""

    number: int
    type: RowType
    values: dict[str, typing.Any]


ROW = 'row'
# A placeholder: a service runs until it is stopped, and scheduling policies
# never use its run time.
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


def columns_for(
    row_type: RowType, numbers: _cells.NumberParser
) -> tuple[Column, ...]:
    """Return the columns that rows of a type use."""
    if row_type is RowType.SHARE:
        return _share_columns(numbers)
    if row_type is RowType.QUOTA:
        return _quota_columns(numbers)
    return _workload_columns(numbers)


def _share_columns(numbers: _cells.NumberParser) -> tuple[Column, ...]:
    return (
        Column('kind', _cells.parse_name),
        Column('guarantee', numbers.parse_fraction),
        Column('ceiling', numbers.parse_fraction),
        Column('urgency', _cells.parse_urgency, 'normal'),
        Column('lending', _cells.parse_boolean, 'yes'),
    )


def _quota_columns(numbers: _cells.NumberParser) -> tuple[Column, ...]:
    return (
        Column('team', _cells.parse_name),
        Column('cores', numbers.parse_cores),
        Column('memory_gb', numbers.parse_memory),
        Column('accelerators', numbers.parse_integer, '0'),
        Column('weight', numbers.parse_positive, '1'),
    )


def _workload_columns(numbers: _cells.NumberParser) -> tuple[Column, ...]:
    return (
        Column('name', _cells.parse_name),
        Column('team', _cells.parse_name),
        Column('kind', _cells.parse_name),
        Column('form', _cells.parse_form),
        Column('urgency', _cells.parse_urgency, 'normal'),
        Column('copies', numbers.parse_count, '1'),
        Column('cores', numbers.parse_cores),
        Column('memory_gb', numbers.parse_memory),
        Column('accelerators', numbers.parse_integer, '0'),
        Column('run_time_s', numbers.parse_optional_positive, ''),
        Column('repeatable', _cells.parse_boolean, 'yes'),
        Column('spread', _cells.parse_boolean, 'no'),
        Column('payload', _cells.parse_payload, ''),
    )


def build_sheet(rows: list[Row]) -> _model.Sheet:
    """Return the sheet of rows that passed all checks."""
    shares = [_build_share(row) for row in _rows_of_type(rows, RowType.SHARE)]
    quotas = [_build_quota(row) for row in _rows_of_type(rows, RowType.QUOTA)]
    workloads = [
        _build_workload(row) for row in _rows_of_type(rows, RowType.WORKLOAD)
    ]
    return _model.Sheet(
        tuple(sorted(shares, key=lambda item: item.kind)),
        tuple(sorted(quotas, key=lambda item: item.team)),
        tuple(sorted(workloads, key=lambda item: item.name)),
    )


def _rows_of_type(rows: list[Row], row_type: RowType) -> list[Row]:
    return [row for row in rows if row.type is row_type]


def _build_share(row: Row) -> _model.Share:
    return _model.Share(**row.values)


def _build_quota(row: Row) -> _model.Quota:
    values = row.values
    return _model.Quota(
        values['team'],
        values['cores'],
        values['memory_gb'],
        values['accelerators'],
        values['weight'],
    )


def _build_workload(row: Row) -> _model.Workload:
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
