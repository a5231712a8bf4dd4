"""Name what can go wrong between entry hosts."""


class PeerError(Exception):
    """Raise for any failure of a call to another entry host."""


class PeerUnreachable(PeerError):
    """Raise when the call was surely not delivered."""


class PeerUnsettled(PeerError):
    """Raise when the call may have been handled and no answer came."""


class PeerRefused(PeerError):
    """Raise when the other host answered that it won't do it."""
