"""Print tables and JSON, and turn errors into exit codes."""

import sys
import typing

import cyclopts
import msgspec

from hibiscusslip.commands import exceptions

LINE_WIDTH = 80
COLUMN_GAP = '  '

Rows = list[list[str]]


def format_table(
    headings: list[str], rows: Rows, width: int = LINE_WIDTH
) -> str:
    """Return an aligned table; its lines are truncated to `width`.

    Columns whose heading starts with `>` are right-aligned.
    """
    titles = [heading.lstrip('>') for heading in headings]
    widths = [
        max(len(row[index]) for row in [titles, *rows])
        for index in range(len(titles))
    ]
    lines = []
    for row in [titles, *rows]:
        cells = [
            cell.rjust(cell_width)
            if heading.startswith('>')
            else cell.ljust(cell_width)
            for cell, cell_width, heading in zip(
                row, widths, headings, strict=True
            )
        ]
        lines.append(truncate(COLUMN_GAP.join(cells).rstrip(), width))
    return '\n'.join(lines)


def truncate(line: str, width: int = LINE_WIDTH) -> str:
    """Return a line of at most `width`, ending in `~` if truncated."""
    return line if len(line) <= width else f'{line[: width - 1]}~'


def show(document: typing.Any, as_json: bool, text: str) -> None:
    """Print a document as one line of JSON, or its text."""
    if as_json:
        print(msgspec.json.encode(document).decode(), flush=True)
    else:
        print(text, flush=True)


def run_app(
    app: cyclopts.App, tokens: list[str] | None = None
) -> typing.NoReturn:
    """Run a program's command line and exit with its code."""
    tokens = sys.argv[1:] if tokens is None else tokens
    try:
        code = app(tokens, exit_on_error=False, print_error=True)
    except cyclopts.CycloptsError:
        code = exceptions.ExitCode.USAGE
    except exceptions.CommandError as exc:
        print(f'{app.name[0]}: {exc}', file=sys.stderr)
        code = exc.code
    except (KeyboardInterrupt, BrokenPipeError):
        code = exceptions.ExitCode.INCOMPLETE
    sys.exit(int(code or 0))
