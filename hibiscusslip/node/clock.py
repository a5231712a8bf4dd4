"""Read the host's clocks.

Decision code gets the time as an argument instead.
"""

import time


def now() -> float:
    """Return seconds on the monotonic clock.

    The clock counts time during a suspend of the machine, because leases
    expire on other hosts meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Return Unix time in seconds, for display and callers' deadlines."""
    return time.time()
