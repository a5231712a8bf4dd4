"""Measure the slopes and print the tables of docs/CAPACITY.md.

A slope is the cost of one more unit of load, such as a task or a heartbeat.
With `--write` the tables replace those between the page's markers. The idle
memory is measured first, in a process that has loaded only the node.
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
    """Load all modules of the node and return the resident memory."""
    for module in memory.node_modules():
        importlib.import_module(module)
    return memory.resident_kib()


def _tables(idle_kib: int) -> str:
    # Imported here, so that the first process loads nothing but the node.
    from hibiscusslip.bench.capacity import costs
    from hibiscusslip.bench.capacity import memory_slopes
    from hibiscusslip.bench.capacity import page
    from hibiscusslip.bench.capacity import sizes
    from hibiscusslip.bench.capacity import time_slopes
    from hibiscusslip.bench.capacity import wire_slopes

    shape = sizes.Shape()
    slopes = costs.Slopes(
        wire_slopes.measure(shape),
        time_slopes.measure(shape),
        memory_slopes.measure(shape),
        idle_kib * sizes.KIB,
    )
    return page.render(shape, slopes)


def replace_tables(page: str, tables: str) -> str:
    """Return the page with `tables` between its markers.

    Raise ValueError if a marker is missing.
    """
    if BEGIN not in page or END not in page:
        raise ValueError(f'put the markers {BEGIN} and {END} into the page')
    before, _, rest = page.partition(BEGIN)
    after = rest.partition(END)[2]
    return f'{before}{BEGIN}\n\n{tables}\n{END}{after}'


def main() -> None:
    """Measure the idle memory, then the slopes in another process."""
    idle = [arg for arg in sys.argv[1:] if arg.startswith(IDLE_FLAG)]
    if LEAN_FLAG not in sys.argv:
        lean.become(__spec__.name, [*sys.argv[1:], LEAN_FLAG])
    if not idle:
        idle_flag = f'{IDLE_FLAG}{_idle_kib()}'
        lean.become(__spec__.name, [*sys.argv[1:], idle_flag])
    tables = _tables(int(idle[0].removeprefix(IDLE_FLAG)))
    if WRITE_FLAG in sys.argv:
        text = replace_tables(PAGE.read_text(encoding='utf-8'), tables)
        PAGE.write_text(text, encoding='utf-8')
    sys.stdout.write(f'{tables}\n')


if __name__ == '__main__':
    main()
