"""Print tables and JSON, and turn errors into exit codes."""

import sys
import typing

import cyclopts
import msgspec

from hibiscusslip.commands import exceptions

WIDTH = 80
GAP = '  '

Rows = list[list[str]]


def table(headings: list[str], rows: Rows, width: int = WIDTH) -> str:
    """Return an aligned table; the last column is cut to fit `width`.

    Columns whose heading starts with `>` are aligned to the right.
    """
    names = [heading.lstrip('>') for heading in headings]
    sizes = [
        max(len(row[index]) for row in [names, *rows])
        for index in range(len(names))
    ]
    lines = []
    for row in [names, *rows]:
        cells = [
            cell.rjust(size) if heading.startswith('>') else cell.ljust(size)
            for cell, size, heading in zip(row, sizes, headings, strict=True)
        ]
        lines.append(cut(GAP.join(cells).rstrip(), width))
    return '\n'.join(lines)


def cut(line: str, width: int = WIDTH) -> str:
    """Return a line that is marked where it had to be cut off."""
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
        code = exceptions.Exit.USAGE
    except exceptions.CommandError as exc:
        print(f'{app.name[0]}: {exc}', file=sys.stderr)
        code = exc.code
    except (KeyboardInterrupt, BrokenPipeError):
        code = exceptions.Exit.INCOMPLETE
    sys.exit(int(code or 0))
