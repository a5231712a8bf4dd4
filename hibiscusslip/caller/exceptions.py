"""Name what a job service can refuse a caller's request for."""


class JobError(Exception):
    """Raise when a request about a job can't be served."""


class UnknownJob(JobError):
    """Raise when no such job is known."""


class KeyReused(JobError):
    """Raise when an idempotency key came with another job before."""


class Unavailable(JobError):
    """Raise when surely nothing was done; `retry_after` is in seconds."""

    def __init__(self, detail: str, retry_after: float = 1.0) -> None:
        super().__init__(detail)
        self.retry_after = retry_after


class OutcomeUnknown(JobError):
    """Raise when it can't be told whether the request took effect."""
