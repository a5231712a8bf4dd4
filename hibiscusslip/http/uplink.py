"""Estimate how long requests wait for the link of this host."""

BITS_PER_BYTE = 8
BITS_PER_MBIT = 1e6
OWN_SHARE = 0.5  # of the link; the rest may carry other traffic


class Uplink:
    """Track what the clients of a host have given its link to send.

    All clients of a host share one. `mbps` is the rate of the link, in
    megabits per second. Times are on any one monotonic clock, in seconds.
    """

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = mbps * BITS_PER_MBIT / BITS_PER_BYTE
        self._free_at = 0.0

    def add(self, size: int, now: float) -> float:
        """Add a request of `size` bytes; return the time to allow for it.

        This is the longest time, in seconds, until the request should have
        been sent, after everything that was added before it.
        """
        self._free_at = max(self._free_at, now) + size / self._bytes_per_s
        return self.backlog(now) / OWN_SHARE

    def backlog(self, now: float) -> float:
        """Return how long the link needs for what was added, in seconds."""
        return max(self._free_at - now, 0.0)
