"""Name the topics that the system keeps on the platform's store."""

HOSTS = 'keyed.hosts'  # host name -> HostRecord
OWNER = 'owner'  # claims, heartbeats and releases of the ownership
JOBS = 'keyed.jobs'  # job -> its progress, written by the owner only
JOBS_PARTS = 2  # the owner writes to the one that is served
INBOX = 'keyed.inbox'  # job -> its submission, CANCEL_PREFIX + job -> cancel
# The inbox has a partition for each availability zone: a partition takes one
# append at a time, which a slow store makes the bottleneck.

CANCEL_PREFIX = 'cancel/'
PRODUCER = 'owner'  # all owners write the progress under one name


def inbox_parts(zones: tuple[str, ...], most: int) -> int:
    """Return how many partitions the inbox has."""
    return max(1, min(len(zones), most))


def inbox_part(zone: str, zones: tuple[str, ...], most: int) -> int:
    """Return the partition that hosts of an availability zone write to."""
    place = zones.index(zone) if zone in zones else 0
    return place % inbox_parts(zones, most)
