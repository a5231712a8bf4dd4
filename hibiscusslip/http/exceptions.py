"""Name what can go wrong with an HTTP exchange."""


class HttpError(Exception):
    """Raise for any failure of an HTTP exchange."""


class NotSent(HttpError):
    """Raise when no byte of the request was written."""


class CallUnsettled(HttpError):
    """Raise when the request may have been handled and no answer came."""


class Malformed(CallUnsettled):
    """Raise when the answer is no valid HTTP or exceeds a limit."""


class DropConnection(HttpError):
    """Raise in a handler to close the connection without an answer."""
