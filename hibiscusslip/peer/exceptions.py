"""Name what can go wrong between entry hosts."""


class PeerError(Exception):
    """Raise for any failure of a call to another entry host."""


class PeerUnreachable(PeerError):
    """Raise when the call was surely not delivered."""


class HelloRefused(PeerUnreachable):
    """Raise when the hosts don't accept each other on a new link."""


class PeerUnsettled(PeerError):
    """Raise when the call may have been handled and no answer came."""


class PeerRefused(PeerError):
    """Raise when the other host answered that it won't do it.

    `retry_after` is in seconds, None when a retry won't help; `nearest` is
    the closest demand that would be taken, if there is one.
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
    """Raise when a link's connection has ended or broke the protocol."""


class QueueFull(PeerError):
    """Raise when a link's send queue has reached its limit."""
