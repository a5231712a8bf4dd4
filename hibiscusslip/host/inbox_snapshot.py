"""Select the records of the inbox that a new owner applies."""

import collections.abc
import dataclasses

from hibiscusslip.dispatch import records
from hibiscusslip.host import inbox_positions
from hibiscusslip.host import slices
from hibiscusslip.host import topics
from hibiscusslip.platform import store


@dataclasses.dataclass(slots=True)
class InboxSnapshot:
    """Hold the records of the inbox that aren't void, in order.

    `positions` are those of all records. `retired_since` has the offsets
    before which records of an ID are void.
    """

    retired_since: dict[str, tuple[int, ...]]
    submissions: list[tuple[str, bytes]] = dataclasses.field(
        default_factory=list
    )
    cancellations: list[tuple[str, bytes]] = dataclasses.field(
        default_factory=list
    )
    positions: inbox_positions.InboxPositions = dataclasses.field(
        default_factory=inbox_positions.InboxPositions
    )


def make_snapshot(
    inboxes: collections.abc.Iterable[store.NewestValues],
    retired_since: dict[str, tuple[int, ...]],
) -> InboxSnapshot:
    """Return the records of all partitions without the void ones.

    Those of a partition are in the order of their offsets.
    """
    snapshot = InboxSnapshot(retired_since)
    for part, inbox in enumerate(inboxes):
        for key in sorted(inbox.values, key=inbox.offsets.__getitem__):
            value = inbox.values[key]
            if not value:
                continue
            job_id = topics.job_of(key)
            position = inbox_positions.Position(part, inbox.offsets[key])
            snapshot.positions.add(job_id, key, position)
            since = retired_since.get(job_id, ())
            if inbox_positions.precedes(position, since):
                continue
            if key.startswith(topics.CANCEL_PREFIX):
                snapshot.cancellations.append((key, value))
            else:
                snapshot.submissions.append((key, value))
    return snapshot


async def read_inbox_rows(
    progress: dict[str, bytes],
) -> dict[str, records.InboxRow]:
    """Return what records of progress tell of the inbox, by ID."""
    rows = {}
    work = slices.Slices()
    for job_id, value in progress.items():
        await work.pause_if_due()
        try:
            row = records.decode_job(value)
        except records.Unreadable:
            continue  # is logged when the job is restored
        if row.inbox is not None:
            rows[job_id] = row.inbox
    return rows
