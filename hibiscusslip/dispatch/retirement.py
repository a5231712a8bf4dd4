"""Encode the retirement of a job's ID as a record."""

import dataclasses

import msgspec

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records


@dataclasses.dataclass(frozen=True, slots=True)
class Retirement:
    """Free the ID of a job that ended in a state.

    Records of the inbox before `since`, an offset for each partition, are
    void from then on.
    """

    state: str
    since: tuple[int, ...]


def encode(retirement: Retirement, epoch: int, number: int) -> bytes:
    """Return the record that replaces that of a job whose ID is retired.

    Releases before this one read it as that of the ended job.
    """
    row = records.JobRow(retirement.state, [], [], epoch=epoch, number=number)
    row.inbox = records.InboxRow(list(retirement.since), retired=True)
    return msgspec.msgpack.encode(row)


def find_state(value: bytes) -> str:
    """Return the state in a job's record, 'cancelled' if it is unreadable."""
    try:
        return records.decode_job(value).state
    except records.Unreadable:
        return model.JobState.CANCELLED.value
