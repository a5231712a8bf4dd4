"""Check how long each combination of faults interrupts ownership."""

import pytest

from hibiscusslip.ownership import actions
from tests.fuzz import world

LEASE_S = world.TIMING.lease
MAX_FAILOVER_S = world.TIMING.lease_wait + world.SETTLE_S + 3.0


def new_zone(*names, seed=1):
    zone = world.World(seed, world.InjectedFaults())
    for name in names:
        zone.start(name)
    run(zone, 20.0)
    for shard in range(world.SHARDS):
        assert zone.acting(shard)
    return zone


def run(zone, seconds):
    """Advance; return for how many seconds no host acted, by shard."""
    idle_s = [0.0] * world.SHARDS
    for _ in range(int(seconds / world.STEP_S)):
        zone.advance(1)
        for shard in range(world.SHARDS):
            if not zone.acting(shard):
                idle_s[shard] += world.STEP_S
    return idle_s


def host(zone, name):
    return next(h for h in zone.hosts if h.id.name == name)


def holder(zone, shard=0):
    (acting,) = zone.acting(shard)
    return next(h for h in zone.hosts if h.id == acting)


def set_log(zone, mode, hosts=None):
    for each in hosts or zone.hosts:
        each.log_mode = mode


def isolate(zone, name):
    for other in 'abcd':
        if other != name:
            zone.partitions.add(frozenset((name, other)))


def test_unavailable_log_interrupts_nothing():
    zone = new_zone('a', 'b', 'c')
    set_log(zone, 'cut')
    assert run(zone, 60.0) == [0.0, 0.0]


def test_lost_append_responses_interrupt_nothing():
    zone = new_zone('a', 'b', 'c')
    set_log(zone, 'lost')
    assert run(zone, 60.0) == [0.0, 0.0]


def test_failing_appends_interrupt_nothing_during_or_after():
    zone = new_zone('a', 'b', 'c')
    set_log(zone, 'never')
    assert run(zone, 60.0) == [0.0, 0.0]
    set_log(zone, 'ok')
    appended = len(zone.log.records)
    assert run(zone, 20.0) == [0.0, 0.0]
    assert len(zone.log.records) > appended + 10
    zone.crash(holder(zone))
    assert run(zone, 20.0)[0] <= MAX_FAILOVER_S


def test_holder_without_the_log_retains_its_lease_by_promises():
    zone = new_zone('a', 'b', 'c')
    owner = holder(zone)
    set_log(zone, 'cut', [owner])
    assert run(zone, 40.0)[0] == 0.0
    assert holder(zone) is owner


def test_isolated_holder_is_replaced():
    zone = new_zone('a', 'b', 'c')
    owner = holder(zone)
    set_log(zone, 'cut', [owner])
    isolate(zone, owner.id.name)
    assert run(zone, 20.0)[0] <= MAX_FAILOVER_S
    assert holder(zone) is not owner


def test_holder_that_lacks_one_promise_is_replaced():
    zone = new_zone('a', 'b', 'c')
    owner = holder(zone)
    other = next(h for h in zone.hosts if h is not owner)
    set_log(zone, 'cut', [owner])
    zone.partitions.add(frozenset((owner.id.name, other.id.name)))
    assert run(zone, 20.0)[0] <= MAX_FAILOVER_S
    assert holder(zone) is not owner


def test_crashed_holder_is_replaced():
    zone = new_zone('a', 'b')
    zone.crash(holder(zone))
    assert 0.0 < run(zone, 20.0)[0] <= MAX_FAILOVER_S


def test_restarted_holder_waits_only_for_its_own_sends():
    zone = new_zone('a')
    zone.crash(host(zone, 'a'))
    zone.start('a')
    assert run(zone, 10.0)[0] <= world.SETTLE_S + 3.0


def test_crashed_peer_without_the_log_blocks_until_the_list_drops_it():
    zone = new_zone('a', 'b', 'c')
    set_log(zone, 'cut')
    owner = holder(zone)
    zone.crash(next(h for h in zone.hosts if h is not owner))
    idle_s = run(zone, 8.0)
    assert idle_s[0] > 0.0
    assert not zone.acting(0)
    run(zone, world.LIST_LAG_S + world.PACING.list_lag)
    assert holder(zone) is owner


def test_late_restart_of_a_peer_lets_expired_leases_resume():
    zone = new_zone('a', 'b', 'c')
    set_log(zone, 'cut')
    owner = holder(zone)
    other = next(h for h in zone.hosts if h is not owner)
    zone.crash(other)
    run(zone, 6.0)
    assert not zone.acting(0)
    zone.start(other.id.name).log_mode = 'cut'
    assert run(zone, 20.0)[0] <= world.SETTLE_S + 4.0
    assert holder(zone) is owner


def test_reported_end_of_a_peer_unblocks_promises():
    """Check that no promise is required of a process that has ended."""
    zone = new_zone('a', 'b', 'c')
    set_log(zone, 'cut')
    owner = holder(zone)
    other = next(h for h in zone.hosts if h is not owner)
    zone.crash(other)
    for each in zone.hosts:
        each.ownership.on_process_ended(other.id, each.now())
    assert run(zone, 30.0)[0] == 0.0


def test_quick_restart_of_a_peer_without_the_log_interrupts_nothing():
    zone = new_zone('a', 'b', 'c')
    zone.delays = [0.0]
    set_log(zone, 'cut')
    owner = holder(zone)
    other = next(h for h in zone.hosts if h is not owner)
    zone.crash(other)
    zone.start(other.id.name).log_mode = 'cut'
    assert run(zone, 30.0)[0] == 0.0
    assert holder(zone) is owner


