"""Remember where the inbox has records of each job."""

import typing


class Position(typing.NamedTuple):
    """Name a partition of the inbox and an offset in it."""

    part: int
    offset: int


def precedes(position: Position, since: tuple[int, ...]) -> bool:
    """Return True if a position is before the offset of its partition.

    `since` has one offset for each partition that was known when it was
    written.
    """
    return (
        position.part < len(since) and position.offset < since[position.part]
    )


class InboxPositions:
    """Remember the newest record of each key in each partition, by job.

    Another host may have written the same key, so a key may be in several
    partitions. Nearly all jobs have one record, for which a tuple takes less
    memory than a dictionary.
    """

    def __init__(self) -> None:
        self._records: dict[str, tuple[tuple[str, Position], ...]] = {}

    def add(self, job_id: str, key: str, position: Position) -> None:
        """Remember a record; it replaces an older one of its partition."""
        others = (
            (known, at)
            for known, at in self._records.get(job_id, ())
            if (known, at.part) != (key, position.part)
        )
        self._records[job_id] = (*others, (key, position))

    def find_before(
        self, job_id: str, since: tuple[int, ...]
    ) -> list[tuple[str, int]]:
        """Return the key and the partition of each record before `since`."""
        return [
            (key, position.part)
            for key, position in self._records.get(job_id, ())
            if precedes(position, since)
        ]

    def remove(self, job_id: str, key: str, before: Position) -> None:
        """Forget a record that was deleted, unless a newer one was read."""
        left = tuple(
            (known, at)
            for known, at in self._records.get(job_id, ())
            if (known, at.part) != (key, before.part)
            or at.offset >= before.offset
        )
        if left:
            self._records[job_id] = left
        else:
            self._records.pop(job_id, None)
