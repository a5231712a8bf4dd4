"""Define the errors of calls to endpoints."""


class EndpointError(Exception):
    """Base class for failures of a call to an endpoint."""


class NotSent(EndpointError):
    """Raise when no byte of the call was sent; it had no effect."""


class CallUnsettled(EndpointError):
    """Raise when the call may have taken effect: its outcome is unknown."""


class CallRefused(EndpointError):
    """Raise when the endpoint declined the call; it had no effect."""
