"""Decide when to try to take a shard over."""

import math

from hibiscusslip.ownership import _appends
from hibiscusslip.ownership import _state
from hibiscusslip.ownership import _track
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import ledger
from hibiscusslip.peer import messages
from hibiscusslip.records import zone as zone_records

HEARD_BY = 3
MAX_FOUNDINGS = 8


def claim_at(state: _state.State, shard: int) -> float:
    """Return from when on a claim of the shard is safe, inf for never.

    Clocks only decide when to try; the log decides what becomes of it.
    """
    released = _released_at(state, shard)
    holding = state.ledger.latest(shard)
    if holding is not None and holding.epoch == 0:
        return released
    return max(released, introduced_at(state, shard), state.given.until(shard))


def _released_at(state: _state.State, shard: int) -> float:
    """Return when the lease that the log's last entry gives has run out."""
    holding = state.ledger.latest(shard)
    if holding is None:
        return state.ledger.last_entry(shard) + state.timing.lease_wait
    if holding.host is None:
        # Hear of the others first, so that few shards move afterwards.
        heard_by = state.started_at + HEARD_BY * state.timing.heartbeat
        return max(state.log.caught_up_since, heard_by)
    if holding.host == state.me:
        return math.inf
    ended_at = state.ended_at(holding.host)
    if ended_at is not None:
        return ended_at
    return holding.read_at + state.timing.lease_wait


def introduced_at(state: _state.State, shard: int) -> float:
    """Return when each host that may hold the shard knew this one."""
    if not state.listed:
        return math.inf
    return max(
        map(state.introductions.clear_at, state.may_hold(shard)),
        default=-math.inf,
    )


def introduce(state: _state.State, now: float) -> None:
    """Introduce this host to the others of its zone."""
    if state.draining:
        return
    for host, member in state.members.items():
        due = state.introductions.due(host, now)
        if not member.alive or state.ended_at(host) is not None or not due:
            continue
        request = messages.IntroductionRequest(state.new_id())
        state.introductions.sent(host, request.request_id, now)
        state.out.append(actions.Introduce(host, request))


def try_claims(state: _state.State, now: float) -> None:
    """Append one claim of all shards that this host should take over."""
    if state.draining or not state.readable(now):
        return
    if now < state.log.next_claim_at or state.appends.full():
        return
    claims: dict[int, tuple[int, int]] = {}
    unknown: list[int] = []
    for shard in range(state.shards):
        if not _wanted(state, shard, now):
            continue
        holding = state.ledger.latest(shard)
        if holding is None:
            unknown.append(shard)
        else:
            claims[shard] = (holding.epoch, holding.seq)
    if claims:
        _claim(state, claims, now)
    for shard in unknown[:MAX_FOUNDINGS]:
        _found(state, shard, now)
    if claims or unknown:
        pause = state.timing.renew_interval * state.rng.uniform(0.5, 1.0)
        state.log.next_claim_at = now + pause


def _wanted(state: _state.State, shard: int, now: float) -> bool:
    if now < _released_at(state, shard) or state.appends.busy(shard):
        return False
    turn = state.rank(shard) * state.timing.stagger
    return now >= claim_at(state, shard) + turn


def _claim(
    state: _state.State, claims: dict[int, tuple[int, int]], now: float
) -> None:
    record = zone_records.Claim(
        state.new_id(),
        state.me.name,
        state.me.incarnation,
        _appends.entries_of(claims),
    )
    state.append(record, _track.Kind.CLAIM, claims, now)


def _found(state: _state.State, shard: int, now: float) -> None:
    if state.appends.full():
        return
    as_of = state.ledger.next_offset - 1
    record = ledger.founding(state.new_id(), shard, as_of)
    state.append(record, _track.Kind.FOUNDING, {shard: (0, 0)}, now)
