"""Read a sheet as a spreadsheet exports it and collect every fault."""

import csv
import dataclasses
import io
import typing

from hibiscusslip.sheet import _cells
from hibiscusslip.sheet import _cross
from hibiscusslip.sheet import _model
from hibiscusslip.sheet import _rows

MAX_SHEET_BYTES = 8 * 2**20
MAX_ROWS = 100_000


def parse(data: bytes) -> _model.Sheet | list[_model.Fault]:
    """Return the sheet in `data`, or every fault by row and column."""
    try:
        rows, grouping = _read(data)
    except _Unreadable as exc:
        return [exc.fault]
    return _Parser(grouping).parse(rows)


class _Unreadable(Exception):
    def __init__(self, row: int, problem: str, remedy: str) -> None:
        super().__init__(problem)
        self.fault = _model.Fault(row, '', problem, remedy)


@dataclasses.dataclass(frozen=True, slots=True)
class _Line:
    number: int
    cells: list[str]


def _read(data: bytes) -> tuple[list[_Line], str]:
    if len(data) > MAX_SHEET_BYTES:
        raise _Unreadable(
            0,
            f'the sheet has {len(data)} bytes',
            f'keep it within {MAX_SHEET_BYTES}',
        )
    try:
        text = data.decode('utf-8-sig')
    except UnicodeDecodeError as exc:
        raise _Unreadable(
            0,
            f'byte {exc.start} is not UTF-8',
            'export the sheet as CSV in UTF-8',
        ) from None
    delimiter = _delimiter(text)
    return _rows_of(text, delimiter), ',' if delimiter == ',' else '.'


def _delimiter(text: str) -> str:
    lines = [line for line in text.splitlines() if line.strip(',; \t"\'')]
    header = lines[0] if lines else text
    return ';' if header.count(';') > header.count(',') else ','


def _rows_of(text: str, delimiter: str) -> list[_Line]:
    reader = csv.reader(
        io.StringIO(text, newline=''), delimiter=delimiter, strict=True
    )
    rows = []
    number = 0
    try:
        for number, cells in enumerate(reader, 1):
            stripped = [cell.strip() for cell in cells]
            if any(stripped):
                rows.append(_Line(number, stripped))
            if len(rows) > MAX_ROWS:
                raise _Unreadable(
                    number,
                    f'the sheet has more than {MAX_ROWS} rows',
                    'split it or remove rows',
                )
    except csv.Error as exc:
        raise _Unreadable(
            number + 1,
            f'the quoting is broken: {exc}',
            'export the sheet again as CSV, or mend the quotes there',
        ) from None
    return rows


class _Parser:
    def __init__(self, grouping: str) -> None:
        self._numbers = _cells.Numbers(grouping)
        self._faults: list[_model.Fault] = []
        self._columns: dict[str, int] = {}
        self._missing: set[str] = set()
        self._header_row = 0
        self._read: list[_rows.Row] = []

    def parse(self, rows: list[_Line]) -> _model.Sheet | list[_model.Fault]:
        """Return the sheet, or the faults in the order of their rows."""
        if not rows:
            self._fault(0, '', 'the sheet is empty', 'export it again')
            return self._faults
        self._header(rows[0])
        if _rows.ROW in self._columns:
            for row in rows[1:]:
                self._row(row)
            self._faults += _cross.check(self._read)
        if self._faults:
            return sorted(
                self._faults, key=lambda fault: (fault.row, fault.column)
            )
        return _rows.assemble(self._read)

    def _fault(self, row: int, column: str, problem: str, remedy: str) -> None:
        self._faults.append(_model.Fault(row, column, problem, remedy))

    def _header(self, row: _Line) -> None:
        self._header_row = row.number
        for index, cell in enumerate(row.cells):
            if not cell:
                continue
            name = '_'.join(cell.lower().split())
            if name not in _rows.COLUMN_NAMES:
                names = ', '.join(_rows.COLUMN_NAMES)
                self._fault(
                    row.number,
                    cell,
                    'this column is unknown',
                    f'remove it or use one of {names}',
                )
            elif name in self._columns:
                self._fault(
                    row.number, name, 'it stands twice', 'remove one of them'
                )
            else:
                self._columns[name] = index
        if _rows.ROW not in self._columns:
            self._fault(
                row.number,
                _rows.ROW,
                'the column is missing',
                'add it, with share, quota or workload in each row',
            )

    def _row(self, row: _Line) -> None:
        self._refuse_surplus(row)
        text = self._cell(row, _rows.ROW)
        try:
            row_type = _rows.RowType(text.lower())
        except ValueError:
            self._fault(
                row.number,
                _rows.ROW,
                f'{text!r} is not a type of row',
                'write share, quota or workload',
            )
            return
        columns = _rows.columns_of(row_type, self._numbers)
        values = {}
        for column in columns:
            try:
                values[column.name] = self._value(row, row_type, column)
            except _cells.CellError as exc:
                self._fault(row.number, column.name, exc.problem, exc.remedy)
        self._refuse_foreign(row, row_type, columns)
        self._read.append(_rows.Row(row.number, row_type, values))

    def _refuse_surplus(self, row: _Line) -> None:
        placed = set(self._columns.values())
        for index, cell in enumerate(row.cells):
            if cell and index not in placed:
                self._fault(
                    row.number,
                    '',
                    f'cell {index + 1} has {cell!r} but no column heading',
                    'clear it, or quote the cell whose comma split it',
                )

    def _cell(self, row: _Line, name: str) -> str:
        index = self._columns.get(name)
        if index is None or index >= len(row.cells):
            return ''
        return row.cells[index]

    def _value(
        self, row: _Line, row_type: _rows.RowType, column: _rows.Column
    ) -> typing.Any:
        text = self._cell(row, column.name)
        if text or column.default is not None:
            return column.read(text or column.default or '')
        if column.name in self._columns:
            raise _cells.CellError(
                'the cell is blank',
                f'fill it in, as each {row_type} row needs it',
            )
        self._report_missing(column.name, row_type)
        return None

    def _report_missing(self, name: str, row_type: _rows.RowType) -> None:
        if name not in self._missing:
            self._missing.add(name)
            self._fault(
                self._header_row,
                name,
                'the column is missing',
                f'add it, as {row_type} rows need it',
            )

    def _refuse_foreign(
        self,
        row: _Line,
        row_type: _rows.RowType,
        columns: tuple[_rows.Column, ...],
    ) -> None:
        wanted = {_rows.ROW, *(column.name for column in columns)}
        for name in self._columns:
            text = self._cell(row, name)
            if text and name not in wanted:
                self._fault(
                    row.number,
                    name,
                    f'{text!r} means nothing in a {row_type} row',
                    'clear the cell or correct the row type',
                )
