"""Take in what the log shows."""

import math

from hibiscusslip.ownership import _appends
from hibiscusslip.ownership import _claiming
from hibiscusslip.ownership import _handing
from hibiscusslip.ownership import _state
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import ledger
from hibiscusslip.records import zone as zone_records


def take_in(
    state: _state.State,
    offset: int,
    record: zone_records.ZoneRecord | None,
    now: float,
) -> ledger.Applied:
    """Apply a record and follow what it changes for this host."""
    applied = state.ledger.apply(offset, record, now)
    append = None
    if record is not None:
        append = state.appends.found(record.record_id)
    entry = not isinstance(
        record, zone_records.Snapshot
    ) or ledger.is_founding(record)
    for change in applied.changes:
        state.appends.passed(change.shard, change.current, entry)
        _follow(state, change, record, append)
    if isinstance(record, zone_records.Snapshot):
        _note_snapshot(state, record, now)
    return applied


def _follow(
    state: _state.State,
    change: ledger.Change,
    record: zone_records.ZoneRecord | None,
    append: _appends.Append | None,
) -> None:
    lease = state.leases.get(change.shard)
    holding = change.current
    mine = holding.host == state.me
    if holding.host is not None and not mine:
        possible_holders = state.possible_holders.setdefault(change.shard, {})
        possible_holders.setdefault(holding.host, holding.read_at)
    if mine and lease is not None and lease.epoch == holding.epoch:
        _go_on(state, change.shard, append)
        return
    if lease is not None:
        state.leases.end(change.shard)
        state.out.append(actions.ShardLost(change.shard, lease.epoch))
    renounced = append is not None and append.renounced
    if state.draining and isinstance(record, zone_records.Claim):
        renounced = True
    if mine and not renounced:
        _begin(state, change, record, append)


def _go_on(
    state: _state.State, shard: int, append: _appends.Append | None
) -> None:
    # A renewal that came first voids a transfer that still may land.
    _handing.thaw(state, shard)
    if append is not None:
        state.leases.renew(shard, append.sent_at)


def _begin(
    state: _state.State,
    change: ledger.Change,
    record: zone_records.ZoneRecord | None,
    append: _appends.Append | None,
) -> None:
    by_transfer = False
    counted_from = settle_until = -math.inf
    if append is not None:
        counted_from = append.sent_at
    if isinstance(record, zone_records.Transfer):
        received_at = state.received.pop(record.record_id, None)
        if received_at is not None:
            by_transfer = True
            counted_from = received_at
    holding = change.current
    first = change.previous is not None and change.previous.epoch == 0
    if not by_transfer and not first:
        settle_until = holding.read_at + state.timing.settle
        if append is not None:
            settle = state.timing.safe_wait(state.timing.settle)
            settle_until = append.sent_at + settle
    if isinstance(record, zone_records.Transfer):
        # A former holder may resume while it doesn't know this host.
        settle_until = max(
            settle_until, _claiming.introduced_at(state, change.shard)
        )
    # A promise to another holder binds until it has run out.
    settle_until = max(settle_until, state.given.until(change.shard))
    lease = state.leases.begin(
        change.shard, holding.epoch, counted_from, settle_until
    )
    interval = state.timing.snapshot_interval
    lease.snapshot_at = holding.read_at + interval * state.rng.random() / 2
    state.out.append(
        actions.ShardAcquired(
            change.shard, holding.epoch, change.previous, by_transfer
        )
    )


def await_introductions(state: _state.State, now: float) -> None:
    """Start on shards handed over once all former holders know this host."""
    for shard, lease in state.leases.items():
        if lease.settle_until == math.inf:
            lease.settle_until = _claiming.introduced_at(state, shard)


def _note_snapshot(
    state: _state.State, record: zone_records.Snapshot, now: float
) -> None:
    lease = state.leases.get(record.shard)
    if lease is not None and record.part == record.parts - 1:
        lease.snapshot_at = now + state.timing.snapshot_interval


def ask_snapshots(state: _state.State, now: float) -> None:
    """Ask for a snapshot of each held shard whose last one is old."""
    for shard, lease in state.leases.items():
        holding = state.ledger.latest(shard)
        if now < lease.snapshot_at or holding is None:
            continue
        lease.snapshot_at = now + state.timing.snapshot_interval / 4
        state.out.append(
            actions.SnapshotDue(
                shard,
                holding.epoch,
                holding.seq,
                state.ledger.next_offset - 1,
            )
        )
