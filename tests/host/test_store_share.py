"""Check how often many hosts call the store again after failures."""

from hibiscusslip.host import feeds
from hibiscusslip.host import host
from hibiscusslip.host import repeat_policy
from hibiscusslip.host import store_share
from tests.host import fakes

MAX_READS_PER_S = 6000
MAX_WRITES_PER_S = 1200
USUAL_READS_PER_S = 1000  # of 300 hosts, most of them of heartbeats


def test_up_to_100_hosts_nothing_changes():
    """Else a small deployment notices later that the store is back."""
    factor = store_share.slowdown(100, False)
    assert store_share.retry_pause(0.4, factor, 0.3) == 0.4
    assert store_share.claim_pause(factor, 1.0) == 0.0
    assert store_share.hosts_read_pause(100) == 0.0
    assert store_share.slowdown(300, True) == 1.0  # of the owner


def test_calls_of_300_hosts_leave_the_owner_its_own():
    """Repeats alone were 6,000 a second, as many as the store admits."""
    factor = store_share.slowdown(300, False)
    policy = repeat_policy.RepeatPolicy()
    repeats = sum(policy.take(tick / 100, factor) for tick in range(10_000))
    retries = claims = 0.0
    for number in range(300):
        # The loops of the configuration, the hosts and the owner.
        retries += 3 / store_share.retry_pause(0.4, factor, number / 300)
        pause = store_share.claim_pause(factor, number / 300)
        claims += 1 / (pause + host.CLAIM_POLL_S)
    reads = 300 * repeats / 100 + retries + USUAL_READS_PER_S
    assert reads < 0.75 * MAX_READS_PER_S
    assert claims < 0.6 * MAX_WRITES_PER_S


def test_feeds_of_one_of_many_hosts_pause():
    """Else the share of the store is derived, but not used."""
    ctx = fakes.make_context(fakes.FakeStore())
    feed = feeds.HostFeed(ctx)
    usual = feed._shared_retry_pause()
    assert feed.pause_after_read() == 0.0
    ctx.hosts.update(dict.fromkeys(range(400)))
    assert feed._shared_retry_pause() == 2 * usual
    assert feed.pause_after_read() > 0.5
