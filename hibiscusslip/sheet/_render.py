"""Write a sheet back as CSV."""

import csv
import io

from hibiscusslip.model import work
from hibiscusslip.sheet import _cells
from hibiscusslip.sheet import _model
from hibiscusslip.sheet import _rows


def render(
    sheet: _model.Sheet, delimiter: str = ',', decimal: str = '.'
) -> bytes:
    """Return the sheet as CSV in UTF-8, readable by `parse`."""
    buffer = io.StringIO(newline='')
    writer = csv.writer(buffer, delimiter=delimiter)
    writer.writerow(_rows.COLUMN_NAMES)
    cells = [_share(item) for item in sheet.shares]
    cells += [_quota(item) for item in sheet.quotas]
    cells += [_workload(item) for item in sheet.workloads]
    for row in cells:
        writer.writerow(
            _text(row.get(name, ''), decimal) for name in _rows.COLUMN_NAMES
        )
    return buffer.getvalue().encode()


Cell = str | bool | int | float | work.Urgency


def _text(value: Cell, decimal: str) -> str:
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, work.Urgency):
        return value.name.lower()
    if isinstance(value, float):
        return _decimal(value, decimal)
    return str(value)


def _decimal(value: float, mark: str) -> str:
    whole, _, part = f'{value:.9f}'.partition('.')
    part = part.rstrip('0')
    # Three digits could be taken for thousands.
    if len(part) == 3:
        part += '0'
    return f'{whole}{mark}{part}' if part else whole


def _share(item: _model.Share) -> dict[str, Cell]:
    return {
        _rows.ROW: _rows.RowType.SHARE,
        'kind': item.kind,
        'guarantee': item.guarantee,
        'ceiling': item.ceiling,
        'urgency': item.urgency,
        'lending': item.lending,
    }


def _quota(item: _model.Quota) -> dict[str, Cell]:
    return {
        _rows.ROW: _rows.RowType.QUOTA,
        'team': item.team,
        'cores': item.cpu_milli / _cells.MILLI_PER_CORE,
        'memory_gb': item.memory_mb / _cells.MB_PER_GB,
        'accelerators': item.accelerators,
        'weight': item.weight,
    }


def _workload(item: _model.Workload) -> dict[str, Cell]:
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
