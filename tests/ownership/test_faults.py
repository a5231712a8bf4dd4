"""Check what each combination of faults stops, and what goes on."""

import pytest

from hibiscusslip.ownership import actions
from tests.fuzz import world

LEASE = world.TIMING.lease
TAKE_OVER = world.TIMING.lease_wait + world.SETTLE + 3.0


def new_zone(*names, seed=1):
    zone = world.World(seed, world.Plant())
    for name in names:
        zone.start(name)
    run(zone, 20.0)
    for shard in range(world.SHARDS):
        assert zone.acting(shard)
    return zone


def run(zone, seconds):
    """Advance and return, for each shard, how long nobody acted."""
    idle = [0.0] * world.SHARDS
    for _ in range(int(seconds / world.STEP)):
        zone.advance(1)
        for shard in range(world.SHARDS):
            if not zone.acting(shard):
                idle[shard] += world.STEP
    return idle


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
            zone.cuts.add(frozenset((name, other)))


def test_log_down_stops_nothing():
    zone = new_zone('a', 'b', 'c')
    set_log(zone, 'cut')
    assert run(zone, 60.0) == [0.0, 0.0]


def test_log_that_loses_every_answer_stops_nothing():
    zone = new_zone('a', 'b', 'c')
    set_log(zone, 'lost')
    assert run(zone, 60.0) == [0.0, 0.0]


def test_log_that_takes_no_appends_stops_nothing_before_or_after():
    zone = new_zone('a', 'b', 'c')
    set_log(zone, 'never')
    assert run(zone, 60.0) == [0.0, 0.0]
    set_log(zone, 'ok')
    appended = len(zone.log.records)
    assert run(zone, 20.0) == [0.0, 0.0]
    assert len(zone.log.records) > appended + 10
    zone.crash(holder(zone))
    assert run(zone, 20.0)[0] <= TAKE_OVER


def test_holder_cut_from_the_log_goes_on_by_promises():
    zone = new_zone('a', 'b', 'c')
    mine = holder(zone)
    set_log(zone, 'cut', [mine])
    assert run(zone, 40.0)[0] == 0.0
    assert holder(zone) is mine


def test_holder_cut_from_all_is_replaced():
    zone = new_zone('a', 'b', 'c')
    mine = holder(zone)
    set_log(zone, 'cut', [mine])
    isolate(zone, mine.id.name)
    assert run(zone, 20.0)[0] <= TAKE_OVER
    assert holder(zone) is not mine


def test_holder_without_one_promise_stops_and_is_replaced():
    zone = new_zone('a', 'b', 'c')
    mine = holder(zone)
    other = next(h for h in zone.hosts if h is not mine)
    set_log(zone, 'cut', [mine])
    zone.cuts.add(frozenset((mine.id.name, other.id.name)))
    assert run(zone, 20.0)[0] <= TAKE_OVER
    assert holder(zone) is not mine


def test_dead_holder_is_replaced():
    zone = new_zone('a', 'b')
    zone.crash(holder(zone))
    assert 0.0 < run(zone, 20.0)[0] <= TAKE_OVER


def test_restarted_holder_waits_out_only_its_sends():
    zone = new_zone('a')
    zone.crash(host(zone, 'a'))
    zone.start('a')
    assert run(zone, 10.0)[0] <= world.SETTLE + 3.0


def test_dead_host_and_log_down_stops_until_the_list_tells():
    zone = new_zone('a', 'b', 'c')
    set_log(zone, 'cut')
    mine = holder(zone)
    zone.crash(next(h for h in zone.hosts if h is not mine))
    idle = run(zone, 8.0)
    assert idle[0] > 0.0
    assert not zone.acting(0)
    run(zone, world.LIST_LAG + world.PACING.list_lag)
    assert holder(zone) is mine


def test_host_that_restarts_late_lets_lapsed_ones_resume():
    zone = new_zone('a', 'b', 'c')
    set_log(zone, 'cut')
    mine = holder(zone)
    other = next(h for h in zone.hosts if h is not mine)
    zone.crash(other)
    run(zone, 6.0)
    assert not zone.acting(0)
    zone.start(other.id.name).log_mode = 'cut'
    assert run(zone, 20.0)[0] <= world.SETTLE + 4.0
    assert holder(zone) is mine


def test_last_word_of_a_stopped_host_frees_the_others():
    zone = new_zone('a', 'b', 'c')
    set_log(zone, 'cut')
    mine = holder(zone)
    other = next(h for h in zone.hosts if h is not mine)
    zone.crash(other)
    for each in zone.hosts:
        each.own.on_process_ended(other.id, each.now())
    assert run(zone, 30.0)[0] == 0.0


