"""Check when a host may claim the ownership and act as the owner."""

import curio

from hibiscusslip.host import feeds
from hibiscusslip.host import lease_timing
from hibiscusslip.host import notices
from hibiscusslip.host import ownership
from tests.host import fakes


def notice(kind=notices.HEARTBEAT, epoch=5, host='other', incarnation='x'):
    return notices.OwnerNotice(kind, epoch, host, incarnation, '10.0.0.1', 1)


def current_ownership(now=0.0, end=10):
    own = ownership.Ownership(
        'me', 'i1', tie_break=0.1 / ownership.MAX_TIE_BREAK_DELAY_S
    )
    own.record_read(end, now)
    return own


def test_first_host_of_a_new_cell_claims_at_once():
    own = current_ownership(end=0)
    assert not own.may_claim(0.05)
    assert own.may_claim(0.11)


def test_host_that_hasnt_read_the_topic_claims_nothing():
    own = ownership.Ownership('me', 'i1')
    assert not own.may_claim(100.0)


def test_no_claim_while_the_owner_sends_heartbeats():
    own = current_ownership()
    for tenth in range(0, 100):
        now = tenth / 10
        own.record_read(10 + tenth, now)
        if tenth % 5 == 0:
            own.apply_notice(notice(), now)
        assert not own.may_claim(now)


def test_owner_without_heartbeats_is_superseded():
    own = current_ownership()
    own.apply_notice(notice(), 1.0)
    timeout_at = 1.0 + ownership.HEARTBEAT_TIMEOUT_S
    for tenth in range(1, 24, 6):
        own.record_read(11, tenth / 10)
    own.record_read(11, timeout_at)
    assert not own.may_claim(timeout_at)
    own.record_read(11, timeout_at + own.stagger)
    assert own.may_claim(timeout_at + own.stagger)


def test_host_that_can_not_read_the_store_claims_nothing():
    own = current_ownership()
    own.apply_notice(notice(), 1.0)
    assert not own.may_claim(30.0)


def test_released_ownership_is_claimed_at_once():
    own = current_ownership()
    own.apply_notice(notice(notices.RELEASE), 1.0)
    own.record_read(11, 1.0)
    assert own.may_claim(1.11)


def test_heartbeat_concurrent_with_a_release_doesnt_hide_it():
    own = current_ownership()
    own.apply_notice(notice(notices.RELEASE), 1.0)
    own.record_read(11, 1.0)
    own.apply_notice(notice(notices.HEARTBEAT), 1.05)
    own.record_read(12, 1.05)
    assert own.may_claim(1.11)


def test_own_previous_incarnation_is_superseded_at_once():
    own = current_ownership()
    own.apply_notice(notice(host='me', incarnation='i0'), 1.0)
    own.record_read(11, 1.0)
    assert own.may_claim(1.11)


def test_notice_of_a_superseded_owner_is_ignored():
    own = current_ownership()
    own.apply_notice(notice(epoch=9, host='new'), 1.0)
    own.apply_notice(notice(epoch=5, host='old'), 2.0)
    assert own.owner.host == 'new'
    assert own.last_notice_at == 1.0


def test_owner_loses_to_a_later_claim_only():
    own = current_ownership()
    own.record_claim(11, 1.0)
    own.apply_notice(notice(epoch=5), 1.1)
    assert own.held_epoch == 11
    own.apply_notice(notice(notices.CLAIM, epoch=30), 1.2)
    assert own.held_epoch == 0


def test_owner_extends_leases_only_for_a_while_after_its_last_record():
    own = current_ownership()
    own.record_claim(11, 1.0)
    own.renewal.note_sent(1, 4.0, frozenset(), True)
    own.apply_notice(
        notices.OwnerNotice(
            notices.HEARTBEAT, 11, 'me', 'i1', '10.0.0.1', 1, number=1
        ),
        4.3,
    )
    assert own.may_renew(4.0 + lease_timing.RENEWAL_LIMIT_S - 0.01)
    assert not own.may_renew(4.0 + lease_timing.RENEWAL_LIMIT_S)
    own.lose()
    assert not own.may_renew(4.1)


