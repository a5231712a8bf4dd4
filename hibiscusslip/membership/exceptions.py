"""Define the exceptions of the membership package."""


class InvalidPacing(Exception):
    """Raise for inconsistent values; the message names the remedy."""
