"""Decide which shards this host owns and when it may act for them."""

import random

from hibiscusslip.membership import members as members_
from hibiscusslip.model import places
from hibiscusslip.ownership import _appends
from hibiscusslip.ownership import _claiming
from hibiscusslip.ownership import _reading
from hibiscusslip.ownership import _renewing
from hibiscusslip.ownership import _state
from hibiscusslip.ownership import _track
from hibiscusslip.ownership import _transferring
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import ledger as ledger_
from hibiscusslip.ownership import timing as timing_
from hibiscusslip.peer import messages
from hibiscusslip.records import zone as zone_records

AppendOutcome = _appends.AppendOutcome


class Ownership:
    """Run the ownership protocol of one host for the shards of its zone.

    Times are seconds on this host's monotonic clock. Each call may queue
    actions that `tick` returns, so call `tick` after every other call.
    """

    def __init__(
        self,
        me: places.HostId,
        zone: str,
        shards: int,
        timing: timing_.Timing,
        rng: random.Random,
        now: float,
    ) -> None:
        self._state = _state.State(me, zone, shards, timing, rng, now)

    @property
    def ledger(self) -> ledger_.Ledger:
        """Return the ledger, for checks of the epochs in other records."""
        return self._state.ledger

    @property
    def timing(self) -> timing_.Timing:
        """Return the durations of the protocol."""
        return self._state.timing

    @property
    def zone(self) -> str:
        """Return the name of the zone."""
        return self._state.zone

    @property
    def draining(self) -> bool:
        """Return True if this host acquires no more shards."""
        return self._state.draining

    @property
    def appended(self) -> int:
        """Return how many appends were requested so far."""
        return self._state.log.appended

    def on_record(
        self, offset: int, record: zone_records.ZoneRecord | None, now: float
    ) -> ledger_.Applied:
        """Apply the next record; None for bytes that don't decode.

        Raise LedgerGap if records are missing; call `on_gap` then.
        """
        return _reading.apply_record(self._state, offset, record, now)

    def on_gap(self, first_offset: int, now: float) -> None:
        """Continue at the oldest retained offset after missed records."""
        self._state.ledger.restart(first_offset, now)
        self._state.appends.mark_all_unknown()
        self._state.reading_since = now

    def on_caught_up(self, end_offset: int, now: float) -> None:
        """Record that the log was just read up to its end.

        Claims require this once per renew interval, so wait no longer than
        that for new records.
        """
        if self._state.ledger.next_offset < end_offset:
            return
        log = self._state.log
        if not self._state.is_log_current(now):
            log.caught_up_since = now
        log.caught_up_at = now
        self._state.appends.on_caught_up()

    def on_append_sent(self, record_id: str, sent_at: float) -> None:
        """Record the time right before a record is first sent."""
        self._state.appends.mark_sent(record_id, sent_at)

    def on_append_outcome(
        self, record_id: str, outcome: AppendOutcome, now: float
    ) -> None:
        """Record an append's outcome; the log resolves an unknown one."""
        state = self._state
        state.log.appends_failing = outcome is not AppendOutcome.APPENDED
        refused = state.appends.record_outcome(record_id, outcome)
        if refused is not None and refused.kind is _track.EntryKind.TRANSFER:
            for shard in refused.shards:
                _transferring.abort(state, shard)

    def set_members(
        self, members: list[members_.Member], now: float, listed: bool = True
    ) -> None:
        """Set the known hosts of all zones.

        `listed` is True if this process has read the platform's host list;
        before that, there may be hosts that no heartbeat reported.
        """
        state = self._state
        before = state.candidates()
        state.members = {
            member.host: member
            for member in members
            if member.zone == state.zone and member.host != state.me
        }
        state.listed = state.listed or listed
        state.record_members(now)
        if state.candidates() != before:
            state.clear_rankings()

    def on_process_ended(self, host: places.HostId, now: float) -> None:
        """Record that a host's process has provably ended.

        A lack of heartbeats is no proof: an isolated host may extend its
        leases by promises.
        """
        self._state.mark_ended(host, now)

    def on_promise_request(
        self, host: places.HostId, request: messages.PromiseRequest, now: float
    ) -> messages.PromiseReply:
        """Return the promises that this host may grant."""
        return _renewing.answer_promise_request(
            self._state, host, request, now
        )

    def on_promise_reply(
        self, host: places.HostId, reply: messages.PromiseReply, now: float
    ) -> None:
        """Record which shards a host promised not to claim."""
        round_ = self._state.promise_requests.on_reply(host, reply)
        if round_ is not None:
            _renewing.extend_leases(self._state, round_, now)

    def on_introduction_request(
        self,
        host: places.HostId,
        request: messages.IntroductionRequest,
        now: float,
    ) -> messages.IntroductionReply | messages.Refusal:
        """Add a host to the claimants, or refuse it."""
        state = self._state
        if host in state.ended_processes:
            return messages.Refusal(
                'gone', f'{host} has ended; start a new incarnation'
            )
        if not state.introductions.admit(host, now):
            return messages.Refusal(
                'full', 'too many hosts in the zone; remove dead ones'
            )
        return messages.IntroductionReply(
            request.request_id, state.given_promises.unexpired(now)
        )

    def on_introduction_reply(
        self,
        host: places.HostId,
        reply: messages.IntroductionReply,
        now: float,
    ) -> None:
        """Record that a peer counts this host among its claimants."""
        sent_at = self._state.introductions.confirm(host, reply, now)
        if sent_at is not None:
            self._state.mark_older_ended(host, sent_at, now)

    def on_heartbeat_ack(
        self, host: places.HostId, sent_at: float, now: float
    ) -> None:
        """Record that a host answered a heartbeat sent at `sent_at`."""
        self._state.mark_older_ended(host, sent_at, now)

    def tick(self, now: float) -> list[actions.Action]:
        """Return the actions due now; call it once per heartbeat or more."""
        state = self._state
        _reading.await_introductions(state, now)
        _renewing.renew(state, now)
        _renewing.request_promises(state, now)
        _claiming.send_introductions(state, now)
        _claiming.try_claims(state, now)
        _transferring.suggest_transfers(state, now)
        _reading.request_snapshots(state, now)
        queued_actions, state.queued_actions = state.queued_actions, []
        return queued_actions

    def may_act(self, shard: int, now: float) -> bool:
        """Return True if a send to the shard's endpoints may begin now."""
        return self._state.leases.may_act(shard, now)

    def holds(self, shard: int, now: float) -> bool:
        """Return True if the shard is held, even if sends may not begin."""
        return self._state.leases.time_left(shard, now) > 0

    def lease_left(self, shard: int, now: float) -> float:
        """Return the remaining seconds of the shard's lease, or 0."""
        return self._state.leases.time_left(shard, now)

    def is_settling(self, shard: int, now: float) -> bool:
        """Return True while sends of the previous owner may still arrive."""
        return self._state.leases.is_settling(shard, now)

    def epoch(self, shard: int) -> int:
        """Return the epoch of the shard's lease, expired or not, or 0."""
        lease = self._state.leases.get(shard)
        return 0 if lease is None else lease.epoch

    def owned(self, now: float) -> list[int]:
        """Return the shards that are held now."""
        return [
            shard
            for shard, _ in self._state.leases.items()
            if self.holds(shard, now)
        ]

    def possible_holders(self) -> list[places.HostId]:
        """Return the peers that hold or held shards and may still be running.

        Pass them to membership before each host list, so that it detects
        which of them the list omits.
        """
        state = self._state
        hosts: set[places.HostId] = set()
        for shard in range(state.shards):
            hosts.update(state.holders_in_log.get(shard, ()))
            hosts.update(state.ledger.hosts_named_while_unknown(shard))
        hosts.discard(state.me)
        return sorted(h for h in hosts if state.ended_at(h) is None)

    def drain(self, now: float) -> None:
        """Acquire no more shards and suggest the transfer of all held ones."""
        self._state.draining = True
        self._state.appends.abandon_claims()
        self._state.clear_rankings()

    def plan_transfer(
        self, shard: int, successor: places.HostId, now: float
    ) -> actions.TransferPlan | actions.TransferRefused:
        """Freeze a shard for its transfer, or return why that is refused."""
        return _transferring.plan(self._state, shard, successor, now)

    def commit_transfer(
        self, plan: actions.TransferPlan, now: float
    ) -> actions.TransferRefused | None:
        """Transfer a shard once its successor has confirmed the state."""
        return _transferring.commit(self._state, plan, now)

    def cancel_transfer(self, plan: actions.TransferPlan) -> bool:
        """Unfreeze a shard; return False if its transfer may be in flight."""
        return _transferring.cancel(self._state, plan)

    def on_state_received(self, transfer_id: str, now: float) -> bool:
        """Record a shard's state, right before its arrival is confirmed.

        Return False if a host that may resume a shard doesn't know this one,
        or if this host is draining: refuse the transfer then.
        """
        return _transferring.accept_state(self._state, transfer_id, now)
