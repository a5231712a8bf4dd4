"""Decide when a call to the store is repeated because its answer seems lost.

The store may carry out calls and lose their answers, while it serves others.
A store that is merely slow mustn't get more calls. So a call is repeated only
after several times what answers have taken lately, with growing pauses, and
all calls of a host share a budget of repeats.
"""

USUAL_ANSWERS = 4.0  # times the usual answer until a call is repeated
MIN_DELAY_S = 0.06
MAX_DELAY_S = 0.8
BACKOFF = 1.6
LEARNING_RATE = 0.1
INITIAL_ANSWER_S = 0.02
MAX_BUDGET = 20.0
BUDGET_PER_S = 20.0
LOSSY_S = 3.0


class RepeatPolicy:
    """Learn how long answers take and whether some are lost.

    Times are on the monotonic clock, in seconds.
    """

    def __init__(self) -> None:
        self._usual = INITIAL_ANSWER_S
        self._budget = MAX_BUDGET
        self._refilled_at = 0.0
        self._lossy_until = 0.0

    def record_answer(self, took: float) -> None:
        """Record how long an answer took; slower ones count at once."""
        learned = self._usual + LEARNING_RATE * (took - self._usual)
        self._usual = max(took, learned)

    def record_loss(self, now: float) -> None:
        """Record that a repeat was answered before the call itself."""
        self._lossy_until = now + LOSSY_S

    def is_lossy(self, now: float) -> bool:
        """Return True if answers were lost lately."""
        return now < self._lossy_until

    def delay(self, repeats: int) -> float:
        """Return how long to wait for an answer before the next repeat."""
        first = max(USUAL_ANSWERS * self._usual, MIN_DELAY_S)
        return min(first * BACKOFF**repeats, MAX_DELAY_S)

    def take(self, now: float, slowdown: float = 1.0) -> bool:
        """Return True if the budget allows one more repeat.

        `slowdown` is by which factor the budget grows more slowly.
        """
        rate = BUDGET_PER_S / slowdown
        refill = max(now - self._refilled_at, 0.0) * rate
        self._budget = min(self._budget + refill, MAX_BUDGET)
        self._refilled_at = now
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True
