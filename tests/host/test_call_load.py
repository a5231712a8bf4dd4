"""Check that time-outs allow for the number of calls in progress."""

import contextlib

import pytest

from hibiscusslip.host import call_load


def load_of(calls, calls_per_s=1000.0):
    load = call_load.CallLoad(calls_per_s)
    with contextlib.ExitStack() as stack:
        for _ in range(calls):
            stack.enter_context(load.track())
        return load.allowance


def test_usual_number_of_calls_changes_no_time_out():
    """Else silent endpoints of present deployments are found later."""
    assert load_of(600) == 0.0


def test_calls_wait_for_those_before_them():
    """3,000 calls need 3 s of a core: most timed out after 0.25 s."""
    assert load_of(1100) == pytest.approx(0.5)
    assert load_of(1100, 500.0) == pytest.approx(1.0)
    assert load_of(9000) == call_load.MAX_ALLOWANCE_S


def test_failed_call_is_no_longer_in_progress():
    """Else the allowance never returns to 0."""
    load = call_load.CallLoad(1.0)
    for _ in range(700):
        with contextlib.suppress(ValueError), load.track():
            raise ValueError
    assert load.allowance == 0.0
