"""Check that time-outs allow for the number of calls in progress."""

import contextlib

import pytest

from hibiscusslip.host import call_load


def test_time_outs_allow_for_the_calls_in_progress():
    """3,000 calls need 3 s of a core: most timed out after 0.25 s."""
    load = call_load.CallLoad(1000.0)
    with contextlib.suppress(ValueError), contextlib.ExitStack() as stack:
        for _ in range(600):
            stack.enter_context(load.track())
        assert load.allowance == 0.0  # as in the deployments of today
        for _ in range(500):
            stack.enter_context(load.track())
        assert load.allowance == pytest.approx(0.5)
        for _ in range(9000):
            stack.enter_context(load.track())
        assert load.allowance == call_load.MAX_ALLOWANCE_S
        raise ValueError  # calls that fail are no longer in progress
    assert load.allowance == 0.0
