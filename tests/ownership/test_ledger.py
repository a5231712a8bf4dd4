"""Check that the log alone decides which entries are valid."""

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


def apply_records(ledger_, records, first=0):
    for offset, item in enumerate(records, first):
        applied = ledger_.apply(offset, item, float(offset))
    return applied


def test_the_first_claim_wins():
    ledger_ = ledger.Ledger(1)
    claims = [record(zone.Claim, A, 0, 0), record(zone.Claim, B, 0, 0)]
    applied = apply_records(ledger_, claims)
    assert ledger_.latest(0) == ledger.Holding(A, 1, 1, 0, 0.0)
    assert 'names 0.0, the latest is 1.1' in applied.invalid[0].reason


def test_an_earlier_renewal_invalidates_a_claim():
    ledger_ = ledger.Ledger(1)
    records = [
        record(zone.Claim, A, 0, 0),
        record(zone.Renewal, A, 1, 1),
        record(zone.Claim, B, 1, 1),
    ]
    assert apply_records(ledger_, records).invalid
    assert ledger_.latest(0).host == A


def test_only_the_holder_renews_and_transfers():
    ledger_ = ledger.Ledger(1)
    apply_records(
        ledger_,
        [
            record(zone.Claim, A, 0, 0),
            record(zone.Renewal, B, 1, 1),
            transfer(B, B, 1, 1),
        ],
    )
    assert (ledger_.latest(0).host, ledger_.latest(0).seq) == (A, 1)
    ledger_.apply(3, transfer(A, B, 1, 1), 3.0)
    assert (ledger_.latest(0).host, ledger_.latest(0).epoch) == (B, 2)


def test_a_record_read_twice_is_applied_once():
    ledger_ = ledger.Ledger(1)
    claim = record(zone.Claim, A, 0, 0)
    apply_records(ledger_, [claim])
    assert ledger_.apply(0, claim, 1.0).changes == []


def test_a_gap_raises_an_error():
    with pytest.raises(exceptions.LedgerGap, match='restart'):
        ledger.Ledger(1).apply(1, None, 0.0)


def test_renewals_alone_anchor_nothing():
    ledger_ = ledger.Ledger(1)
    ledger_.restart(10, 0.0)
    renewals = [record(zone.Renewal, A, 1, seq) for seq in (5, 6, 7)]
    apply_records(ledger_, renewals, 10)
    assert ledger_.latest(0) is None
    assert set(ledger_.hosts_named_while_unknown(0)) == {A}


def test_a_snapshot_anchors_and_later_entries_are_replayed():
    ledger_ = ledger.Ledger(1)
    ledger_.restart(10, 0.0)
    records = [
        record(zone.Renewal, A, 1, 5),
        record(zone.Claim, B, 1, 6),
        snapshot(1, 6, A, 10),
    ]
    apply_records(ledger_, records, 10)
    assert (ledger_.latest(0).host, ledger_.latest(0).epoch) == (B, 2)


def test_a_snapshot_from_before_the_gap_is_ignored():
    ledger_ = ledger.Ledger(1)
    ledger_.restart(10, 0.0)
    apply_records(ledger_, [snapshot(1, 6, A, 8)], 10)
    assert ledger_.latest(0) is None


def test_a_bootstrap_record_is_invalid_after_any_entry():
    ledger_ = ledger.Ledger(1)
    ledger_.restart(10, 0.0)
    apply_records(ledger_, [record(zone.Renewal, A, 1, 5)], 10)
    apply_records(ledger_, [ledger.bootstrap_record('f', 0, 9)], 11)
    assert ledger_.latest(0) is None
    apply_records(ledger_, [ledger.bootstrap_record('g', 0, 11)], 12)
    assert ledger_.latest(0) == ledger.Holding(None, 13, 0, 12, 12.0)


def test_an_undecidable_bootstrap_record_leaves_the_shard_unknown():
    ledger_ = ledger.Ledger(1)
    ledger_.restart(10, 0.0)
    apply_records(
        ledger_,
        [snapshot(1, 1, A, 10), ledger.bootstrap_record('f', 0, 3)],
        10,
    )
    assert ledger_.latest(0) is None


def test_bytes_that_dont_decode_are_skipped():
    ledger_ = ledger.Ledger(1)
    apply_records(ledger_, [None, record(zone.Claim, A, 0, 0)])
    assert ledger_.latest(0).host == A


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
def test_inconsistent_durations_are_rejected(change):
    with pytest.raises(exceptions.InvalidTiming, match='give|lower'):
        timing.Timing(**change)
