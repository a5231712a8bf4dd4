"""Name why a shard does not take a request; nothing of it was done."""

from hibiscusslip.model import places


class JobError(Exception):
    """Raise for a request that the shard does not take."""

    retry_after: float | None = None


class ShardNotReady(JobError):
    """Raise while the shard still learns what runs."""

    def __init__(self, retry_after: float) -> None:
        super().__init__(
            'the shard is being taken over; ask again after the time given'
        )
        self.retry_after = retry_after


class KeyReused(JobError):
    """Raise when a key comes back with a different request."""

    def __init__(self, job_id: str) -> None:
        super().__init__(
            f'job {job_id} was asked for with other contents under this key;'
            ' use a new key for a new request'
        )


class NotAdmitted(JobError):
    """Raise when the policy refuses a request before it is queued."""

    def __init__(
        self, kind: str, detail: str, retry_after: float | None, nearest: str
    ) -> None:
        super().__init__(detail)
        self.kind = kind
        self.retry_after = retry_after
        self.nearest = nearest


class TooManyJobs(JobError):
    """Raise when the shard holds as many jobs as it may."""

    def __init__(self, retry_after: float) -> None:
        super().__init__(
            'the shard holds as many jobs as it may; ask again after the'
            ' time given'
        )
        self.retry_after = retry_after


class LogNeeded(JobError):
    """Raise for durable work while the platform's log is down."""

    def __init__(self, retry_after: float) -> None:
        super().__init__(
            "the platform's log is down, so the request can't be kept;"
            ' ask again later, or ask for repeatable, not durable work'
        )
        self.retry_after = retry_after


class StaleHome(JobError):
    """Raise for calls of a home that has been taken over since."""

    def __init__(self, home: places.Shard, epoch: int) -> None:
        super().__init__(
            f'shard {home} has a newer owner than that of epoch {epoch};'
            ' read the log to its end before asking again'
        )
