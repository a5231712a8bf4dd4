"""Go on holding shards through the log, or by promises without it."""

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
    """Append one renewal of all held shards when one of them is due."""
    if state.appends.full():
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
    return current and not state.appends.busy(shard)


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
        _appends.entries_of(entries),
    )
    state.append(record, _track.Kind.RENEWAL, entries, now)


def ask_promises(state: _state.State, now: float) -> None:
    """Ask all possible claimants not to claim while the log is silent."""
    if not state.asking.due(now):
        return
    epochs = {
        shard: lease.epoch
        for shard, lease in state.leases.items()
        if not lease.transfer_sent
        and state.leases.left(shard, now) < state.timing.overdue
    }
    if not epochs:
        return
    asked = state.asking.begin(state.new_id(), epochs, now)
    claimants = sorted(state.introductions.claimants)
    request = messages.PromiseRequest(
        asked.request_id,
        [messages.HeldShard(*pair) for pair in sorted(epochs.items())],
        state.timing.promise,
    )
    for host in claimants:
        state.out.append(actions.RequestPromise(host, request))
    extend(state, asked, now)


def extend(state: _state.State, asked: _promises.Round, now: float) -> None:
    """Extend the leases of shards that all claimants have granted."""
    for shard in asked.complete(state.introductions.claimants):
        lease = state.leases.get(shard)
        if lease is None or lease.epoch != asked.epochs[shard]:
            continue
        if state.leases.promise(shard, asked.asked_at, now):
            state.out.append(actions.LeaseResumed(shard, lease.epoch))


def answer_promise(
    state: _state.State,
    holder: places.HostId,
    request: messages.PromiseRequest,
    now: float,
) -> messages.PromiseReply:
    """Grant what this host may leave alone, and remember it."""
    granted: list[int] = []
    if request.duration <= state.timing.lease:
        for held in request.shards:
            if may_promise(state, holder, held, now):
                state.given.give(holder, held, request.duration, now)
                granted.append(held.shard)
    return messages.PromiseReply(request.request_id, granted)


def may_promise(
    state: _state.State,
    holder: places.HostId,
    held: messages.HeldShard,
    now: float,
) -> bool:
    """Tell whether a promise for a shard is safe to give.

    Not while an own claim may still land, nor to a superseded holder, nor
    for what this host holds or could renew itself.
    """
    if not 0 <= held.shard < state.shards:
        return False
    if state.appends.claims(held.shard):
        return False
    own = state.leases.get(held.shard)
    if own is not None and own.epoch >= held.epoch:
        return False
    if state.leases.left(held.shard, now) > 0:
        return False
    latest = state.ledger.latest(held.shard)
    if latest is None or latest.epoch < held.epoch:
        return True
    return latest.epoch == held.epoch and latest.host == holder
