"""Define the errors of calls to endpoints."""


class EndpointError(Exception):
    """Base class for failures of a call to an endpoint."""


class NotSent(EndpointError):
    """Raised when no byte of the call was sent; it had no effect."""


class CallUnsettled(EndpointError):
    """Raised when the call may have taken effect: its outcome is unknown."""


class CallRefused(EndpointError):
    """Raised when the endpoint declined the call; it had no effect."""
