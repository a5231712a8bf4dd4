"""Check until when an owner extends leases, and who vouches for it."""

import pytest

from hibiscusslip.host import lease_renewal
from hibiscusslip.host import lease_timing
from hibiscusslip.host import notices
from hibiscusslip.host import ownership

PEERS = frozenset({'h2', 'h3'})
SHORT = lease_timing.UNVOUCHED_RENEWAL_S
LONG = lease_timing.RENEWAL_LIMIT_S


def renewal(hosts=PEERS):
    """Return the right of an owner whose notice 1 was read back at 100."""
    right = lease_renewal.LeaseRenewal()
    right.begin(99.0, hosts)
    right.note_sent(1, 100.0, hosts, True)
    right.confirm(1)
    return right


def test_owner_without_vouches_extends_leases_for_a_short_time_only():
    right = renewal()
    assert right.allows(100.0 + SHORT - 0.01)
    assert not right.allows(100.0 + SHORT)


def test_owner_for_which_all_vouch_extends_leases_until_the_limit():
    """The store is away for all: what runs goes on running."""
    right = renewal()
    now = 100.0
    while now < 100.0 + LONG:
        for host in PEERS:
            right.record_vouch(host, now)
        assert right.allows(now)
        now += 0.4
    assert not right.allows(100.0 + LONG)


def test_owner_stops_soon_after_one_host_vouches_no_more():
    right = renewal()
    for host in PEERS:
        right.record_vouch(host, 104.0)
    right.record_vouch('h2', 105.0)
    assert right.allows(104.0 + lease_timing.VOUCH_S - 0.01)
    assert not right.allows(104.0 + lease_timing.VOUCH_S)
    assert right.missing_vouches(106.0) == ['h3']


def test_lone_owner_needs_no_vouches():
    assert renewal(frozenset()).allows(100.0 + LONG - 0.01)


def test_notice_that_was_written_but_not_read_back_extends_nothing():
    """A claim may precede it in the log."""
    right = renewal()
    right.note_sent(2, 104.0, PEERS, True)
    assert not right.allows(104.1)
    right.confirm(2)
    assert right.allows(104.1)


def test_host_is_relied_on_until_a_notice_without_it_is_read_back():
    """It may take itself for known by any notice that may be in the log."""
    right = renewal()
    right.note_sent(2, 100.4, frozenset({'h2'}), True)
    assert right.relied_on() == PEERS
    right.confirm(2)
    assert right.relied_on() == {'h2'}


def test_notices_of_a_long_outage_share_their_hosts():
    right = renewal()
    for number in range(2, 1000):
        hosts = frozenset(f'h{i}' for i in range(2, 90))
        right.note_sent(number, 100.0 + number, hosts, True)
    assert len({id(sent.hosts) for sent in right._sent.values()}) == 2
    assert len(right.relied_on()) == 88


def test_no_lease_is_extended_before_a_notice_says_so():
    """Until then a successor takes it that none was."""
    right = lease_renewal.LeaseRenewal()
    right.begin(99.0, PEERS)
    right.held_back = True
    right.note_sent(1, 99.4, PEERS, False)
    right.confirm(1)
    assert not right.allows(99.5)
    right.note_sent(2, 99.8, PEERS, True)
    assert not right.allows(99.9)
    right.confirm(2)
    assert right.allows(99.9)


def beat(epoch=5, **fields):
    return notices.OwnerNotice(
        notices.HEARTBEAT, epoch, 'h1', 'i1', '10.0.0.1', 1, **fields
    )


def host(read_at=100.0):
    """Return a host that read a heartbeat and nothing else since."""
    own = ownership.Ownership('h2', 'i1')
    own.apply_notice(beat(), read_at)
    own.record_read(10, read_at)
    return own


def test_host_without_the_store_vouches_and_counts_it():
    own = host()
    assert own.vouch(5, 104.0)
    bound = own.begin_claim(104.5)
    assert bound.until >= 104.0 + lease_timing.VOUCH_S + own.max_lease / 0.98


def test_host_that_reads_the_heartbeats_vouches():
    """The owner alone doesn't read them back."""
    own = host()
    own.record_read(10, 100.5)
    assert own.vouch(5, 100.5)


def test_host_that_reads_no_heartbeat_any_more_doesnt_vouch():
    """It is about to claim."""
    own = host()
    for tenth in range(1, 30):
        own.record_read(10, 100.0 + tenth / 10)
    assert not own.vouch(5, 102.9)


def test_host_vouches_for_the_newest_owner_that_it_knows_only():
    own = host()
    assert not own.vouch(4, 104.0)
    assert not own.vouch(6, 104.0)
    own.record_claim(12, 104.0)
    assert not own.vouch(5, 104.1)


def test_restarted_host_that_hasnt_read_the_log_doesnt_vouch():
    """It may have claimed, or promised otherwise, before it was lost."""
    own = ownership.Ownership('h2', 'i2')
    assert not own.vouch(5, 104.0)
    own.apply_notice(beat(), 104.0)  # older notices are read first
    assert not own.vouch(5, 104.1)


def test_host_doesnt_vouch_while_its_own_claim_may_be_written():
    own = host()
    own.begin_claim(102.0)
    assert not own.vouch(5, 104.0)
    own.apply_notice(beat(number=9), 104.5)
    own.record_read(11, 104.5)  # another record has its place
    assert own.vouch(5, 104.6)


def test_nobody_vouches_for_an_owner_that_has_released_the_cell():
    own = host()
    own.apply_notice(
        notices.OwnerNotice(notices.RELEASE, 5, 'h1', 'i1', '10.0.0.1', 1),
        100.2,
    )
    assert not own.vouch(5, 104.0)


@pytest.mark.parametrize('grants', [True, False])
@pytest.mark.parametrize('loads_known', [True, False])
@pytest.mark.parametrize('inherited', [0, 7000])
def test_notice_keeps_what_it_tells_of_leases(grants, loads_known, inherited):
    notice = beat(
        loads_known=loads_known,
        hosts_read=12,
        inherited=inherited,
        grants=grants,
    )
    assert notices.decode_owner(notices.encode(notice)) == notice


def test_notice_of_a_former_release_makes_no_host_known():
    """Such an owner extends leases for longer, and asks nobody."""
    data = notices.encode(beat())
    notice = notices.decode_owner(data)
    assert notice.hosts_read == 0 and notice.grants
