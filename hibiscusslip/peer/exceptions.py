"""Define the errors of calls between entry hosts."""


class PeerError(Exception):
    """Base class for failures of a call to another entry host."""


class PeerUnreachable(PeerError):
    """Raise when the call provably wasn't delivered."""


class HelloRefused(PeerUnreachable):
    """Raise when either host rejects the handshake of a new link."""


class PeerUnsettled(PeerError):
    """Raise when no reply arrived and the call may have taken effect.

    The outcome is unknown: it has to be queried before a retry.
    """


class PeerRefused(PeerError):
    """Raise when the other host declined the call with a `Refusal`.

    `retry_after` is in seconds, None when a retry won't help; `nearest` is
    the closest demand that would be accepted, if there is one.
    """

    def __init__(
        self,
        kind: str,
        detail: str,
        retry_after: float | None = None,
        nearest: str = '',
    ):
        super().__init__(f'{kind}: {detail}')
        self.kind = kind
        self.detail = detail
        self.retry_after = retry_after
        self.nearest = nearest


class ChannelClosed(PeerError):
    """Raise when a link is closed or its peer violated the protocol."""


class QueueFull(PeerError):
    """Raise when a message exceeds the limits of the send queue."""
