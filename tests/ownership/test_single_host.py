"""Check that one host claims, renews and loses shards."""

import random

from hibiscusslip.model import places
from hibiscusslip.ownership import actions
from hibiscusslip.ownership import owner
from hibiscusslip.ownership import timing
from hibiscusslip.peer import messages
from hibiscusslip.records import zone

TIMING = timing.Timing()
ME = places.HostId('a', 'i1')


def new_owner(now=0.0):
    return owner.Ownership(ME, 'z1', 4, TIMING, random.Random(1), now)


def appends(own, now):
    return [
        action.record
        for action in own.tick(now)
        if isinstance(action, actions.AppendRecord)
    ]


START = 2.0


def claim_all(own, now=START):
    own.on_caught_up(0, now)
    (claim,) = appends(own, now)
    own.on_append_sent(claim.record_id, now)
    own.on_append_outcome(
        claim.record_id, owner.AppendOutcome.APPENDED, now + 0.1
    )
    own.on_record(0, claim, now + 0.2)
    return claim


def test_claims_free_shards_in_one_record():
    own = new_owner()
    claim = claim_all(own)
    assert [entry.shard for entry in claim.entries] == [0, 1, 2, 3]
    assert own.owned(START + 0.2) == [0, 1, 2, 3]
    assert own.may_act(0, START + 0.2)


def test_lease_counts_from_before_the_send():
    own = new_owner()
    claim_all(own)
    assert own.may_act(0, START + TIMING.lease - 0.01)
    assert not own.may_act(0, START + TIMING.lease)


def test_nothing_is_held_before_the_log_shows_it():
    own = new_owner()
    own.on_caught_up(0, START)
    (claim,) = appends(own, START)
    own.on_append_outcome(claim.record_id, owner.AppendOutcome.APPENDED, START)
    assert own.owned(START) == []


def test_renews_in_one_record_and_extends_the_lease():
    own = new_owner()
    claim_all(own)
    assert appends(own, START + 1.0) == []
    due = START + TIMING.renew_interval
    (renewal,) = appends(own, due)
    assert isinstance(renewal, zone.Renewal)
    assert len(renewal.entries) == 4
    own.on_record(1, renewal, due + 1)
    assert own.lease_left(0, due + 1) == TIMING.lease - 1


def test_loses_a_shard_to_a_later_claim():
    own = new_owner()
    claim_all(own)
    rival = zone.Claim('r', 'b', 'j1', [zone.ClaimEntry(2, 1, 1)])
    own.on_record(1, rival, 5.0)
    assert actions.ShardLost(2, 1) in own.tick(5.0)
    assert own.owned(5.0) == [0, 1, 3]


def test_single_host_goes_on_without_the_log():
    own = new_owner()
    claim_all(own)
    now = START
    while now < 100:
        now += 0.5
        for record in appends(own, now):
            own.on_append_outcome(
                record.record_id, owner.AppendOutcome.REFUSED, now
            )
        assert own.may_act(0, now)


def test_resumed_holding_waits_out_sends_of_others():
    own = new_owner()
    claim_all(own)
    lapsed = START + TIMING.lease + 1.0
    assert not own.may_act(0, lapsed)
    assert actions.LeaseResumed(0, 1) in own.tick(lapsed)
    assert own.settling(0, lapsed + TIMING.settle)
    assert own.holds(0, lapsed + TIMING.settle)
    assert not own.may_act(0, lapsed + TIMING.settle)
    assert own.may_act(0, lapsed + TIMING.safe_wait(TIMING.settle))


def test_promises_bind_in_hand_overs():
    own = new_owner()
    holder = places.HostId('b', 'j1')
    held = messages.HeldShard(0, 1)
    claim = zone.Claim('r', 'b', 'j1', [zone.ClaimEntry(0, 0, 0)])
    own.on_record(0, claim, START)
    request = messages.PromiseRequest('p', [held], TIMING.promise)
    reply = own.on_promise_request(holder, request, START)
    assert reply.granted == [0]
    entries = [zone.ClaimEntry(0, 1, 1)]
    own.on_record(1, zone.Transfer('t', 'b', 'j1', 'a', 'i1', entries), START)
    assert not own.may_act(0, START + 0.1)


def test_no_promise_while_an_own_claim_may_land():
    own = new_owner()
    own.on_caught_up(0, START)
    (claim,) = appends(own, START)
    own.on_append_outcome(claim.record_id, owner.AppendOutcome.UNKNOWN, START)
    request = messages.PromiseRequest(
        'p', [messages.HeldShard(0, 1)], TIMING.promise
    )
    holder = places.HostId('b', 'j1')
    assert own.on_promise_request(holder, request, START).granted == []
