"""Read the host's clocks for the code that must not."""

import time


def now() -> float:
    """Return the monotonic clock in seconds."""
    return time.monotonic()


def wall() -> float:
    """Return unix time in seconds, for display and for callers' deadlines."""
    return time.time()
