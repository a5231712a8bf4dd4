"""Decide which shards this host owns, and until when it may act."""

import random

from hibiscusslip.membership import members as members_
from hibiscusslip.model import places
from hibiscusslip.ownership import _appends
from hibiscusslip.ownership import _claiming
from hibiscusslip.ownership import _handing
from hibiscusslip.ownership import _reading
from hibiscusslip.ownership import _renewing
from hibiscusslip.ownership import _state
from hibiscusslip.ownership import _track
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import ledger as ledger_
from hibiscusslip.ownership import timing as timing_
from hibiscusslip.peer import messages
from hibiscusslip.records import zone as zone_records

AppendOutcome = _appends.AppendOutcome


class Ownership:
    """Hold one host's part in owning the shards of its zone.

    Times are seconds on this host's monotonic clock. Each call may queue
    actions; `tick` returns them, so call it after every other call too.
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
        """Return the ledger, to check other records against."""
        return self._state.ledger

    @property
    def timing(self) -> timing_.Timing:
        """Return the durations that ownership rests on."""
        return self._state.timing

    @property
    def zone(self) -> str:
        """Return the name of the zone whose shards are decided on."""
        return self._state.zone

    @property
    def draining(self) -> bool:
        """Tell whether this host takes no more shards."""
        return self._state.draining

    @property
    def appended(self) -> int:
        """Return how many appends were asked for so far."""
        return self._state.log.appended

    def on_record(
        self, offset: int, record: zone_records.ZoneRecord | None, now: float
    ) -> ledger_.Applied:
        """Take in the next record; None for bytes that don't decode.

        Raises LedgerGap when records are missing: call `on_gap` then.
        """
        return _reading.take_in(self._state, offset, record, now)

    def on_gap(self, first_offset: int, now: float) -> None:
        """Read on from the oldest kept offset, earlier records are gone."""
        self._state.ledger.restart(first_offset, now)
        self._state.appends.lose_track()
        self._state.baseline_at = now

    def on_caught_up(self, end_offset: int, now: float) -> None:
        """Note that the log was read up to its end just now.

        Claims need that at least once a renew interval, so wait for new
        records no longer than that.
        """
        if self._state.ledger.next_offset < end_offset:
            return
        log = self._state.log
        if not self._state.readable(now):
            log.caught_up_since = now
        log.caught_up_at = now
        self._state.appends.caught_up()

    def on_append_sent(self, record_id: str, sent_at: float) -> None:
        """Note the time right before a record is sent the first time."""
        self._state.appends.sent(record_id, sent_at)

    def on_append_outcome(
        self, record_id: str, settled: AppendOutcome, now: float
    ) -> None:
        """Note an append's answer; a lost one is settled by the log."""
        state = self._state
        state.log.appends_fail = settled is not AppendOutcome.APPENDED
        refused = state.appends.settle(record_id, settled)
        if refused is not None and refused.kind is _track.Kind.TRANSFER:
            for shard in refused.shards:
                _handing.thaw(state, shard)

    def set_members(
        self, members: list[members_.Member], now: float, listed: bool = True
    ) -> None:
        """Take over what membership knows of the hosts of all zones.

        `listed` tells that this process has read the platform's host list:
        without it there may be hosts that nobody told of.
        """
        state = self._state
        before = state.candidates()
        state.members = {
            member.host: member
            for member in members
            if member.zone == state.zone and member.host != state.me
        }
        state.listed = state.listed or listed
        state.note_members(now)
        if state.candidates() != before:
            state.forget_rankings()

    def on_process_ended(self, host: places.HostId, now: float) -> None:
        """Note the proof that a host's process has ended for good.

        Silence is no proof: a cut-off host may go on by promises.
        """
        self._state.mark_gone(host, now)

    def on_promise_request(
        self, host: places.HostId, request: messages.PromiseRequest, now: float
    ) -> messages.PromiseReply:
        """Promise not to claim what may be left alone."""
        return _renewing.answer_promise(self._state, host, request, now)

    def on_promise_reply(
        self, host: places.HostId, reply: messages.PromiseReply, now: float
    ) -> None:
        """Note which shards a host promised not to claim."""
        asked = self._state.asking.reply(host, reply)
        if asked is not None:
            _renewing.extend(self._state, asked, now)

    def on_introduction_request(
        self,
        host: places.HostId,
        request: messages.IntroductionRequest,
        now: float,
    ) -> messages.IntroductionReply | messages.Refusal:
        """Count a newcomer among the hosts that may claim."""
        state = self._state
        if host in state.gone:
            return messages.Refusal(
                'gone', f'{host} has ended; start a new incarnation'
            )
        if not state.introductions.admit(host, now):
            return messages.Refusal(
                'full', 'too many hosts in the zone; remove dead ones'
            )
        return messages.IntroductionReply(
            request.request_id, state.given.open(now)
        )

    def on_introduction_reply(
        self,
        host: places.HostId,
        reply: messages.IntroductionReply,
        now: float,
    ) -> None:
        """Note that a host counts this one among those that may claim."""
        asked_at = self._state.introductions.confirmed(host, reply, now)
        if asked_at is not None:
            self._state.outlive(host, asked_at, now)

    def on_answered(
        self, host: places.HostId, asked_at: float, now: float
    ) -> None:
        """Note that a host answered a heartbeat sent at `asked_at`."""
        self._state.outlive(host, asked_at, now)

    def tick(self, now: float) -> list[actions.Action]:
        """Return what to do now; call it at least once a heartbeat."""
        state = self._state
        _reading.await_introductions(state, now)
        _renewing.renew(state, now)
        _renewing.ask_promises(state, now)
        _claiming.introduce(state, now)
        _claiming.try_claims(state, now)
        _handing.suggest(state, now)
        _reading.ask_snapshots(state, now)
        out, state.out = state.out, []
        return out

    def may_act(self, shard: int, now: float) -> bool:
        """Tell whether a send to the shard's endpoints may begin now."""
        return self._state.leases.may_act(shard, now)

    def holds(self, shard: int, now: float) -> bool:
        """Tell whether the shard is held, waits still running or not."""
        return self._state.leases.left(shard, now) > 0

    def lease_left(self, shard: int, now: float) -> float:
        """Return the seconds for which the shard is held, 0 if not."""
        return self._state.leases.left(shard, now)

    def settling(self, shard: int, now: float) -> bool:
        """Tell whether the take-over waits still run: start nothing."""
        return self._state.leases.settling(shard, now)

    def epoch(self, shard: int) -> int:
        """Return the epoch at which the shard was last held here, or 0."""
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
        """Return the others that hold or held shards and may still live.

        Tell membership of them before each listing, so that it notes whom
        the list leaves out.
        """
        state = self._state
        hosts: set[places.HostId] = set()
        for shard in range(state.shards):
            hosts.update(state.possible_holders.get(shard, ()))
            hosts.update(state.ledger.hosts_of_unknown(shard))
        hosts.discard(state.me)
        return sorted(h for h in hosts if state.ended_at(h) is None)

    def drain(self, now: float) -> None:
        """Take no more shards and suggest to hand over all that are held."""
        self._state.draining = True
        self._state.appends.renounce()
        self._state.forget_rankings()

    def plan_transfer(
        self, shard: int, successor: places.HostId, now: float
    ) -> actions.TransferPlan | actions.TransferRefused:
        """Freeze a shard for its successor, or tell why that can't be."""
        return _handing.plan(self._state, shard, successor, now)

    def commit_transfer(
        self, plan: actions.TransferPlan, now: float
    ) -> actions.TransferRefused | None:
        """Pass the shard on, once its successor has confirmed its state."""
        return _handing.commit(self._state, plan, now)

    def cancel_transfer(self, plan: actions.TransferPlan) -> bool:
        """Act on here again, False when the transfer may be on its way."""
        return _handing.cancel(self._state, plan)

    def on_state_received(self, transfer_id: str, now: float) -> bool:
        """Note a shard's state, right before its arrival is confirmed.

        False while a host that may resume a shard doesn't know this one:
        refuse the hand-over then.
        """
        return _handing.receive(self._state, transfer_id, now)
