"""Encode the runs that no row of a task or its copy names."""

import collections.abc

import msgspec

from hibiscusslip.dispatch import copy_records
from hibiscusslip.dispatch import usage


class RunRow(msgspec.Struct, array_like=True):
    """A run beside those that the rows of its task and copy name, if any.

    It may still be active, and so counts for the limit of its organisation.
    """

    occurrence: int
    step: int
    index: int
    run: int
    endpoint: str
    address: str
    born: float


def encode(
    runs: collections.abc.Iterable[usage.CountedRun],
    copies: collections.abc.Iterable[copy_records.CopyRow],
) -> list[RunRow]:
    """Return the rows of the runs that no row of a task or copy names."""
    named = {
        (copy.occurrence, copy.step, copy.index, copy.run, copy.endpoint)
        for copy in copies
    }
    rows = [_encode_run(run) for run in runs if not run.is_current]
    return [
        row
        for row in rows
        if (row.occurrence, row.step, row.index, row.run, row.endpoint)
        not in named
    ]


def _encode_run(run: usage.CountedRun) -> RunRow:
    return RunRow(
        run.task.step.occurrence,
        run.task.step.number,
        run.task.index,
        run.run,
        run.endpoint,
        run.address,
        run.born,
    )
