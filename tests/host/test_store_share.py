"""Check how often many hosts call the store again after failures."""

import curio

from hibiscusslip.host import feeds
from hibiscusslip.host import host
from hibiscusslip.host import repeat_policy
from hibiscusslip.host import store_share
from hibiscusslip.host import tailing
from hibiscusslip.platform import exceptions
from tests.host import fakes

MAX_READS_PER_S = 6000
MAX_WRITES_PER_S = 1200
USUAL_READS_PER_S = 1000  # of 300 hosts, most of them of heartbeats


def test_up_to_100_hosts_nothing_changes():
    """Else a small deployment notices later that the store is back."""
    factor = store_share.slowdown(100, False)
    assert store_share.retry_pause(0.4, factor, 0.3) == 0.4
    assert store_share.hosts_read_pause(100) == 0.0
    assert store_share.slowdown(300, True) == 1.0  # of the owner


def test_retries_and_repeats_of_300_hosts_leave_the_owner_its_calls():
    """Repeats alone were 6,000 a second, as many as the store admits."""
    factor = store_share.slowdown(300, False)
    policy = repeat_policy.RepeatPolicy()
    repeats = sum(policy.take(tick / 100, factor) for tick in range(10_000))
    loops = 3  # the configuration, the hosts and the owner
    retries = sum(
        loops / store_share.retry_pause(0.4, factor, number / 300)
        for number in range(300)
    )
    reads = 300 * repeats / 100 + retries + USUAL_READS_PER_S
    assert reads < 0.75 * MAX_READS_PER_S


def test_claims_of_300_hosts_leave_the_owner_its_writes():
    """Each claimed every 0.05 s while the store refused its claims."""
    assert store_share.claim_pause(store_share.slowdown(100, False), 1.0) == 0
    factor = store_share.slowdown(300, False)
    claims = sum(
        1 / (store_share.claim_pause(factor, number / 300) + host.CLAIM_POLL_S)
        for number in range(300)
    )
    assert claims < MAX_WRITES_PER_S * 0.6


class Failing(tailing.Tail):
    async def load_snapshot(self):
        raise exceptions.StoreUnavailable('429')

    async def apply(self, offset, record):
        pass


def count_failures(hosts):
    ctx = fakes.make_context(fakes.FakeStore())
    ctx.hosts.update(dict.fromkeys(range(hosts)))
    ctx.ownership.tie_break = 1.0

    async def main():
        async with curio.ignore_after(1.0):
            await Failing(ctx).run()
        assert feeds.HostFeed(ctx).pause_after_read() == (
            store_share.hosts_read_pause(hosts)
        )

    curio.run(main)
    return ctx.store_failures


def test_feed_of_one_of_many_hosts_retries_less_often():
    """Else the share of the store is derived, but not used."""
    assert count_failures(2000) * 2 < count_failures(1)
