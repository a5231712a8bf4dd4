"""Record the state of a connection and its deadline."""

import enum
import math

NEVER = math.inf


class Phase(enum.Enum):
    """What a connection is doing.

    It is busy from the first byte of a request until its response is written.
    After a refusal it lingers, so that the response reaches the peer.
    """

    IDLE = 'idle'
    READING = 'reading'
    HANDLING = 'handling'
    WRITING = 'writing'
    LINGERING = 'lingering'


_BUSY = frozenset({Phase.READING, Phase.HANDLING, Phase.WRITING})


class Activity:
    """Store the phase of one connection and the deadline of that phase.

    `since` is when the phase began and `served` how many requests were read.
    While `draining`, each response closes the connection. `deadline` is when
    the server shuts the connection down; a request that is being read has
    `read_deadline` instead. Times are readings of the monotonic clock.
    """

    __slots__ = (
        'deadline',
        'draining',
        'phase',
        'read_deadline',
        'served',
        'since',
    )

    def __init__(self, now: float) -> None:
        self.phase = Phase.IDLE
        self.since = now
        self.deadline = NEVER
        self.read_deadline = NEVER
        self.draining = False
        self.served = 0

    @property
    def busy(self) -> bool:
        """Return True while there is a request without its response."""
        return self.phase in _BUSY

    def start_idle(self, now: float, timeout: float) -> None:
        """Start to wait for the first byte of a request."""
        self._enter(Phase.IDLE, now)
        self.read_deadline = NEVER
        self.deadline = now + timeout

    def start_request(self, now: float, timeout: float) -> None:
        """Start the deadline of a request when its first byte arrives."""
        if self.phase is Phase.READING:
            return
        self._enter(Phase.READING, now)
        self.read_deadline = now + timeout

    def end_request(self, now: float) -> None:
        """Remove the deadline: the request is read, the handler runs."""
        self._enter(Phase.HANDLING, now)
        self.served += 1

    def start_writing(self, now: float, timeout: float) -> None:
        """Start the deadline by which the peer has to accept a response."""
        if self.phase is not Phase.WRITING:
            self._enter(Phase.WRITING, now)
        self.deadline = now + timeout

    def start_lingering(self, now: float, timeout: float) -> None:
        """Start the time for which input is read and discarded."""
        self._enter(Phase.LINGERING, now)
        self.deadline = now + timeout

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self.since = now
        self.deadline = NEVER
