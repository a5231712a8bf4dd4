"""Define the errors of a job service."""


class JobError(Exception):
    """Raise when a job service can't serve a caller's request."""


class UnknownJob(JobError):
    """Raise when no job has the given id."""


class KeyReused(JobError):
    """Raise when an idempotency key was used for a different job."""


class Unavailable(JobError):
    """Raise when the request provably had no effect and may be retried.

    `retry_after` is in seconds.
    """

    def __init__(self, detail: str, retry_after: float = 1.0) -> None:
        super().__init__(detail)
        self.retry_after = retry_after


class OutcomeUnknown(JobError):
    """Raise when it is unknown whether the request took effect."""
