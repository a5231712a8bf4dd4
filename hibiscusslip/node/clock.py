"""Read the host's clocks for the code that must not."""

import time


def now() -> float:
    """Return seconds on a clock that never steps back.

    It goes on while the machine is suspended, as leases do elsewhere.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Return unix time in seconds, for display and for callers' deadlines."""
    return time.time()
