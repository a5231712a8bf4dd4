"""Extend leases by renewals in the log, or by promises without it."""

from hibiscusslip.model import places
from hibiscusslip.ownership import _appends
from hibiscusslip.ownership import _leases
from hibiscusslip.ownership import _promises
from hibiscusslip.ownership import _state
from hibiscusslip.ownership import _track
from hibiscusslip.ownership import actions
from hibiscusslip.peer import messages
from hibiscusslip.records import zone as zone_records


def renew(state: _state.State, now: float) -> None:
    """Append one renewal for all held shards when one of them is due.

    Shards that are due within half an interval are renewed along with it.
    """
    if state.appends.is_full():
        return
    interval = state.timing.renew_interval
    entries: dict[int, tuple[int, int]] = {}
    due = False
    for shard, lease in state.leases.items():
        holding = state.ledger.latest(shard)
        if holding is None or not _renewable(state, shard, lease, holding):
            continue
        if now >= lease.last_sent + interval / 2:
            entries[shard] = (holding.epoch, holding.seq)
        due = due or now >= lease.last_sent + interval
    if due:
        _append_renewal(state, entries, now)


def _renewable(
    state: _state.State,
    shard: int,
    lease: _leases.Lease,
    holding: _track.Holding,
) -> bool:
    current = holding.host == state.me and holding.epoch == lease.epoch
    return current and not state.appends.is_blocked(shard)


def _append_renewal(
    state: _state.State, entries: dict[int, tuple[int, int]], now: float
) -> None:
    for shard in entries:
        lease = state.leases.get(shard)
        assert lease is not None
        lease.last_sent = now
    record = zone_records.Renewal(
        state.new_id(),
        state.me.name,
        state.me.incarnation,
        _appends.claim_entries(entries),
    )
    state.append(record, _track.EntryKind.RENEWAL, entries, now)


def request_promises(state: _state.State, now: float) -> None:
    """Request promises of all claimants while renewals are overdue."""
    if not state.promise_requests.is_due(now):
        return
    epochs = {
        shard: lease.epoch
        for shard, lease in state.leases.items()
        if not lease.transfer_sent
        and state.leases.time_left(shard, now) < state.timing.promise_threshold
    }
    if not epochs:
        return
    round_ = state.promise_requests.begin_round(state.new_id(), epochs, now)
    claimants = sorted(state.introductions.claimants)
    request = messages.PromiseRequest(
        round_.request_id,
        [messages.HeldShard(*pair) for pair in sorted(epochs.items())],
        state.timing.promise,
    )
    for host in claimants:
        state.queued_actions.append(actions.RequestPromise(host, request))
    extend_leases(state, round_, now)


def extend_leases(
    state: _state.State, round_: _promises.PromiseRound, now: float
) -> None:
    """Extend the leases of shards that all claimants granted."""
    for shard in round_.granted_by_all(state.introductions.claimants):
        lease = state.leases.get(shard)
        if lease is None or lease.epoch != round_.epochs[shard]:
            continue
        if state.leases.extend_by_promises(shard, round_.sent_at, now):
            state.queued_actions.append(
                actions.LeaseResumed(shard, lease.epoch)
            )


def answer_promise_request(
    state: _state.State,
    holder: places.HostId,
    request: messages.PromiseRequest,
    now: float,
) -> messages.PromiseReply:
    """Grant and record the requested promises that are safe to grant."""
    granted: list[int] = []
    if request.duration <= state.timing.lease:
        for held in request.shards:
            if may_promise(state, holder, held, now):
                state.given_promises.give(holder, held, request.duration, now)
                granted.append(held.shard)
    return messages.PromiseReply(request.request_id, granted)


def may_promise(
    state: _state.State,
    holder: places.HostId,
    held: messages.HeldShard,
    now: float,
) -> bool:
    """Return True if a promise for a shard is safe to grant.

    It isn't while a claim by this host may still be appended, for a
    superseded holder, or for a shard that this host holds or may renew.
    """
    if not 0 <= held.shard < state.shards:
        return False
    if state.appends.claim_may_take_effect(held.shard):
        return False
    own = state.leases.get(held.shard)
    if own is not None and own.epoch >= held.epoch:
        return False
    if state.leases.time_left(held.shard, now) > 0:
        return False
    latest = state.ledger.latest(held.shard)
    if latest is None or latest.epoch < held.epoch:
        return True
    return latest.epoch == held.epoch and latest.host == holder
