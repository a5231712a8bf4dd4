"""Render a sheet as CSV."""

import csv
import io

from hibiscusslip.model import work
from hibiscusslip.sheet import _cells
from hibiscusslip.sheet import _model
from hibiscusslip.sheet import _rows


def render(
    sheet: _model.Sheet, delimiter: str = ',', decimal: str = '.'
) -> bytes:
    """Return the sheet as CSV in UTF-8, which `parse` accepts."""
    buffer = io.StringIO(newline='')
    writer = csv.writer(buffer, delimiter=delimiter)
    writer.writerow(_rows.COLUMN_NAMES)
    rows = [_share_cells(item) for item in sheet.shares]
    rows += [_quota_cells(item) for item in sheet.quotas]
    rows += [_workload_cells(item) for item in sheet.workloads]
    for row in rows:
        writer.writerow(
            _format_cell(row.get(name, ''), decimal)
            for name in _rows.COLUMN_NAMES
        )
    return buffer.getvalue().encode()


Cell = str | bool | int | float | work.Urgency


def _format_cell(value: Cell, decimal: str) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, work.Urgency):
        return value.name.lower()
    if isinstance(value, float):
        return _format_decimal(value, decimal)
    return str(value)


def _format_decimal(value: float, decimal: str) -> str:
    whole, _, digits = f'{value:.9f}'.partition('.')
    digits = digits.rstrip('0')
    # Exactly three decimals could be read as a group of thousands.
    if len(digits) == 3:
        digits += '0'
    return f'{whole}{decimal}{digits}' if digits else whole


def _share_cells(item: _model.Share) -> dict[str, Cell]:
    return {
        _rows.ROW: _rows.RowType.SHARE,
        'kind': item.kind,
        'guarantee': item.guarantee,
        'ceiling': item.ceiling,
        'urgency': item.urgency,
        'lending': item.lending,
    }


def _quota_cells(item: _model.Quota) -> dict[str, Cell]:
    return {
        _rows.ROW: _rows.RowType.QUOTA,
        'team': item.team,
        'cores': item.cpu_milli / _cells.MILLI_PER_CORE,
        'memory_gb': item.memory_mb / _cells.MB_PER_GB,
        'accelerators': item.accelerators,
        'weight': item.weight,
    }


def _workload_cells(item: _model.Workload) -> dict[str, Cell]:
    return {
        _rows.ROW: _rows.RowType.WORKLOAD,
        'name': item.name,
        'team': item.team,
        'kind': item.kind,
        'form': item.form,
        'urgency': item.urgency,
        'copies': item.copies,
        'cores': item.demand.cpu_milli / _cells.MILLI_PER_CORE,
        'memory_gb': item.demand.memory_mb / _cells.MB_PER_GB,
        'accelerators': item.demand.accelerators,
        'run_time_s': item.run_time,
        'repeatable': item.repeatable,
        'spread': item.spread,
        'payload': item.payload,
    }
