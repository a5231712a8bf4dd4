"""Parse a sheet exported as CSV by a spreadsheet and collect all faults."""

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
    """Return the sheet in `data`, or all its faults by row and column."""
    try:
        rows, thousands_separator = _read_rows(data)
    except _UnreadableSheet as exc:
        return [exc.fault]
    return _Parser(thousands_separator).parse(rows)


class _UnreadableSheet(Exception):
    def __init__(self, row: int, problem: str, remedy: str) -> None:
        super().__init__(problem)
        self.fault = _model.Fault(row, '', problem, remedy)


@dataclasses.dataclass(frozen=True, slots=True)
class _CsvRow:
    number: int
    cells: list[str]


def _read_rows(data: bytes) -> tuple[list[_CsvRow], str]:
    if len(data) > MAX_SHEET_BYTES:
        raise _UnreadableSheet(
            0,
            f'the sheet has {len(data)} bytes',
            f'keep it within {MAX_SHEET_BYTES}',
        )
    try:
        text = data.decode('utf-8-sig')
    except UnicodeDecodeError as exc:
        raise _UnreadableSheet(
            0,
            f'byte {exc.start} is not UTF-8',
            'export the sheet as CSV in UTF-8',
        ) from None
    delimiter = _detect_delimiter(text)
    return _split_rows(text, delimiter), ',' if delimiter == ',' else '.'


def _detect_delimiter(text: str) -> str:
    lines = [line for line in text.splitlines() if line.strip(',; \t"\'')]
    header = lines[0] if lines else text
    return ';' if header.count(';') > header.count(',') else ','


def _split_rows(text: str, delimiter: str) -> list[_CsvRow]:
    reader = csv.reader(
        io.StringIO(text, newline=''), delimiter=delimiter, strict=True
    )
    rows = []
    number = 0
    try:
        for number, cells in enumerate(reader, 1):
            stripped = [cell.strip() for cell in cells]
            if any(stripped):
                rows.append(_CsvRow(number, stripped))
            if len(rows) > MAX_ROWS:
                raise _UnreadableSheet(
                    number,
                    f'the sheet has more than {MAX_ROWS} rows',
                    'split it or remove rows',
                )
    except csv.Error as exc:
        raise _UnreadableSheet(
            number + 1,
            f'the quoting is broken: {exc}',
            'export the sheet again as CSV, or mend the quotes there',
        ) from None
    return rows


class _Parser:
    def __init__(self, thousands_separator: str) -> None:
        self._numbers = _cells.NumberParser(thousands_separator)
        self._faults: list[_model.Fault] = []
        self._columns: dict[str, int] = {}
        self._missing_columns: set[str] = set()
        self._header_row = 0
        self._rows: list[_rows.Row] = []

    def parse(self, rows: list[_CsvRow]) -> _model.Sheet | list[_model.Fault]:
        """Return the sheet, or its faults sorted by row and column."""
        if not rows:
            self._add_fault(0, '', 'the sheet is empty', 'export it again')
            return self._faults
        self._parse_header(rows[0])
        if _rows.ROW in self._columns:
            for row in rows[1:]:
                self._parse_row(row)
            self._faults += _cross.check(self._rows)
        if self._faults:
            return sorted(
                self._faults, key=lambda fault: (fault.row, fault.column)
            )
        return _rows.build_sheet(self._rows)

    def _add_fault(
        self, row: int, column: str, problem: str, remedy: str
    ) -> None:
        self._faults.append(_model.Fault(row, column, problem, remedy))

    def _parse_header(self, row: _CsvRow) -> None:
        self._header_row = row.number
        for index, cell in enumerate(row.cells):
            if not cell:
                continue
            name = '_'.join(cell.lower().split())
            if name not in _rows.COLUMN_NAMES:
                names = ', '.join(_rows.COLUMN_NAMES)
                self._add_fault(
                    row.number,
                    cell,
                    'this column is unknown',
                    f'remove it or use one of {names}',
                )
            elif name in self._columns:
                self._add_fault(
                    row.number,
                    name,
                    'it stands twice',
                    'remove one of them',
                )
            else:
                self._columns[name] = index
        if _rows.ROW not in self._columns:
            self._add_fault(
                row.number,
                _rows.ROW,
                'the column is missing',
                'add it, with share, quota or workload in each row',
            )

    def _parse_row(self, row: _CsvRow) -> None:
        self._check_extra_cells(row)
        text = self._cell_text(row, _rows.ROW)
        try:
            row_type = _rows.RowType(text.lower())
        except ValueError:
            self._add_fault(
                row.number,
                _rows.ROW,
                f'{text!r} is not a type of row',
                'write share, quota or workload',
            )
            return
        columns = _rows.columns_for(row_type, self._numbers)
        values = {}
        for column in columns:
            try:
                values[column.name] = self._parse_cell(row, row_type, column)
            except _cells.CellError as exc:
                self._add_fault(
                    row.number, column.name, exc.problem, exc.remedy
                )
        self._check_unused_cells(row, row_type, columns)
        self._rows.append(_rows.Row(row.number, row_type, values))

    def _check_extra_cells(self, row: _CsvRow) -> None:
        indexes = set(self._columns.values())
        for index, cell in enumerate(row.cells):
            if cell and index not in indexes:
                self._add_fault(
                    row.number,
                    '',
                    f'cell {index + 1} has {cell!r} but no column heading',
                    'clear it, or quote the cell whose comma split it',
                )

    def _cell_text(self, row: _CsvRow, name: str) -> str:
        index = self._columns.get(name)
        if index is None or index >= len(row.cells):
            return ''
        return row.cells[index]

    def _parse_cell(
        self, row: _CsvRow, row_type: _rows.RowType, column: _rows.Column
    ) -> typing.Any:
        text = self._cell_text(row, column.name)
        if text or column.default is not None:
            return column.parse(text or column.default or '')
        if column.name in self._columns:
            raise _cells.CellError(
                'the cell is blank',
                f'fill it in, as each {row_type} row needs it',
            )
        self._report_missing_column(column.name, row_type)
        return None

    def _report_missing_column(
        self, name: str, row_type: _rows.RowType
    ) -> None:
        if name not in self._missing_columns:
            self._missing_columns.add(name)
            self._add_fault(
                self._header_row,
                name,
                'the column is missing',
                f'add it, as {row_type} rows need it',
            )

    def _check_unused_cells(
        self,
        row: _CsvRow,
        row_type: _rows.RowType,
        columns: tuple[_rows.Column, ...],
    ) -> None:
        expected = {_rows.ROW, *(column.name for column in columns)}
        for name in self._columns:
            text = self._cell_text(row, name)
            if text and name not in expected:
                self._add_fault(
                    row.number,
                    name,
                    f'{text!r} means nothing in a {row_type} row',
                    'clear the cell or correct the row type',
                )
