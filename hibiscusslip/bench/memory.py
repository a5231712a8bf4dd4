"""Measure the resident memory that sets of imported modules take.

Each set needs a fresh interpreter: the process prints one row and replaces
itself with an interpreter for the next set.
"""

import dataclasses
import importlib
import os
import sys

from hibiscusslip import lean

KIB_PER_MIB = 1024
_LIBRARIES = (
    'curio',
    'h11',
    'cbor2',
    'websockets.server',
    'websockets.client',
    'msgspec',
    'loguru',
    'result',
)
_LINKS = ('hibiscusslip.peer.links', 'hibiscusslip.peer.server')
_OBSERVE = (
    'hibiscusslip.observe.logs',
    'hibiscusslip.observe.metrics',
    'hibiscusslip.observe.traces',
)
_NODE_PACKAGES = (
    'node',
    'jobs',
    'scheduler',
    'ownership',
    'membership',
    'platform',
    'endpoint',
    'http',
    'settings',
)


@dataclasses.dataclass(frozen=True, slots=True)
class ImportSet:
    """Name a set of modules that are measured together."""

    name: str
    modules: tuple[str, ...]


def _modules_of(package: str) -> tuple[str, ...]:
    path = os.path.join(os.path.dirname(lean.__file__), package)
    names = sorted(entry.name for entry in os.scandir(path))
    return tuple(
        f'hibiscusslip.{package}.{name.removesuffix(".py")}'
        for name in names
        if name.endswith('.py') and name != '__init__.py'
    )


def node_modules() -> tuple[str, ...]:
    """Return the modules that an entry host loads, libraries first."""
    modules: tuple[str, ...] = _LIBRARIES + _LINKS + _OBSERVE
    for package in _NODE_PACKAGES:
        modules += _modules_of(package)
    return modules


def import_sets() -> list[ImportSet]:
    """Return the sets to measure: each library, then growing sets."""
    sets = [ImportSet('the interpreter', ())]
    sets += [ImportSet(name, (name,)) for name in _LIBRARIES]
    sets.append(ImportSet('statsd', ('statsd',)))
    sets.append(ImportSet('OpenTelemetry API', ('opentelemetry.trace',)))
    sets.append(ImportSet('cyclopts', ('cyclopts',)))
    sets.append(ImportSet('all eight libraries', _LIBRARIES))
    with_observe = _LIBRARIES + _LINKS + _OBSERVE
    sets.append(ImportSet('+ links, logs, metrics, traces', with_observe))
    node = node_modules()
    sets.append(ImportSet('+ the rest of the node', node))
    for extra in ('statsd', 'opentelemetry.trace', 'cyclopts'):
        sets.append(ImportSet(f'node + {extra}', (*node, extra)))
    spans = (*node, 'hibiscusslip.observe._spans')
    sets.append(ImportSet('node + span exporter (SDK)', spans))
    return sets


def resident_kib() -> int:
    """Return the resident memory of this process in KiB."""
    with open('/proc/self/status', encoding='ascii') as status:
        for line in status:
            if line.startswith('VmRSS:'):
                return int(line.split()[1])
    raise RuntimeError('no VmRSS in /proc/self/status; run this on Linux')


def _print_row(number: int) -> None:
    before = resident_kib()
    import_set = import_sets()[number]
    for module in import_set.modules:
        importlib.import_module(module)
    after = resident_kib()
    sys.stdout.write(
        f'{import_set.name:32} {after / KIB_PER_MIB:8.1f}'
        f' {(after - before) / KIB_PER_MIB:8.1f}\n'
    )


def warm() -> None:
    """Import every set, so that its bytecode is cached."""
    for import_set in import_sets():
        for module in import_set.modules:
            importlib.import_module(module)


def main() -> None:
    """Print one row and continue with the next set in a new interpreter."""
    if sys.argv[1:] == ['warm']:
        warm()
        return
    number = int(sys.argv[1]) if len(sys.argv) > 1 else 0
    if number == 0:
        kind = (
            'bytecode of -OO' if lean.interpreter_flags() else 'plain bytecode'
        )
        sys.stdout.write(f'{f"loaded ({kind})":32}  RSS MiB    added\n')
    else:
        _print_row(number - 1)
    if number < len(import_sets()):
        lean.become('hibiscusslip.bench.memory', [str(number + 1)])


if __name__ == '__main__':
    main()
