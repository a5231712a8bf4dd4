"""Hand shards over from their owner to its successor."""

from hibiscusslip.membership import members as members_
from hibiscusslip.model import places
from hibiscusslip.ownership import _appends
from hibiscusslip.ownership import _claiming
from hibiscusslip.ownership import _state
from hibiscusslip.ownership import _track
from hibiscusslip.ownership import actions
from hibiscusslip.records import zone as zone_records

MAX_RECEIVED = 256


def plan(
    state: _state.State, shard: int, successor: places.HostId, now: float
) -> actions.TransferPlan | actions.TransferRefused:
    """Freeze a shard for its successor, or tell why that can't be."""
    reason = _obstacle(state, shard, successor, now)
    if reason:
        return actions.TransferRefused(shard, reason)
    lease = state.leases.get(shard)
    assert lease is not None
    lease.transfer_id = state.new_id()
    return actions.TransferPlan(
        lease.transfer_id, shard, lease.epoch, successor
    )


def _obstacle(
    state: _state.State, shard: int, successor: places.HostId, now: float
) -> str:
    lease = state.leases.get(shard)
    if lease is None or state.leases.left(shard, now) <= 0:
        return 'the shard is not held here'
    if lease.transfer_id:
        return 'a hand-over of the shard is under way'
    if now < lease.settle_until:
        return 'the take-over waits still run; retry when they have ended'
    if not state.readable(now) or state.log.appends_fail:
        return 'the log is down; the shard stays here until it is back'
    member = state.members.get(successor)
    if member is None or not member.alive or member.draining:
        return f'{successor} is no live host of the zone that takes shards'
    return ''


def commit(
    state: _state.State, planned: actions.TransferPlan, now: float
) -> actions.TransferRefused | None:
    """Stop acting for good and append the transfer.

    Refused while a renewal is in flight: retry a little later.
    """
    shard, successor = planned.shard, planned.successor
    lease = state.leases.get(shard)
    holding = state.ledger.latest(shard)
    if lease is None or lease.transfer_id != planned.transfer_id:
        return actions.TransferRefused(shard, 'no such hand-over is planned')
    if lease.transfer_sent:
        return actions.TransferRefused(shard, 'it is committed already')
    if state.leases.left(shard, now) <= 0:
        lease.transfer_id = ''
        return actions.TransferRefused(shard, 'the lease has run out')
    if holding is None or state.appends.busy(shard) or state.appends.full():
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
        _appends.entries_of(entries),
    )
    state.append(record, _track.Kind.TRANSFER, entries, now)
    return None


def cancel(state: _state.State, planned: actions.TransferPlan) -> bool:
    """Thaw a shard, False when its transfer may be on its way."""
    lease = state.leases.get(planned.shard)
    if lease is None or lease.transfer_sent:
        return False
    if lease.transfer_id != planned.transfer_id:
        return False
    lease.transfer_id = ''
    state.suggested_at += state.timing.lease_wait
    return True


def thaw(state: _state.State, shard: int) -> None:
    """Act again, as the transfer surely has no effect."""
    lease = state.leases.get(shard)
    if lease is None or not lease.transfer_sent:
        return
    lease.transfer_id = ''
    lease.transfer_sent = False
    state.out.append(actions.TransferFailed(shard, lease.epoch))


def receive(state: _state.State, transfer_id: str, now: float) -> bool:
    """Note the arrival of a shard's state, before its transfer is sent."""
    known_at = max(
        _claiming.introduced_at(state, shard) for shard in range(state.shards)
    )
    if now < known_at or state.draining:
        return False
    state.received.setdefault(transfer_id, now)
    if len(state.received) > MAX_RECEIVED:
        del state.received[next(iter(state.received))]
    return True


def suggest(state: _state.State, now: float) -> None:
    """Suggest the hand-over of one shard that is better owned elsewhere."""
    if now < state.suggested_at + state.timing.renew_interval:
        return
    for shard, lease in state.leases.items():
        if lease.transfer_id or not state.leases.may_act(shard, now):
            continue
        best = _successor(state, shard, now)
        if best is not None:
            state.suggested_at = now
            state.out.append(actions.SuggestTransfer(shard, best.host))
            if not state.draining:
                return


def _successor(
    state: _state.State, shard: int, now: float
) -> members_.Member | None:
    names = state.ranking(shard)
    if not names or names[0] == state.me.name:
        return None
    # A newcomer refuses until the hosts of the zone have known it for long.
    known_by = now - state.timing.lease_wait - 2 * state.timing.stagger
    for host, since in state.alive_since.items():
        if host.name == names[0] and since <= known_by:
            return state.members[host]
    return None
