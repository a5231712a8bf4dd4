"""Split snapshots into records and detect complete ones."""

import collections.abc

import msgspec

from hibiscusslip.records import zone as zone_records

MAX_PART_BYTES = 48 * 1024


def group_by_size(jobs: list[bytes], max_bytes: int) -> list[list[bytes]]:
    """Return encoded jobs in groups of at most `max_bytes` each.

    There is at least one group. A job larger than the limit gets a group of
    its own.
    """
    groups: list[list[bytes]] = [[]]
    size = 0
    for job in jobs:
        if groups[-1] and size + len(job) > max_bytes:
            groups.append([])
            size = 0
        groups[-1].append(job)
        size += len(job)
    return groups


def split(
    head: zone_records.Snapshot,
    jobs: list[bytes],
    ids: collections.abc.Iterator[str],
) -> list[zone_records.Snapshot]:
    """Return the parts of a snapshot; `head` has all fields but the jobs."""
    groups = group_by_size(jobs, MAX_PART_BYTES)
    return [
        msgspec.structs.replace(
            head,
            record_id=next(ids),
            part=part,
            parts=len(groups),
            jobs=group,
        )
        for part, group in enumerate(groups)
    ]


class Assembler:
    """Track the parts of each shard's newest snapshot."""

    def __init__(self) -> None:
        self._as_of: dict[int, int] = {}
        self._parts: dict[int, set[int]] = {}

    def add(self, record: zone_records.Snapshot) -> bool:
        """Add a part; return True if it completes its snapshot."""
        if self._as_of.get(record.shard) != record.as_of:
            self._as_of[record.shard] = record.as_of
            self._parts[record.shard] = set()
        seen = self._parts[record.shard]
        if record.part in seen:
            return False
        seen.add(record.part)
        return len(seen) == record.parts
