"""Define the errors of a shard that rejects a request without effects."""

from hibiscusslip.model import places


class JobError(Exception):
    """Raise for a request that the shard rejects; it had no effect.

    `retry_after` is in seconds, None if a retry can't help.
    """

    retry_after: float | None = None


class ShardNotReady(JobError):
    """Raise while a new owner doesn't know yet what runs on the shard."""

    def __init__(self, retry_after: float) -> None:
        super().__init__(
            'the shard is being taken over; ask again after the time given'
        )
        self.retry_after = retry_after


class KeyReused(JobError):
    """Raise if a key is reused for a request with other contents."""

    def __init__(self, job_id: str) -> None:
        super().__init__(
            f'job {job_id} was asked for with other contents under this key;'
            ' use a new key for a new request'
        )


class NotAdmitted(JobError):
    """Raise if the policy refuses a request before it is queued.

    `kind` is the reason for the refusal, `nearest` the closest demand per
    task that could run, empty if there is none.
    """

    def __init__(
        self, kind: str, detail: str, retry_after: float | None, nearest: str
    ) -> None:
        super().__init__(detail)
        self.kind = kind
        self.retry_after = retry_after
        self.nearest = nearest


class TooManyJobs(JobError):
    """Raise if the shard has reached its limit of jobs."""

    def __init__(self, retry_after: float) -> None:
        super().__init__(
            'the shard holds as many jobs as it may; ask again after the'
            ' time given'
        )
        self.retry_after = retry_after


class LogNeeded(JobError):
    """Raise for work that needs a record while the log is unavailable."""

    def __init__(self, retry_after: float) -> None:
        super().__init__(
            "the platform's log is down, so the request can't be kept;"
            ' ask again later, or ask for repeatable, not durable work'
        )
        self.retry_after = retry_after


class StaleHome(JobError):
    """Raise for a call of a home shard's former owner, by its epoch."""

    def __init__(self, home: places.Shard, epoch: int) -> None:
        super().__init__(
            f'shard {home} has a newer owner than that of epoch {epoch};'
            ' read the log to its end before asking again'
        )
