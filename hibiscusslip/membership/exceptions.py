"""Name what can go wrong with membership."""


class InvalidPacing(Exception):
    """Raise when durations don't fit together; the message says how."""
