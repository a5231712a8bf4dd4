"""Record the state of a connection and its deadline."""

import math
import time

NEVER = math.inf


class Activity:
    """Store the state of one connection and the deadline of that state.

    `busy` is set from the first byte of a request until its response is
    written, `reading` while bytes of a request are awaited. While
    `draining`, each response closes the connection. Times are readings of
    the monotonic clock.
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
        """Start to wait for the first byte of a request."""
        self.reading = True
        self.idle_since = time.monotonic()
        self.deadline = self.idle_since + timeout

    def start_request(self, timeout: float) -> None:
        """Start the deadline of a request when its first byte arrives."""
        if not self.busy:
            self.busy = True
            self.deadline = time.monotonic() + timeout

    def end_request(self) -> None:
        """Remove the deadline: the request is read, the handler runs."""
        self.reading = False
        self.deadline = NEVER
