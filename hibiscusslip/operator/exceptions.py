"""Define the errors of operators' requests."""


class OperatorError(Exception):
    """Raise when an operator's request can't be served."""


class AuthenticationFailed(OperatorError):
    """Raise when a request has no valid signature."""


class UnknownTarget(OperatorError):
    """Raise when the host, endpoint or job of a request is unknown."""


class SelectionGrew(OperatorError):
    """Raise when more jobs match than in the operator's preview."""


class Unavailable(OperatorError):
    """Raise when the request provably had no effect and may be retried.

    `retry_after` is in seconds.
    """

    def __init__(self, detail: str, retry_after: float = 1.0) -> None:
        super().__init__(detail)
        self.retry_after = retry_after


class OutcomeUnknown(OperatorError):
    """Raise when it is unknown whether the request took effect."""
