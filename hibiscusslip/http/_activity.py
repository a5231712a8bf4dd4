"""Note what a connection is doing, for the server that watches it."""

import math
import time

NEVER = math.inf


class Watch:
    """Hold until when a connection has to get on, and with what.

    `busy` is set from the first byte of a request until its answer is
    written, `reading` while bytes of a request are awaited. Times are
    readings of the monotonic clock.
    """

    __slots__ = (
        'busy',
        'deadline',
        'draining',
        'idle_since',
        'reading',
        'timed_out',
    )

    def __init__(self) -> None:
        self.busy = False
        self.reading = False
        self.draining = False
        self.timed_out = False
        self.idle_since = time.monotonic()
        self.deadline = NEVER

    def start_idle(self, timeout: float) -> None:
        """Wait for the first byte of a request."""
        self.reading = True
        self.idle_since = time.monotonic()
        self.deadline = self.idle_since + timeout

    def start_request(self, timeout: float) -> None:
        """Wait for the rest of a request whose first byte came."""
        if not self.busy:
            self.busy = True
            self.deadline = time.monotonic() + timeout

    def end_request(self) -> None:
        """Let the handler work without a deadline."""
        self.reading = False
        self.deadline = NEVER
