"""Apply the records that are read from the log."""

import math

from hibiscusslip.ownership import _appends
from hibiscusslip.ownership import _claiming
from hibiscusslip.ownership import _state
from hibiscusslip.ownership import _transferring
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import ledger
from hibiscusslip.records import zone as zone_records


def apply_record(
    state: _state.State,
    offset: int,
    record: zone_records.ZoneRecord | None,
    now: float,
) -> ledger.Applied:
    """Apply a record to the ledger and to the leases of this host."""
    applied = state.ledger.apply(offset, record, now)
    append = None
    if record is not None:
        append = state.appends.pop(record.record_id)
    is_new_entry = not isinstance(
        record, zone_records.Snapshot
    ) or ledger.is_bootstrap(record)
    for change in applied.changes:
        state.appends.drop_superseded(
            change.shard, change.current, is_new_entry
        )
        _handle_change(state, change, record, append)
    if isinstance(record, zone_records.Snapshot):
        _postpone_snapshot(state, record, now)
    return applied


def _handle_change(
    state: _state.State,
    change: ledger.Change,
    record: zone_records.ZoneRecord | None,
    append: _appends.PendingAppend | None,
) -> None:
    lease = state.leases.get(change.shard)
    holding = change.current
    is_mine = holding.host == state.me
    if holding.host is not None and not is_mine:
        holders = state.holders_in_log.setdefault(change.shard, {})
        holders.setdefault(holding.host, holding.read_at)
    if is_mine and lease is not None and lease.epoch == holding.epoch:
        _continue_lease(state, change.shard, append)
        return
    if lease is not None:
        state.leases.end(change.shard)
        state.queued_actions.append(
            actions.ShardLost(change.shard, lease.epoch)
        )
    abandoned = append is not None and append.abandoned
    if state.draining and isinstance(record, zone_records.Claim):
        abandoned = True
    if is_mine and not abandoned:
        _acquire_shard(state, change, record, append)


def _continue_lease(
    state: _state.State, shard: int, append: _appends.PendingAppend | None
) -> None:
    # A transfer appended after this renewal is invalid.
    _transferring.abort(state, shard)
    if append is not None:
        state.leases.renew(shard, append.sent_at)


def _acquire_shard(
    state: _state.State,
    change: ledger.Change,
    record: zone_records.ZoneRecord | None,
    append: _appends.PendingAppend | None,
) -> None:
    by_transfer = False
    lease_start = settle_until = -math.inf
    if append is not None:
        lease_start = append.sent_at
    if isinstance(record, zone_records.Transfer):
        received_at = state.received_transfers.pop(record.record_id, None)
        if received_at is not None:
            by_transfer = True
            lease_start = received_at
    holding = change.current
    never_held = change.previous is not None and change.previous.epoch == 0
    if not by_transfer and not never_held:
        settle_until = holding.read_at + state.timing.settle
        if append is not None:
            settle = state.timing.safe_wait(state.timing.settle)
            settle_until = append.sent_at + settle
    if isinstance(record, zone_records.Transfer):
        # A former holder that doesn't know this host as a claimant may still
        # resume its lease without asking it for a promise.
        settle_until = max(
            settle_until, _claiming.introduced_at(state, change.shard)
        )
    # A promise to another holder is binding until it expires.
    settle_until = max(
        settle_until, state.given_promises.binding_until(change.shard)
    )
    lease = state.leases.acquire(
        change.shard, holding.epoch, lease_start, settle_until
    )
    interval = state.timing.snapshot_interval
    lease.snapshot_at = holding.read_at + interval * state.rng.random() / 2
    state.queued_actions.append(
        actions.ShardAcquired(
            change.shard, holding.epoch, change.previous, by_transfer
        )
    )


def await_introductions(state: _state.State, now: float) -> None:
    """Unblock transferred shards once all former holders know this host."""
    for shard, lease in state.leases.items():
        if lease.settle_until == math.inf:
            lease.settle_until = _claiming.introduced_at(state, shard)


def _postpone_snapshot(
    state: _state.State, record: zone_records.Snapshot, now: float
) -> None:
    lease = state.leases.get(record.shard)
    if lease is not None and record.part == record.parts - 1:
        lease.snapshot_at = now + state.timing.snapshot_interval


def request_snapshots(state: _state.State, now: float) -> None:
    """Request a snapshot of each held shard whose latest one is old."""
    for shard, lease in state.leases.items():
        holding = state.ledger.latest(shard)
        if now < lease.snapshot_at or holding is None:
            continue
        lease.snapshot_at = now + state.timing.snapshot_interval / 4
        state.queued_actions.append(
            actions.SnapshotDue(
                shard,
                holding.epoch,
                holding.seq,
                state.ledger.next_offset - 1,
            )
        )
