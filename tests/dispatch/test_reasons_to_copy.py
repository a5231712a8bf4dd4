"""Check which runs are copied, and when."""

import pytest

from hibiscusslip.dispatch import copies
from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import holdings
from hibiscusslip.dispatch import ordering

EXPECTED = estimates.Expectation(1.0, 1.5, 20, 'queue')


@pytest.mark.parametrize(
    'run, reason',
    [
        (copies.Observation(1.4, float('inf')), None),
        (copies.Observation(1.6, float('inf')), 'overdue'),
        (copies.Observation(1.6, float('inf'), speed=0.5), None),
        (copies.Observation(3.1, float('inf'), speed=0.5), 'overdue'),
        (copies.Observation(0.4, 9.0), None),
        (copies.Observation(0.6, 9.0), 'overdue'),
        (copies.Observation(0.6, 0.8), None),
        (copies.Observation(1.6, 1.3, speed=0.5), None),
        (copies.Observation(1.6, 1.5, speed=0.5), 'overdue'),
        (copies.Observation(1.6, 1.1), None),
        (copies.Observation(0.6, 9.0, peers_on_time=True), None),
        (
            copies.Observation(1.6, float('inf'), peers_on_time=True),
            'overdue',
        ),
        (copies.Observation(0.2, 9.0, suspected_for=0.4), None),
        (copies.Observation(0.2, 9.0, suspected_for=0.5), 'suspected'),
    ],
)
def test_copy_that_gains_nothing_is_started(run, reason):
    assert copies.reason_to_copy(run, EXPECTED) == reason


def test_declared_run_times_are_relied_on():
    declared = estimates.Expectation(1.0, 1.0, 0, 'declared')
    run = copies.Observation(0.6, 1.3)
    assert copies.reason_to_copy(run, EXPECTED) == 'overdue'
    assert copies.reason_to_copy(run, declared) is None


@pytest.mark.parametrize(
    'expired, late, slack, urgent',
    [
        (False, False, 1.1, False),
        (False, False, 0.9, True),
        (False, True, 5.0, True),
        (True, True, 0.0, False),
    ],
)
def test_copy_is_started_earlier_than_needed(expired, late, slack, urgent):
    rank = ordering.Rank(
        expired, False, 1, holdings.Level.FAIR, late, slack, 'j.0.0'
    )
    assert copies.is_urgent(rank, EXPECTED) is urgent
