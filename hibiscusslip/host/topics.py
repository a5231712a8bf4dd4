"""The topics that the system keeps on the platform's store."""

import hashlib
import zlib

HOSTS = 'keyed.hosts'  # host name -> HostRecord
OWNER = 'owner'  # claims, heartbeats and releases of the ownership
JOBS = 'keyed.jobs'  # job -> its progress, written by the owner only
JOBS_PARTS = 2  # the owner writes to one that the store serves
INBOX = 'keyed.inbox'  # submission_key() or cancel_key() -> record
# The inbox uses all partitions that the store offers, and the hosts are spread
# over them: a partition handles one append at a time, 0.2 s each when the
# store is slow, and refuses an append that would wait for 2 s.

CANCEL_PREFIX = 'cancel/'
_CANCEL_MARK = b'1'  # an empty value would delete the key
PRODUCER = 'owner'  # shared by all owners, to fence former ones


def inbox_part(host: str, parts: int) -> int:
    """Return the partition that a host writes to."""
    return zlib.crc32(host.encode()) % parts


def submission_key(job_id: str, organisation: str) -> str:
    """Return the key of the submission of a job by an organisation.

    Each organisation has its own, so that none replaces the job of another
    for the next owner.
    """
    return _key_of(job_id, organisation)


def submitted_job(key: str) -> str:
    """Return the job in the key of a submission."""
    return key.partition('/')[0]


def cancel_key(job_id: str, organisation: str) -> str:
    """Return the key of the cancellation of a job by an organisation.

    Each organisation has its own, so that none replaces the cancellation of
    another before the owner has read it.
    """
    return _key_of(f'{CANCEL_PREFIX}{job_id}', organisation)


def _key_of(key: str, organisation: str) -> str:
    """Return the key of an organisation's own record; '' has a plain one."""
    if not organisation:
        return key
    return f'{key}/{hashlib.sha256(organisation.encode()).hexdigest()[:16]}'


def cancelled_job(key: str) -> str:
    """Return the job in the key of a cancellation."""
    return key[len(CANCEL_PREFIX) :].partition('/')[0]


def job_of(key: str) -> str:
    """Return the job in a key of the inbox."""
    if key.startswith(CANCEL_PREFIX):
        return cancelled_job(key)
    return submitted_job(key)


def encode_cancel(organisation: str) -> bytes:
    """Return the value of a cancellation; '' stands for no organisation."""
    return _CANCEL_MARK + organisation.encode()


def decode_cancel(value: bytes) -> str:
    """Return the organisation in the value of a cancellation."""
    return value[len(_CANCEL_MARK) :].decode('utf-8', 'replace')
