"""Check how one host claims, renews and loses shards."""

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


def appends(ownership, now):
    return [
        action.record
        for action in ownership.tick(now)
        if isinstance(action, actions.AppendRecord)
    ]


START_S = 2.0


def claim_all(ownership, now=START_S):
    ownership.on_caught_up(0, now)
    (claim,) = appends(ownership, now)
    ownership.on_append_sent(claim.record_id, now)
    ownership.on_append_outcome(
        claim.record_id, owner.AppendOutcome.APPENDED, now + 0.1
    )
    ownership.on_record(0, claim, now + 0.2)
    return claim


def test_claims_free_shards_in_one_record():
    ownership = new_owner()
    claim = claim_all(ownership)
    assert [entry.shard for entry in claim.entries] == [0, 1, 2, 3]
    assert ownership.owned(START_S + 0.2) == [0, 1, 2, 3]
    assert ownership.may_act(0, START_S + 0.2)


def test_lease_counts_from_before_the_send():
    ownership = new_owner()
    claim_all(ownership)
    assert ownership.may_act(0, START_S + TIMING.lease - 0.01)
    assert not ownership.may_act(0, START_S + TIMING.lease)


def test_nothing_is_held_before_the_log_shows_it():
    ownership = new_owner()
    ownership.on_caught_up(0, START_S)
    (claim,) = appends(ownership, START_S)
    ownership.on_append_outcome(
        claim.record_id, owner.AppendOutcome.APPENDED, START_S
    )
    assert ownership.owned(START_S) == []


def test_renews_in_one_record_and_extends_the_lease():
    ownership = new_owner()
    claim_all(ownership)
    assert appends(ownership, START_S + 1.0) == []
    due = START_S + TIMING.renew_interval
    (renewal,) = appends(ownership, due)
    assert isinstance(renewal, zone.Renewal)
    assert len(renewal.entries) == 4
    ownership.on_record(1, renewal, due + 1)
    assert ownership.lease_left(0, due + 1) == TIMING.lease - 1


def test_loses_a_shard_to_a_later_claim():
    ownership = new_owner()
    claim_all(ownership)
    rival = zone.Claim('r', 'b', 'j1', [zone.ClaimEntry(2, 1, 1)])
    ownership.on_record(1, rival, 5.0)
    assert actions.ShardLost(2, 1) in ownership.tick(5.0)
    assert ownership.owned(5.0) == [0, 1, 3]


def test_single_host_retains_its_leases_without_the_log():
    ownership = new_owner()
    claim_all(ownership)
    now = START_S
    while now < 100:
        now += 0.5
        for record in appends(ownership, now):
            ownership.on_append_outcome(
                record.record_id, owner.AppendOutcome.REFUSED, now
            )
        assert ownership.may_act(0, now)


def test_resumed_lease_waits_for_sends_of_other_owners():
    ownership = new_owner()
    claim_all(ownership)
    after_expiry = START_S + TIMING.lease + 1.0
    assert not ownership.may_act(0, after_expiry)
    assert actions.LeaseResumed(0, 1) in ownership.tick(after_expiry)
    assert ownership.is_settling(0, after_expiry + TIMING.settle)
    assert ownership.holds(0, after_expiry + TIMING.settle)
    assert not ownership.may_act(0, after_expiry + TIMING.settle)
    assert ownership.may_act(0, after_expiry + TIMING.safe_wait(TIMING.settle))


def test_promises_are_binding_in_transfers():
    ownership = new_owner()
    holder = places.HostId('b', 'j1')
    held = messages.HeldShard(0, 1)
    claim = zone.Claim('r', 'b', 'j1', [zone.ClaimEntry(0, 0, 0)])
    ownership.on_record(0, claim, START_S)
    request = messages.PromiseRequest('p', [held], TIMING.promise)
    reply = ownership.on_promise_request(holder, request, START_S)
    assert reply.granted == [0]
    entries = [zone.ClaimEntry(0, 1, 1)]
    ownership.on_record(
        1, zone.Transfer('t', 'b', 'j1', 'a', 'i1', entries), START_S
    )
    assert not ownership.may_act(0, START_S + 0.1)


def test_no_promise_while_a_claim_may_still_be_appended():
    ownership = new_owner()
    ownership.on_caught_up(0, START_S)
    (claim,) = appends(ownership, START_S)
    ownership.on_append_outcome(
        claim.record_id, owner.AppendOutcome.UNKNOWN, START_S
    )
    request = messages.PromiseRequest(
        'p', [messages.HeldShard(0, 1)], TIMING.promise
    )
    holder = places.HostId('b', 'j1')
    assert ownership.on_promise_request(holder, request, START_S).granted == []
