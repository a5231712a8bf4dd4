"""Check that names which leave the process stay as they are.

Hosts of two builds serve side by side, and a new build reads what an old one
stored. A renamed or reordered field of a message or record, an enum value, a
topic, a log event or a metric would break that. The names are read from the
code and compared with the committed list; a wanted change of the interface
is committed together with its line there:

    python -m tests.test_outer_names > tests/outer_names.txt
"""

import ast
import dataclasses
import enum
import importlib
import pathlib
import pkgutil

import msgspec

import hibiscusslip

LIST = pathlib.Path(__file__).parent / 'outer_names.txt'
PACKAGE = pathlib.Path(hibiscusslip.__file__).parent
# Neither serves nor stores anything: benches import optional packages.
SKIPPED = ('bench', 'demo')
METRIC_CALLS = ('count', 'gauge', 'time')
# Data classes whose field names are metric names or fields of log events.
WRITTEN_CLASSES = {
    'hibiscusslip.dispatch.summary': 'ServiceLoad',
    'hibiscusslip.jobs._state': 'Counters',
    'hibiscusslip.peer.counts': 'Counts',
}


def _modules():
    for info in pkgutil.walk_packages([str(PACKAGE)], 'hibiscusslip.'):
        parts = info.name.split('.')
        if parts[1] not in SKIPPED and parts[-1] != '__main__':
            yield importlib.import_module(info.name)


def _type_lines(module):
    package = '.'.join(module.__name__.split('.')[:2])
    for item in vars(module).values():
        if getattr(item, '__module__', '') != module.__name__:
            continue
        if not isinstance(item, type):
            continue
        if issubclass(item, msgspec.Struct):
            yield f'{package} {_struct_line(item)}'
        elif issubclass(item, enum.Enum):
            values = ' '.join(str(member.value) for member in item)
            yield f'{package} values {values}'
    for field in _written_fields(module):
        yield f'{package} written {field}'


def _struct_line(struct):
    config = struct.__struct_config__
    shape = 'array' if config.array_like else 'map'
    tag = '' if config.tag is None else f' {config.tag_field}={config.tag}'
    fields = ' '.join(
        field.encode_name for field in msgspec.structs.fields(struct)
    )
    return f'{shape}{tag} {fields}'


def _written_fields(module):
    wanted = WRITTEN_CLASSES.get(module.__name__)
    if wanted is None:
        return []
    return [field.name for field in dataclasses.fields(vars(module)[wanted])]


def _call_lines(path):
    package = '.'.join(path.relative_to(PACKAGE.parent).parts[:2])
    package = package.removesuffix('.py')
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        method = getattr(node.func, 'attr', '')
        first = node.args[0]
        if not isinstance(first, ast.Constant):
            continue
        if not isinstance(first.value, str):
            continue
        names = ' '.join(sorted(word.arg or '**' for word in node.keywords))
        if method == 'note' and node.keywords:
            yield f'{package} event {first.value} {names}'
        elif method in METRIC_CALLS:
            yield f'{package} metric {first.value} {names}'.rstrip()


def _topic_lines():
    topics = importlib.import_module('hibiscusslip.host.topics')
    for name, value in vars(topics).items():
        if name.isupper() and isinstance(value, str):
            yield f'hibiscusslip.host topic {value}'


def names():
    """Return one line for each type, event, metric and topic."""
    lines = set(_topic_lines())
    for module in _modules():
        lines.update(_type_lines(module))
    for path in PACKAGE.rglob('*.py'):
        if path.relative_to(PACKAGE).parts[0] not in SKIPPED:
            lines.update(_call_lines(path))
    return sorted(lines)


def test_names_outside_the_process_are_those_of_the_list():
    assert names() == LIST.read_text().splitlines()


if __name__ == '__main__':
    print('\n'.join(names()))
