"""Transfer shards from their owner to a successor."""

from hibiscusslip.membership import members as members_
from hibiscusslip.model import places
from hibiscusslip.ownership import _appends
from hibiscusslip.ownership import _claiming
from hibiscusslip.ownership import _state
from hibiscusslip.ownership import _track
from hibiscusslip.ownership import actions
from hibiscusslip.records import zone as zone_records

MAX_RECEIVED_TRANSFERS = 256


def plan(
    state: _state.State, shard: int, successor: places.HostId, now: float
) -> actions.TransferPlan | actions.TransferRefused:
    """Freeze a shard for its transfer, or return why that is refused."""
    reason = _refusal_reason(state, shard, successor, now)
    if reason:
        return actions.TransferRefused(shard, reason)
    lease = state.leases.get(shard)
    assert lease is not None
    lease.transfer_id = state.new_id()
    return actions.TransferPlan(
        lease.transfer_id, shard, lease.epoch, successor
    )


def _refusal_reason(
    state: _state.State, shard: int, successor: places.HostId, now: float
) -> str:
    lease = state.leases.get(shard)
    if lease is None or state.leases.time_left(shard, now) <= 0:
        return 'the shard is not held here'
    if lease.transfer_id:
        return 'a transfer of the shard is already in progress'
    if now < lease.settle_until:
        return 'sends of the previous owner may still arrive; retry later'
    if not state.is_log_current(now) or state.log.appends_failing:
        return 'the log is down; the shard stays here until it is back'
    member = state.members.get(successor)
    if member is None or not member.alive or member.draining:
        return f'{successor} is no live host of the zone that accepts shards'
    return ''


def commit(
    state: _state.State, planned: actions.TransferPlan, now: float
) -> actions.TransferRefused | None:
    """Append the transfer's record; from then on this host doesn't act.

    Refused while a renewal is in flight: retry after a short delay.
    """
    shard, successor = planned.shard, planned.successor
    lease = state.leases.get(shard)
    holding = state.ledger.latest(shard)
    if lease is None or lease.transfer_id != planned.transfer_id:
        return actions.TransferRefused(shard, 'no such transfer is planned')
    if lease.transfer_sent:
        return actions.TransferRefused(
            shard, 'the transfer is committed already'
        )
    if state.leases.time_left(shard, now) <= 0:
        lease.transfer_id = ''
        return actions.TransferRefused(shard, 'the lease has expired')
    if (
        holding is None
        or state.appends.is_blocked(shard)
        or state.appends.is_full()
    ):
        return actions.TransferRefused(shard, 'a renewal is in flight; retry')
    lease.transfer_sent = True
    lease.last_sent = now
    entries = {shard: (holding.epoch, holding.seq)}
    record = zone_records.Transfer(
        lease.transfer_id,
        state.me.name,
        state.me.incarnation,
        successor.name,
        successor.incarnation,
        _appends.claim_entries(entries),
    )
    state.append(record, _track.EntryKind.TRANSFER, entries, now)
    return None


def cancel(state: _state.State, planned: actions.TransferPlan) -> bool:
    """Unfreeze a shard; return False if its transfer may be in flight."""
    lease = state.leases.get(planned.shard)
    if lease is None or lease.transfer_sent:
        return False
    if lease.transfer_id != planned.transfer_id:
        return False
    lease.transfer_id = ''
    state.last_suggested_at += state.timing.lease_wait
    return True


def abort(state: _state.State, shard: int) -> None:
    """Resume acting, as the shard's transfer provably has no effect."""
    lease = state.leases.get(shard)
    if lease is None or not lease.transfer_sent:
        return
    lease.transfer_id = ''
    lease.transfer_sent = False
    state.queued_actions.append(actions.TransferFailed(shard, lease.epoch))


def accept_state(state: _state.State, transfer_id: str, now: float) -> bool:
    """Record that a shard's state arrived, before its transfer is sent.

    Return False if this host is draining, or if a possible holder of a shard
    may still act without this host's promise.
    """
    known_at = max(
        _claiming.introduced_at(state, shard) for shard in range(state.shards)
    )
    if now < known_at or state.draining:
        return False
    state.received_transfers.setdefault(transfer_id, now)
    if len(state.received_transfers) > MAX_RECEIVED_TRANSFERS:
        del state.received_transfers[next(iter(state.received_transfers))]
    return True


def suggest_transfers(state: _state.State, now: float) -> None:
    """Suggest the transfer of one shard that another host should own.

    A draining host suggests the transfer of all its shards.
    """
    if now < state.last_suggested_at + state.timing.renew_interval:
        return
    for shard, lease in state.leases.items():
        if lease.transfer_id or not state.leases.may_act(shard, now):
            continue
        best = _successor(state, shard, now)
        if best is not None:
            state.last_suggested_at = now
            state.queued_actions.append(
                actions.SuggestTransfer(shard, best.host)
            )
            if not state.draining:
                return


def _successor(
    state: _state.State, shard: int, now: float
) -> members_.Member | None:
    names = state.ranking(shard)
    if not names or names[0] == state.me.name:
        return None
    # A host that joined later refuses transfers until its peers have known
    # it for the length of a lease.
    known_by = now - state.timing.lease_wait - 2 * state.timing.stagger
    for host, since in state.alive_since.items():
        if host.name == names[0] and since <= known_by:
            return state.members[host]
    return None
