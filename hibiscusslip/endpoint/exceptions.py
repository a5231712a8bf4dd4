"""Name what can go wrong with an endpoint."""


class EndpointError(Exception):
    """Raise for any failure of a call to an endpoint."""


class NotSent(EndpointError):
    """Raise when no byte of the call reached the endpoint."""


class CallUnsettled(EndpointError):
    """Raise when the call may have taken effect and no answer came."""


class CallRefused(EndpointError):
    """Raise when the endpoint answered that it did not do it."""
