"""Define the exceptions of the membership package."""


class InvalidPacing(Exception):
    """Raised for inconsistent values; the message names the remedy."""
