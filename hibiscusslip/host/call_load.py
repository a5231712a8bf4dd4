"""Allow for the calls in progress in the time-outs of calls to endpoints."""

import collections.abc
import contextlib

from hibiscusslip.host import poll_timing

MAX_ALLOWANCE_S = 1.5
# A first poll takes about 1 ms of a core, a later one about half of that.
CALLS_PER_CORE_S = 1000.0


class CallLoad:
    """Count the calls of a host that endpoints have to answer at once.

    Polls that endpoints hold open aren't counted. `calls_per_s` is how many
    calls the host can make per second.
    """

    def __init__(self, calls_per_s: float = CALLS_PER_CORE_S) -> None:
        self._calls_per_s = calls_per_s
        self._in_progress = 0

    @property
    def allowance(self) -> float:
        """Return the time to add to the time-out of a call, in seconds.

        It is 0 up to USUAL_ENDPOINTS calls, one for each endpoint.
        """
        waiting = max(self._in_progress - poll_timing.USUAL_ENDPOINTS, 0)
        return min(waiting / self._calls_per_s, MAX_ALLOWANCE_S)

    @contextlib.contextmanager
    def track(self) -> collections.abc.Iterator[None]:
        """Count a call for as long as it takes."""
        self._in_progress += 1
        try:
            yield
        finally:
            self._in_progress -= 1
