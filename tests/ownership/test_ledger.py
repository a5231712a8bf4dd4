"""Check that validity follows from the log alone."""

import pytest

from hibiscusslip.model import places
from hibiscusslip.ownership import exceptions
from hibiscusslip.ownership import ledger
from hibiscusslip.ownership import timing
from hibiscusslip.records import zone

A = places.HostId('a', '1')
B = places.HostId('b', '1')
IDS = iter(range(1000))


def record(kind, host, epoch, seq, shard=0, **more):
    entries = [zone.ClaimEntry(shard, epoch, seq)]
    key = f'r{next(IDS)}'
    return kind(key, host.name, host.incarnation, entries=entries, **more)


def transfer(host, to, epoch, seq):
    to_host = {'to_host': to.name, 'to_incarnation': to.incarnation}
    return record(zone.Transfer, host, epoch, seq, **to_host)


def snapshot(epoch, seq, host, as_of):
    return zone.Snapshot(
        'snap', 0, epoch, seq, host.name, host.incarnation, as_of, 0, 1, []
    )


def read(book, records, first=0):
    for offset, each in enumerate(records, first):
        applied = book.apply(offset, each, float(offset))
    return applied


def test_the_first_claim_wins():
    book = ledger.Ledger(1)
    claims = [record(zone.Claim, A, 0, 0), record(zone.Claim, B, 0, 0)]
    applied = read(book, claims)
    assert book.latest(0) == ledger.Holding(A, 1, 1, 0, 0.0)
    assert 'names 0.0, the latest is 1.1' in applied.voids[0].reason


def test_a_renewal_that_came_first_voids_a_claim():
    book = ledger.Ledger(1)
    records = [
        record(zone.Claim, A, 0, 0),
        record(zone.Renewal, A, 1, 1),
        record(zone.Claim, B, 1, 1),
    ]
    assert read(book, records).voids
    assert book.latest(0).host == A


def test_only_the_holder_renews_and_transfers():
    book = ledger.Ledger(1)
    read(
        book,
        [
            record(zone.Claim, A, 0, 0),
            record(zone.Renewal, B, 1, 1),
            transfer(B, B, 1, 1),
        ],
    )
    assert (book.latest(0).host, book.latest(0).seq) == (A, 1)
    book.apply(3, transfer(A, B, 1, 1), 3.0)
    assert (book.latest(0).host, book.latest(0).epoch) == (B, 2)


def test_a_record_read_twice_counts_once():
    book = ledger.Ledger(1)
    claim = record(zone.Claim, A, 0, 0)
    read(book, [claim])
    assert book.apply(0, claim, 1.0).changes == []


def test_a_gap_is_told():
    with pytest.raises(exceptions.LedgerGap, match='restart'):
        ledger.Ledger(1).apply(1, None, 0.0)


def test_renewals_alone_anchor_nothing():
    book = ledger.Ledger(1)
    book.restart(10, 0.0)
    renewals = [record(zone.Renewal, A, 1, seq) for seq in (5, 6, 7)]
    read(book, renewals, 10)
    assert book.latest(0) is None
    assert set(book.hosts_of_unknown(0)) == {A}


def test_a_snapshot_anchors_and_what_follows_it_is_replayed():
    book = ledger.Ledger(1)
    book.restart(10, 0.0)
    records = [
        record(zone.Renewal, A, 1, 5),
        record(zone.Claim, B, 1, 6),
        snapshot(1, 6, A, 10),
    ]
    read(book, records, 10)
    assert (book.latest(0).host, book.latest(0).epoch) == (B, 2)


def test_a_snapshot_from_before_the_gap_is_of_no_use():
    book = ledger.Ledger(1)
    book.restart(10, 0.0)
    read(book, [snapshot(1, 6, A, 8)], 10)
    assert book.latest(0) is None


def test_a_founding_is_void_after_any_entry():
    book = ledger.Ledger(1)
    book.restart(10, 0.0)
    read(book, [record(zone.Renewal, A, 1, 5)], 10)
    read(book, [ledger.founding('f', 0, 9)], 11)
    assert book.latest(0) is None
    read(book, [ledger.founding('g', 0, 11)], 12)
    assert book.latest(0) == ledger.Holding(None, 13, 0, 12, 12.0)


def test_a_founding_that_cant_be_judged_leaves_the_shard_unknown():
    book = ledger.Ledger(1)
    book.restart(10, 0.0)
    read(book, [snapshot(1, 1, A, 10), ledger.founding('f', 0, 3)], 10)
    assert book.latest(0) is None


def test_bytes_that_dont_decode_are_skipped():
    book = ledger.Ledger(1)
    read(book, [None, record(zone.Claim, A, 0, 0)])
    assert book.latest(0).host == A


@pytest.mark.parametrize(
    'change',
    [
        {'promise': 6.0},
        {'margin': -1.0},
        {'drift': 0.5},
        {'renew_interval': 3.0},
        {'promise_interval': 2.0},
    ],
)
def test_durations_that_dont_fit_are_refused(change):
    with pytest.raises(exceptions.InvalidTiming, match='give|lower'):
        timing.Timing(**change)
