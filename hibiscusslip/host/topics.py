"""The topics that the system keeps on the platform's store."""

import zlib

HOSTS = 'keyed.hosts'  # host name -> HostRecord
OWNER = 'owner'  # claims, heartbeats and releases of the ownership
JOBS = 'keyed.jobs'  # job -> its progress, written by the owner only
JOBS_PARTS = 2  # the owner writes to one that the store serves
INBOX = 'keyed.inbox'  # job -> its submission, CANCEL_PREFIX + job -> cancel
# The inbox uses all partitions that the store offers, and the hosts are spread
# over them: a partition handles one append at a time, 0.2 s each when the
# store is slow, and refuses an append that would wait for 2 s.

CANCEL_PREFIX = 'cancel/'
PRODUCER = 'owner'  # shared by all owners, to fence former ones


def inbox_part(host: str, parts: int) -> int:
    """Return the partition that a host writes to."""
    return zlib.crc32(host.encode()) % parts
