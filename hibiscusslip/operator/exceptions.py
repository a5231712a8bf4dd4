"""Name what operators' requests can be refused for."""


class OperatorError(Exception):
    """Raise when an operator's request can't be served."""


class NotAuthentic(OperatorError):
    """Raise for a request without a valid signature."""


class UnknownTarget(OperatorError):
    """Raise when no such host, endpoint or job is known."""


class SelectionGrew(OperatorError):
    """Raise when more jobs match than the operator has seen."""


class Unavailable(OperatorError):
    """Raise when surely nothing was done; `retry_after` is in seconds."""

    def __init__(self, detail: str, retry_after: float = 1.0) -> None:
        super().__init__(detail)
        self.retry_after = retry_after


class OutcomeUnknown(OperatorError):
    """Raise when it can't be told whether the request took effect."""
