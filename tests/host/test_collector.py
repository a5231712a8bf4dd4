"""Check how an owner's objects are collected."""

import gc

import pytest

from hibiscusslip.host import collector
from tests.host import fakes

Action = collector.Action
BASE = collector.MIN_OBJECTS


@pytest.fixture(autouse=True)
def thaw():
    yield
    gc.unfreeze()


def choose(schedule, now, frozen, owns=True):
    return schedule.choose(now, owns, lambda: frozen)


def test_full_collections_dont_come_with_the_number_of_tasks():
    # Failure: with 12,000 waiting tasks each full collection held the loop of
    # the owner for 0.3 s, every five seconds.
    schedule = collector.Schedule()
    assert choose(schedule, 0.0, 0) is Action.BEGIN
    schedule.note_live(BASE, 0.0)
    full = 0
    for second in range(1, 601):
        frozen = BASE + 500 * second  # none of them is garbage
        if choose(schedule, float(second), frozen) is Action.COLLECT:
            full += 1
            schedule.note_live(frozen, float(second))
    assert full == 2  # at twice and at four times the first number


def test_cycles_are_collected_once_they_are_as_many_as_live_objects():
    schedule = collector.Schedule()
    choose(schedule, 0.0, 0)
    schedule.note_live(BASE, 0.0)
    assert choose(schedule, 10.0, 2 * BASE) is Action.FREEZE
    assert choose(schedule, 15.0, 2 * BASE + 1) is Action.FREEZE
    assert choose(schedule, 20.0, 2 * BASE + 1) is Action.COLLECT


def test_host_that_owns_nothing_uses_the_automatic_collections():
    schedule = collector.Schedule()
    assert choose(schedule, 0.0, 0, owns=False) is Action.NONE
    assert choose(schedule, 1.0, 0) is Action.BEGIN
    assert choose(schedule, 2.0, 0, owns=False) is Action.THAW
    assert choose(schedule, 3.0, 0, owns=False) is Action.NONE


def test_objects_of_an_owner_are_left_out_of_automatic_collections():
    # Failure: as the first, with the interpreter's own collector.
    ctx = fakes.make_context(fakes.FakeStore())
    ctx.ownership.record_claim(1, 0.0)
    owner_collector = collector.Collector(ctx)
    owner_collector.act(0.0)
    state = [[number] for number in range(20_000)]
    owner_collector.act(1.0)
    assert gc.get_freeze_count() > len(state)
    assert len(gc.get_objects()) < len(state)
    ctx.ownership.lose()
    owner_collector.act(2.0)
    assert gc.get_freeze_count() == 0


def test_full_collection_finds_frozen_cycles_and_is_logged():
    ctx = fakes.make_context(fakes.FakeStore())
    ctx.ownership.record_claim(1, 0.0)
    owner_collector = collector.Collector(ctx)
    owner_collector.act(0.0)
    cycles = []
    for _ in range(3 * gc.get_freeze_count()):
        cycle = []
        cycle.append(cycle)
        cycles.append(cycle)
    owner_collector.act(1.0)
    count = len(cycles)
    del cycles, cycle
    owner_collector.act(1.0 + collector.COUNT_PERIOD_S)
    (event,) = ctx.log.named('objects_collected')
    assert event['found'] >= count
    assert gc.get_freeze_count() > 0
