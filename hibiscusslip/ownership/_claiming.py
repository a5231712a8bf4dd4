"""Decide when to claim a shard."""

import math

from hibiscusslip.ownership import _appends
from hibiscusslip.ownership import _state
from hibiscusslip.ownership import _track
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import ledger
from hibiscusslip.peer import messages
from hibiscusslip.records import zone as zone_records

DISCOVERY_HEARTBEATS = 3
MAX_BOOTSTRAPS = 8


def safe_claim_time(state: _state.State, shard: int) -> float:
    """Return the earliest time for a claim of the shard, inf for never.

    Clocks only decide when to try; the order of the log decides whether the
    claim is valid.
    """
    expiry = _lease_expiry(state, shard)
    holding = state.ledger.latest(shard)
    if holding is not None and holding.epoch == 0:
        return expiry
    return max(
        expiry,
        introduced_at(state, shard),
        state.given_promises.binding_until(shard),
    )


def _lease_expiry(state: _state.State, shard: int) -> float:
    """Return when the lease by the shard's latest entry has expired."""
    holding = state.ledger.latest(shard)
    if holding is None:
        return state.ledger.last_entry_read_at(shard) + state.timing.lease_wait
    if holding.host is None:
        # Wait for the peers' heartbeats first, so that few shards move later.
        discovered_by = (
            state.started_at + DISCOVERY_HEARTBEATS * state.timing.heartbeat
        )
        return max(state.log.caught_up_since, discovered_by)
    if holding.host == state.me:
        return math.inf
    ended_at = state.ended_at(holding.host)
    if ended_at is not None:
        return ended_at
    return holding.read_at + state.timing.lease_wait


def introduced_at(state: _state.State, shard: int) -> float:
    """Return when every possible holder needs this host's promise.

    Infinite until the host list was read and each possible holder knows this
    host as a claimant.
    """
    if not state.listed:
        return math.inf
    return max(
        map(
            state.introductions.promises_expire_at,
            state.potential_holders(shard),
        ),
        default=-math.inf,
    )


def send_introductions(state: _state.State, now: float) -> None:
    """Introduce this host to the peers of its zone."""
    if state.draining:
        return
    for host, member in state.members.items():
        due = state.introductions.is_due(host, now)
        if not member.alive or state.ended_at(host) is not None or not due:
            continue
        request = messages.IntroductionRequest(state.new_id())
        state.introductions.mark_sent(host, request.request_id, now)
        state.queued_actions.append(actions.Introduce(host, request))


def try_claims(state: _state.State, now: float) -> None:
    """Append one claim of all shards that this host should own.

    Shards whose holding is unknown are first freed by a bootstrap record.
    """
    if state.draining or not state.is_log_current(now):
        return
    if now < state.log.next_claim_at or state.appends.is_full():
        return
    claims: dict[int, tuple[int, int]] = {}
    unknown: list[int] = []
    for shard in range(state.shards):
        if not _should_claim(state, shard, now):
            continue
        holding = state.ledger.latest(shard)
        if holding is None:
            unknown.append(shard)
        else:
            claims[shard] = (holding.epoch, holding.seq)
    if claims:
        _append_claim(state, claims, now)
    for shard in unknown[:MAX_BOOTSTRAPS]:
        _append_bootstrap(state, shard, now)
    if claims or unknown:
        pause = state.timing.renew_interval * state.rng.uniform(0.5, 1.0)
        state.log.next_claim_at = now + pause


def _should_claim(state: _state.State, shard: int, now: float) -> bool:
    if now < _lease_expiry(state, shard) or state.appends.is_blocked(shard):
        return False
    rank_delay = state.rank(shard) * state.timing.stagger
    return now >= safe_claim_time(state, shard) + rank_delay


def _append_claim(
    state: _state.State, claims: dict[int, tuple[int, int]], now: float
) -> None:
    record = zone_records.Claim(
        state.new_id(),
        state.me.name,
        state.me.incarnation,
        _appends.claim_entries(claims),
    )
    state.append(record, _track.EntryKind.CLAIM, claims, now)


def _append_bootstrap(state: _state.State, shard: int, now: float) -> None:
    if state.appends.is_full():
        return
    as_of = state.ledger.next_offset - 1
    record = ledger.bootstrap_record(state.new_id(), shard, as_of)
    state.append(record, _track.EntryKind.BOOTSTRAP, {shard: (0, 0)}, now)
