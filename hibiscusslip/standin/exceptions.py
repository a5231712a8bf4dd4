"""Name what can go wrong with the stand-ins' input."""


class StandinError(Exception):
    """Raise for a bad command or fleet file; the message has the remedy."""
