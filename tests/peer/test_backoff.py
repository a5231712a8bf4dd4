"""Test the backoff between attempts to dial a host."""

import random

from hibiscusslip.peer import _backoff
from hibiscusslip.peer import limits

LIMITS = limits.Limits(min_backoff=1.0, max_backoff=4.0)


def _delays(backoff, failures):
    delays = []
    for _ in range(failures):
        backoff.record_failure(100.0)
        delays.append(backoff.remaining(100.0))
    return delays


def test_delays_double_up_to_the_limit():
    delays = _delays(_backoff.Backoff(LIMITS, random.Random(1)), 6)
    for delay, max_delay in zip(delays, [1, 2, 4, 4, 4, 4], strict=True):
        assert max_delay / 2 <= delay <= max_delay


def test_delay_elapses_and_is_reset_on_success():
    backoff = _backoff.Backoff(LIMITS, random.Random(1))
    assert backoff.remaining(100.0) == 0.0
    _delays(backoff, 5)
    assert backoff.remaining(105.0) == 0.0
    backoff.reset()
    assert _delays(backoff, 1)[0] <= LIMITS.min_backoff