def test_new_host_does_not_replace_an_isolated_holder():
    zone = new_zone('a')
    owner = holder(zone)
    set_log(zone, 'cut', [owner])
    isolate(zone, 'a')
    zone.start('b')
    assert run(zone, 60.0) == [0.0, 0.0]
    assert holder(zone) is owner


def test_new_host_takes_over_once_the_list_drops_the_holder():
    zone = new_zone('a')
    zone.crash(host(zone, 'a'))
    zone.start('b')
    lag = world.LIST_LAG_S + world.PACING.list_lag
    assert run(zone, 30.0)[0] <= lag + MAX_FAILOVER_S


def test_new_host_partitioned_from_a_peer_claims_nothing():
    zone = new_zone('a', 'b')
    owner = holder(zone)
    other = next(h for h in zone.hosts if h is not owner)
    set_log(zone, 'cut', [owner])
    zone.partitions.add(frozenset((owner.id.name, 'c')))
    zone.start('c')
    run(zone, 5.0)
    zone.crash(other)
    run(zone, 30.0)
    assert holder(zone) is owner


def test_new_host_bootstraps_shards_of_a_fully_trimmed_log():
    zone = new_zone('a')
    zone.crash(host(zone, 'a'))
    zone.time += 100.0
    zone.log.trim(zone.time)
    assert zone.log.first == len(zone.log.records)
    zone.start('b')
    run(zone, 30.0)
    assert zone.acting(0)
    assert holder(zone).ownership.epoch(0) > 1


def test_snapshots_anchor_a_reader_of_a_trimmed_log():
    zone = new_zone('a', 'b')
    for _ in range(6):
        run(zone, 20.0)
        zone.log.trim(zone.time)
    assert zone.log.first > 0
    newcomer = zone.start('c')
    run(zone, 1.0)
    assert newcomer.ownership.ledger.latest(0) is not None


@pytest.mark.parametrize('pause', [1.0, LEASE_S + 2.0, 30.0])
@pytest.mark.parametrize('point', ['before_actions', 'in_send', 'in_append'])
def test_pause_at_any_step_never_lets_two_hosts_act(pause, point):
    zone = new_zone('a', 'b', 'c')
    owner = holder(zone)
    owner.pause_at = point
    zone.pause = pause
    run(zone, pause + 20.0)
    assert zone.acting(0)


def test_planned_transfer_needs_no_failover_wait():
    zone = new_zone('a', 'b', 'c')
    owner = holder(zone)
    owner.ownership.drain(owner.now())
    assert run(zone, 20.0)[0] <= 2.0
    assert holder(zone) is not owner
    assert owner.ownership.owned(owner.now()) == []


def test_transfer_without_the_log_is_refused():
    zone = new_zone('a', 'b')
    owner = holder(zone)
    other = next(h for h in zone.hosts if h is not owner)
    set_log(zone, 'cut')
    run(zone, 10.0)
    refusal = owner.ownership.plan_transfer(0, other.id, owner.now())
    assert isinstance(refusal, actions.TransferRefused)
    assert 'log is down' in refusal.reason
    assert owner.ownership.may_act(0, owner.now())


def test_rolling_replacement_of_all_hosts():
    zone = new_zone('a', 'b', 'c')
    for name in ('a', 'b', 'c'):
        former = host(zone, name)
        former.ownership.drain(former.now())
        assert max(run(zone, 15.0)) <= 2.0
        zone.crash(former)
        zone.start(name)
        assert max(run(zone, 15.0)) <= 2.0


def test_second_successor_must_be_known_to_the_first_holder():
    """Check that an isolated former holder may still resume its lease.

    The host that joined during the isolation neither accepts a transfer nor
    claims, as the former holder would not ask it for a promise.
    """
    zone = new_zone('a', 'b')
    first = holder(zone)
    second = next(h for h in zone.hosts if h is not first)
    set_log(zone, 'cut', [first])
    isolate(zone, first.id.name)
    run(zone, 10.0)
    assert holder(zone) is second
    zone.start('c')
    run(zone, 5.0)
    second.ownership.drain(second.now())
    run(zone, 5.0)
    zone.crash(second)
    run(zone, 40.0)
    assert holder(zone) is first


def test_ended_incarnations_do_not_delay_failover():
    """Check that claims don't wait for ended processes in the log."""
    zone = new_zone('a', 'b')
    for _ in range(3):
        zone.crash(host(zone, 'a'))
        zone.start('a')
        run(zone, 12.0)
        zone.crash(host(zone, 'b'))
        zone.start('b')
        run(zone, 12.0)
    zone.start('c')
    run(zone, 20.0)
    for shard in range(world.SHARDS):
        zone.crash(holder(zone, shard))
        assert run(zone, 20.0)[shard] <= MAX_FAILOVER_S
        zone.start('d')
        run(zone, 20.0)


def test_hosts_named_before_an_anchor_must_know_the_claimant():
    """Check that hosts in entries read before the anchor are holders, too."""
    zone = new_zone('a', 'b')
    for _ in range(6):
        run(zone, 20.0)
        zone.log.trim(zone.time)
    newcomer = zone.start('c')
    run(zone, 20.0)
    assert holder(zone).id in newcomer.ownership.possible_holders()
    zone.crash(holder(zone))
    assert run(zone, 20.0)[0] <= MAX_FAILOVER_S