def test_strong_hosts_claim_first():
    weak = ownership.stagger(0.5, 2.1, 0.0)
    strong = ownership.stagger(2.1, 2.1, 1.0)
    assert strong < weak
    max_delay = (
        ownership.MAX_WEAKNESS_DELAY_S + ownership.MAX_TIE_BREAK_DELAY_S
    )
    assert ownership.stagger(0.0, 2.1, 1.0) <= max_delay


def test_equally_strong_hosts_differ_by_the_tie_break_only():
    assert ownership.stagger(0.5, 0.5, 1.0) == ownership.MAX_TIE_BREAK_DELAY_S
    assert ownership.stagger(0.5, 0.0, 1.0) == ownership.MAX_TIE_BREAK_DELAY_S


def test_weak_host_doesnt_claim_first_after_an_outage_of_the_store():
    """Both hosts lose their reads, and the owner is partitioned meanwhile.

    The strong host reads again 0.4 s later than the weak one.
    """
    claims = {}
    for name, strong, readable_at in (
        ('weak', 0.13, 10.0),
        ('strong', 2.1, 10.4),
    ):
        own = ownership.Ownership(name, 'i1', strong, 1.0, strongest=2.1)
        own.record_read(10, 0.0)
        own.apply_notice(notice(), 0.5)
        now = readable_at
        while not own.may_claim(now):
            own.record_read(11, now)
            now += 0.05
        claims[name] = now
    assert claims['strong'] < claims['weak']


def test_live_owner_may_send_a_heartbeat_before_claims_after_an_outage():
    own = current_ownership()
    own.apply_notice(notice(), 1.0)
    own.record_read(11, 7.0)
    assert not own.may_claim(7.0 + ownership.OWNER_RETURN_S)
    own.apply_notice(notice(), 7.4)
    own.record_read(12, 7.9)
    assert not own.may_claim(8.0)


def test_much_weaker_owner_yields():
    own = ownership.Ownership('me', 'i1', 0.5)
    assert not own.should_yield(2.1)  # it owns nothing
    own.record_claim(3, 0.0)
    assert own.should_yield(2.1)
    assert not own.should_yield(0.9)


def test_slow_link_counts_like_a_weak_processor():
    fast = ownership.strength(1.0, 1000.0)
    slow = ownership.strength(2.1, 5.0)
    assert fast == 1.0
    assert slow < 0.3
    assert ownership.stagger(fast, fast, 1.0) < ownership.stagger(
        slow, fast, 0.0
    )


def test_host_without_enough_descriptors_is_weak_in_a_large_cell():
    """It ran out of them with 3,000 endpoints, and the cell wasn't served."""
    few = ownership.effective_strength(2.1, 4100, 3000)
    enough = ownership.effective_strength(0.5, 8192, 3000)
    assert enough == 0.5
    assert few < ownership.YIELD_RATIO * enough
    own = ownership.Ownership('me', 'i1', 2.1, 1.0, 0.5, descriptors=4100)
    own.record_claim(3, 0.0)
    own.set_endpoints(600)
    assert own.stagger == ownership.MAX_TIE_BREAK_DELAY_S
    assert not own.should_yield(0.5)
    own.set_endpoints(3000)
    assert own.stagger > ownership.MAX_WEAKNESS_DELAY_S
    assert own.should_yield(0.5)


def test_descriptors_dont_count_in_a_usual_cell_or_if_not_known():
    """Else an owner of today yields, or one of the former release waits."""
    for endpoints in range(601):
        count = ownership.reported_endpoints(endpoints)
        assert ownership.effective_strength(0.5, 1024, count) == 0.5
    assert ownership.effective_strength(0.5, 0, 3000) == 0.5


def test_strongest_host_is_found_anew_when_the_size_of_the_cell_changes():
    """Also at the owner itself, which set the size before it read it.

    A claimant can't ask the former owner.
    """
    ctx = fakes.make_context(fakes.FakeStore())
    for name, strength, descriptors in (('a', 2.1, 4100), ('b', 0.5, 8192)):
        ctx.hosts[name] = notices.HostRecord(
            name, 'i', 'z1', '10.0.0.1', 1, strength, descriptors
        )
    record = notice()
    record.endpoints = ownership.reported_endpoints(2951)
    ctx.ownership.set_endpoints(2951)
    offset = record.epoch - 1
    curio.run(feeds.OwnerFeed(ctx).apply, offset, notices.encode(record))
    assert ctx.ownership.endpoints == 3000
    assert ctx.ownership.strongest == 0.5
