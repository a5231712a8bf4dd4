"""Check the lengths of leases at both ends of what deployments set."""

import pytest

from hibiscusslip.host import lease_timing


@pytest.mark.parametrize('max_lease', [2.0, 4.0, 6.0, 10.0, 30.0])
def test_no_lease_is_longer_than_endpoints_grant(max_lease):
    assert lease_timing.usual_lease(max_lease) <= max_lease


@pytest.mark.parametrize('max_lease', [6.0, 10.0, 30.0])
def test_leases_outlast_a_failover_of_five_seconds(max_lease):
    assert lease_timing.usual_lease(max_lease) >= 5.0


@pytest.mark.parametrize('max_lease', [2.0, 6.0, 10.0, 30.0])
def test_successor_waits_for_the_last_renewal_on_a_slow_clock(max_lease):
    wait = lease_timing.longest_inherited(max_lease)
    renewal = lease_timing.RENEWAL_LIMIT_S
    assert wait >= renewal + max_lease * 1.02
    assert wait <= renewal + max_lease * 1.05 + 1.0
