"""Check how often the owner polls its endpoints."""

import pytest

from hibiscusslip.host import endpoint_session
from hibiscusslip.host import lease_timing
from hibiscusslip.host import poll_timing


@pytest.mark.parametrize('max_lease', [2.0, 6.0, 10.0])
def test_present_deployments_are_polled_as_before(max_lease):
    """Else they learn later of silent endpoints and of progress."""
    lease = lease_timing.usual_lease(max_lease)
    for busy in range(601):
        timing = poll_timing.derive(busy, 600 - busy, lease)
        assert timing == poll_timing.PollTiming(0.6, 3.0)


@pytest.mark.parametrize('busy', [601, 1000, 3000, 100_000])
@pytest.mark.parametrize('max_lease', [6.0, 10.0])
def test_leases_are_renewed_in_time(busy, max_lease):
    """An interval over a third of the lease lets it expire."""
    lease = lease_timing.usual_lease(max_lease)
    wait = poll_timing.derive(busy, 0, lease).long_poll
    assert wait + endpoint_session.POLL_TIMEOUT_S < lease / 3


def test_number_of_polls_is_bounded():
    """At 0.6 s, 3,000 endpoints cause 5,000 polls per second."""
    few = poll_timing.derive(600, 600, 5.9)
    more = poll_timing.derive(1200, 1500, 5.9)
    assert 1200 / more.long_poll == pytest.approx(600 / few.long_poll)
    assert 1500 / more.idle_poll == pytest.approx(600 / few.idle_poll)
    most = poll_timing.derive(3000, 3000, 5.9)
    assert 3000 / most.long_poll < 2000
    assert most.idle_poll == poll_timing.MAX_IDLE_POLL_S


def test_idle_endpoints_of_a_large_cell_arent_polled_all_at_once():
    """A new owner begins with all of them at the same time."""
    names = [f'e{number}' for number in range(3000)]
    usual = poll_timing.PollTiming()
    assert {usual.idle_pause(name) for name in names} == {3.0}
    most = poll_timing.derive(0, len(names), 5.9)
    pauses = [most.idle_pause(name) for name in names]
    assert 6.7 < min(pauses) < 6.8
    assert 8.9 < max(pauses) <= poll_timing.MAX_IDLE_POLL_S


def test_many_unresponsive_endpoints_are_polled_less_often():
    """3,000 of them caused 6,000 new connections per second."""
    few = poll_timing.derive(0, 3000, 5.9, unresponsive=600)
    assert few.retry_pause == poll_timing.RETRY_PAUSE_S
    all_of_them = poll_timing.derive(0, 3000, 5.9, unresponsive=3000)
    assert 3000 / all_of_them.retry_pause == pytest.approx(600 / 0.25)


def test_lateness_is_excused_in_a_large_cell_only():
    """Else silent endpoints of present deployments are found later."""
    assert not poll_timing.derive(300, 300, 5.9).excuses_lateness
    assert poll_timing.derive(300, 301, 5.9).excuses_lateness


def test_long_reports_are_read_less_often():
    """Guards against an owner that reads thousands of rows all the time."""
    few = poll_timing.derive(27, 0, 5.9, runs=400)
    assert few.report_gap(15) <= 0.02  # as often as ever
    crowded = poll_timing.derive(8, 0, 5.9, runs=10_000)
    rows_per_s = 8 * 1250 / crowded.report_gap(1250)
    assert rows_per_s <= poll_timing.MAX_LISTED_RUNS_PER_S
    large = poll_timing.derive(2500, 0, 5.9, runs=11_000)
    assert large.report_gap(5) <= 0.02
