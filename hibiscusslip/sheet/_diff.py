"""Compute the differences between two sheets."""

import collections.abc
import dataclasses
import enum
import typing

from hibiscusslip.sheet import _model


class ChangeType(enum.StrEnum):
    """Enumerate the kinds of changes to a row."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Represent a difference; `field` is empty for a whole row."""

    type: ChangeType
    row_type: str
    name: str
    field: str = ''
    before: str = ''
    after: str = ''

    def __str__(self) -> str:
        text = f'{self.type} {self.row_type} {self.name}'
        if not self.field:
            return text
        return f'{text}: {self.field} {self.before} -> {self.after}'


def diff(old: _model.Sheet | None, new: _model.Sheet) -> list[Change]:
    """Return the changes from `old` to `new`; None is an empty sheet."""
    base = old or _model.Sheet((), (), ())
    return [
        *_diff_section('share', 'kind', base.shares, new.shares),
        *_diff_section('quota', 'team', base.quotas, new.quotas),
        *_diff_section('workload', 'name', base.workloads, new.workloads),
    ]


def _diff_section(
    row_type: str,
    key: str,
    old: tuple[typing.Any, ...],
    new: tuple[typing.Any, ...],
) -> collections.abc.Iterator[Change]:
    before = {getattr(item, key): item for item in old}
    after = {getattr(item, key): item for item in new}
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield Change(ChangeType.ADDED, row_type, name)
        elif name not in after:
            yield Change(ChangeType.REMOVED, row_type, name)
        else:
            yield from _diff_fields(row_type, name, before[name], after[name])


def _diff_fields(
    row_type: str, name: str, old: typing.Any, new: typing.Any
) -> collections.abc.Iterator[Change]:
    for field in dataclasses.fields(old):
        before = getattr(old, field.name)
        after = getattr(new, field.name)
        if before == after:
            continue
        if dataclasses.is_dataclass(before):
            yield from _diff_fields(row_type, name, before, after)
            continue
        yield Change(
            ChangeType.CHANGED,
            row_type,
            name,
            field.name,
            _format_value(before),
            _format_value(after),
        )


def _format_value(value: typing.Any) -> str:
    if isinstance(value, enum.IntEnum):
        return value.name.lower()
    return str(value)
