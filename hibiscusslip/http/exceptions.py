"""Define the errors of HTTP exchanges."""

from hibiscusslip.http import intake
from hibiscusslip.http import messages


class HttpError(Exception):
    """Base class for failures of an HTTP exchange."""


class NotSent(HttpError):
    """Raise when no byte of the request was written; a retry is safe."""


class OutOfDescriptors(NotSent):
    """Raise when this host has no descriptor for another connection."""


class CallUnsettled(HttpError):
    """Raise when no complete response arrived after bytes were written.

    The request may have been handled: its outcome is unknown. `transfer` is
    how much of the response had arrived.
    """

    def __init__(
        self, reason: str, transfer: messages.Transfer = messages.NO_TRANSFER
    ) -> None:
        super().__init__(reason)
        self.transfer = transfer


class MalformedResponse(CallUnsettled):
    """Raise when the response is invalid HTTP or exceeds a limit."""


class DropConnection(HttpError):
    """Raise in a handler to close the connection without a response."""


class RequestRefused(HttpError):
    """Raise for a request that is refused before it reaches the handler.

    `status` is that of the response, whose detail is the message.
    """

    def __init__(
        self, reason: intake.Reason, status: int, detail: str
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.status = status
