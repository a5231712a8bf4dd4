"""Name the topics that the system keeps on the platform's store."""

import zlib

HOSTS = 'keyed.hosts'  # host name -> HostRecord
OWNER = 'owner'  # claims, heartbeats and releases of the ownership
JOBS = 'keyed.jobs'  # job -> its progress, written by the owner only
JOBS_PARTS = 2  # the owner writes to the one that is served
INBOX = 'keyed.inbox'  # job -> its submission, CANCEL_PREFIX + job -> cancel
# The inbox has all partitions that the store offers, and the hosts are spread
# over them: a partition takes one append at a time, 0.2 s each when the store
# is slow, and refuses what would wait for 2 s.

CANCEL_PREFIX = 'cancel/'
PRODUCER = 'owner'  # all owners write the progress under one name


def inbox_part(host: str, parts: int) -> int:
    """Return the partition that a host writes to."""
    return zlib.crc32(host.encode()) % parts