def test_restarted_host_and_log_down_lets_others_go_on():
    zone = new_zone('a', 'b', 'c')
    zone.delays = [0.0]
    set_log(zone, 'cut')
    mine = holder(zone)
    other = next(h for h in zone.hosts if h is not mine)
    zone.crash(other)
    zone.start(other.id.name).log_mode = 'cut'
    assert run(zone, 30.0)[0] == 0.0
    assert holder(zone) is mine


def test_newcomer_leaves_a_silent_holder_alone():
    zone = new_zone('a')
    mine = holder(zone)
    set_log(zone, 'cut', [mine])
    isolate(zone, 'a')
    zone.start('b')
    assert run(zone, 60.0) == [0.0, 0.0]
    assert holder(zone) is mine


def test_newcomer_takes_over_when_the_list_drops_the_holder():
    zone = new_zone('a')
    zone.crash(host(zone, 'a'))
    zone.start('b')
    lag = world.LIST_LAG + world.PACING.list_lag
    assert run(zone, 30.0)[0] <= lag + TAKE_OVER


def test_newcomer_cut_from_a_host_of_the_zone_claims_nothing():
    zone = new_zone('a', 'b')
    mine = holder(zone)
    other = next(h for h in zone.hosts if h is not mine)
    set_log(zone, 'cut', [mine])
    zone.cuts.add(frozenset((mine.id.name, 'c')))
    zone.start('c')
    run(zone, 5.0)
    zone.crash(other)
    run(zone, 30.0)
    assert holder(zone) is mine


def test_trimmed_log_and_all_hosts_new():
    zone = new_zone('a')
    zone.crash(host(zone, 'a'))
    zone.time += 100.0
    zone.log.trim(zone.time)
    assert zone.log.first == len(zone.log.records)
    zone.start('b')
    run(zone, 30.0)
    assert zone.acting(0)
    assert holder(zone).own.epoch(0) > 1


def test_snapshots_anchor_a_reader_of_a_trimmed_log():
    zone = new_zone('a', 'b')
    for _ in range(6):
        run(zone, 20.0)
        zone.log.trim(zone.time)
    assert zone.log.first > 0
    late = zone.start('c')
    run(zone, 1.0)
    assert late.own.ledger.latest(0) is not None


@pytest.mark.parametrize('pause', [1.0, LEASE + 2.0, 30.0])
@pytest.mark.parametrize('point', ['before_actions', 'in_send', 'in_append'])
def test_pause_at_any_step_lets_two_never_act(pause, point):
    zone = new_zone('a', 'b', 'c')
    mine = holder(zone)
    mine.pause_at = point
    zone.pause = pause
    run(zone, pause + 20.0)
    assert zone.acting(0)


def test_planned_hand_over_needs_no_take_over_waits():
    zone = new_zone('a', 'b', 'c')
    mine = holder(zone)
    mine.own.drain(mine.now())
    assert run(zone, 20.0)[0] <= 2.0
    assert holder(zone) is not mine
    assert mine.own.owned(mine.now()) == []


def test_hand_over_without_the_log_is_refused():
    zone = new_zone('a', 'b')
    mine = holder(zone)
    other = next(h for h in zone.hosts if h is not mine)
    set_log(zone, 'cut')
    run(zone, 10.0)
    answer = mine.own.plan_transfer(0, other.id, mine.now())
    assert isinstance(answer, actions.TransferRefused)
    assert 'log is down' in answer.reason
    assert mine.own.may_act(0, mine.now())


def test_rolling_replacement_of_all_hosts():
    zone = new_zone('a', 'b', 'c')
    for name in ('a', 'b', 'c'):
        old = host(zone, name)
        old.own.drain(old.now())
        assert max(run(zone, 15.0)) <= 2.0
        zone.crash(old)
        zone.start(name)
        assert max(run(zone, 15.0)) <= 2.0


def test_successor_of_a_successor_is_known_to_the_first_holder():
    zone = new_zone('a', 'b')
    first = holder(zone)
    second = next(h for h in zone.hosts if h is not first)
    set_log(zone, 'cut', [first])
    isolate(zone, first.id.name)
    run(zone, 10.0)
    assert holder(zone) is second
    zone.start('c')
    run(zone, 5.0)
    second.own.drain(second.now())
    run(zone, 5.0)
    zone.crash(second)
    run(zone, 40.0)
    assert holder(zone) is first


def test_names_of_the_past_block_no_take_over_for_long():
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
        assert run(zone, 20.0)[shard] <= TAKE_OVER
        zone.start('d')
        run(zone, 20.0)


def test_hosts_named_before_an_anchor_must_know_the_claimer():
    zone = new_zone('a', 'b')
    for _ in range(6):
        run(zone, 20.0)
        zone.log.trim(zone.time)
    late = zone.start('c')
    run(zone, 20.0)
    assert holder(zone).id in late.own.possible_holders()
    zone.crash(holder(zone))
    assert run(zone, 20.0)[0] <= TAKE_OVER
