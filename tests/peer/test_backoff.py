"""Check when a host may be dialled again."""

import random

from hibiscusslip.peer import _backoff
from hibiscusslip.peer import limits

LIMITS = limits.Limits(min_backoff=1.0, max_backoff=4.0)


def _pauses(backoff, failures):
    pauses = []
    for _ in range(failures):
        backoff.failed(100.0)
        pauses.append(backoff.remaining(100.0))
    return pauses


def test_pauses_double_up_to_the_limit():
    pauses = _pauses(_backoff.Backoff(LIMITS, random.Random(1)), 6)
    for pause, most in zip(pauses, [1, 2, 4, 4, 4, 4], strict=True):
        assert most / 2 <= pause <= most


def test_pause_passes_and_is_forgotten_on_success():
    backoff = _backoff.Backoff(LIMITS, random.Random(1))
    assert backoff.remaining(100.0) == 0.0
    _pauses(backoff, 5)
    assert backoff.remaining(105.0) == 0.0
    backoff.reset()
    assert _pauses(backoff, 1)[0] <= LIMITS.min_backoff
