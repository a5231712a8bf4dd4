"""Validate the cells of a sheet against each other, within and across rows.

A row with invalid cells is still checked by its valid cells, so that all
faults are reported at once.
"""

import collections.abc

from hibiscusslip.model import work
from hibiscusslip.sheet import _model
from hibiscusslip.sheet import _rows

# Allows for the rounding of fractions whose decimal sum is exactly 1.
ROUNDING_TOLERANCE = 1e-9

Faults = collections.abc.Iterator[_model.Fault]
Rows = list[_rows.Row]


def check(rows: Rows) -> list[_model.Fault]:
    """Return the faults that no single cell shows."""
    shares = [row for row in rows if row.type is _rows.RowType.SHARE]
    quotas = [row for row in rows if row.type is _rows.RowType.QUOTA]
    workloads = [row for row in rows if row.type is _rows.RowType.WORKLOAD]
    return [
        *_check_share_exists(shares),
        *_check_guarantees(shares),
        *_check_ceilings(shares),
        *_check_duplicates(shares, 'kind'),
        *_check_duplicates(quotas, 'team'),
        *_check_duplicates(workloads, 'name'),
        *_check_references(workloads, shares, 'kind', 'share'),
        *_check_references(workloads, quotas, 'team', 'quota'),
        *_check_services(workloads),
        *_check_run_times(workloads),
        *_check_quota_limits(workloads, quotas),
    ]


def _check_share_exists(shares: Rows) -> Faults:
    if not shares:
        yield _model.Fault(
            0,
            'row',
            'there is no share row',
            'give each kind of work a share row',
        )


def _check_guarantees(shares: Rows) -> Faults:
    total = 0.0
    for row in shares:
        total += row.values.get('guarantee') or 0.0
        if total > 1 + ROUNDING_TOLERANCE:
            yield _model.Fault(
                row.number,
                'guarantee',
                f'the guarantees add up to {total:g} by this row',
                'lower guarantees until they add up to 1 or less',
            )
            return


def _check_ceilings(shares: Rows) -> Faults:
    for row in shares:
        guarantee = row.values.get('guarantee')
        ceiling = row.values.get('ceiling')
        if guarantee is None or ceiling is None:
            continue
        if ceiling < guarantee:
            yield _model.Fault(
                row.number,
                'ceiling',
                f'the ceiling {ceiling:g} is below the guarantee'
                f' {guarantee:g}',
                'raise the ceiling or lower the guarantee',
            )


def _check_duplicates(rows: Rows, column: str) -> Faults:
    first_rows: dict[str, int] = {}
    for row in rows:
        name = row.values.get(column)
        if name is None:
            continue
        if name in first_rows:
            yield _model.Fault(
                row.number,
                column,
                f'{name!r} stands in row {first_rows[name]} already',
                'rename or remove one of the rows',
            )
        first_rows.setdefault(name, row.number)


def _check_references(
    workloads: Rows, defining: Rows, column: str, row_type: str
) -> Faults:
    names = {row.values.get(column) for row in defining}
    for row in workloads:
        name = row.values.get(column)
        if name is not None and name not in names:
            yield _model.Fault(
                row.number,
                column,
                f'there is no {row_type} row for {name!r}',
                f'add a {row_type} row or correct the name',
            )


def _check_services(workloads: Rows) -> Faults:
    for row in workloads:
        service = row.values.get('form') is work.Form.SERVICE
        if service and row.values.get('repeatable') is False:
            yield _model.Fault(
                row.number,
                'repeatable',
                'a service is started again after a failure',
                'write yes, or make it a batch',
            )


def _check_run_times(workloads: Rows) -> Faults:
    for row in workloads:
        form = row.values.get('form')
        finite = form in (work.Form.BATCH, work.Form.GANG)
        if finite and row.values.get('run_time_s', 1) is None:
            yield _model.Fault(
                row.number,
                'run_time_s',
                'the cell is blank',
                f'fill it in, as each {form} needs a run time',
            )


def _check_quota_limits(workloads: Rows, quotas: Rows) -> Faults:
    limits = {row.values.get('team'): row.values for row in quotas}
    for row in workloads:
        team = row.values.get('team')
        quota = limits.get(team, {})
        is_gang = row.values.get('form') is work.Form.GANG
        concurrent = row.values.get('copies', 1) if is_gang else 1
        for column in ('cores', 'memory_gb', 'accelerators'):
            demand = row.values.get(column)
            limit = quota.get(column)
            if demand is None or limit is None:
                continue
            if demand * concurrent > limit:
                yield _model.Fault(
                    row.number,
                    column,
                    f'{concurrent} at once exceed the quota of'
                    f' {team!r}, so it could never run',
                    'lower the demand or raise the quota',
                )
