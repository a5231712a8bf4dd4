"""Name the topics that the system keeps on the platform's store."""

HOSTS = 'keyed.hosts'  # host name -> HostRecord
OWNER = 'owner'  # claims, heartbeats and releases of the ownership
JOBS = 'keyed.jobs'  # job -> its progress, written by the owner only
INBOX = 'keyed.inbox'  # job -> its submission, CANCEL_PREFIX + job -> cancel

CANCEL_PREFIX = 'cancel/'
PRODUCER = 'owner'  # all owners write the progress under one name
