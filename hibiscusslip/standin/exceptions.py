"""Define the exceptions of the stand-ins."""


class StandinError(Exception):
    """Report invalid input; the message contains the remedy."""
