"""Measure the slopes and print the tables of docs/CAPACITY.md.

With `--write` the tables replace those between the page's markers. The
idle memory is taken first, in a process that has loaded the node only.
"""

import importlib
import pathlib
import sys

from hibiscusslip import lean
from hibiscusslip.bench import memory

BEGIN = '<!-- figures of make slopes: begin -->'
END = '<!-- figures of make slopes: end -->'
PAGE = pathlib.Path('docs/CAPACITY.md')
IDLE_FLAG = '--idle-kib='
LEAN_FLAG = '--lean'
WRITE_FLAG = '--write'


def _idle_kib() -> int:
    """Return the resident memory once the whole node is loaded."""
    for module in memory.node_modules():
        importlib.import_module(module)
    return memory.resident_kib()


def _tables(idle_kib: int) -> str:
    # Loaded here, so that the first process holds nothing but the node.
    from hibiscusslip.bench.capacity import memory_slopes
    from hibiscusslip.bench.capacity import page
    from hibiscusslip.bench.capacity import parts
    from hibiscusslip.bench.capacity import sizes
    from hibiscusslip.bench.capacity import time_slopes
    from hibiscusslip.bench.capacity import wire_slopes

    shape = sizes.Shape()
    slopes = parts.Slopes(
        wire_slopes.measure(shape),
        time_slopes.measure(shape),
        memory_slopes.measure(shape),
        idle_kib * sizes.KIB,
    )
    return page.render(shape, slopes)


def replace_tables(page: str, tables: str) -> str:
    """Return the page with other tables between its markers.

    Raises ValueError when a marker is missing.
    """
    if BEGIN not in page or END not in page:
        raise ValueError(f'put the markers {BEGIN} and {END} into the page')
    before, _, rest = page.partition(BEGIN)
    after = rest.partition(END)[2]
    return f'{before}{BEGIN}\n\n{tables}\n{END}{after}'


def main() -> None:
    """Take the idle memory, then measure in a process of its own."""
    idle = [arg for arg in sys.argv[1:] if arg.startswith(IDLE_FLAG)]
    if LEAN_FLAG not in sys.argv:
        lean.become(__spec__.name, [*sys.argv[1:], LEAN_FLAG])
    if not idle:
        found = f'{IDLE_FLAG}{_idle_kib()}'
        lean.become(__spec__.name, [*sys.argv[1:], found])
    tables = _tables(int(idle[0].removeprefix(IDLE_FLAG)))
    if WRITE_FLAG in sys.argv:
        text = replace_tables(PAGE.read_text(encoding='utf-8'), tables)
        PAGE.write_text(text, encoding='utf-8')
    sys.stdout.write(f'{tables}\n')


if __name__ == '__main__':
    main()
