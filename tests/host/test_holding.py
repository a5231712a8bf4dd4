"""Check when an owner tells of itself, and when it has itself released."""

import curio

from hibiscusslip.host import context
from hibiscusslip.host import holding
from hibiscusslip.host import notices
from hibiscusslip.platform import exceptions
from tests.host import fakes


class Successors(holding.Successors):
    """Tell that some hosts are served, one answer for each call."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.releases = 0

    async def served(self):
        return self._answers.pop(0)

    async def release(self, notice, hosts):
        self.releases += 1
        return True

    async def roll_call(self):
        return holding.RollCall([], [])


async def turned_away(store, topic, records):
    raise exceptions.StoreUnavailable('503')


async def hand_over():
    raise AssertionError('nobody asked for it')


def beat(successors, script, seconds=2.0):
    """Beat while the script lasts; return the context and the store."""
    store = fakes.FakeStore()
    store.script = script
    ctx = fakes.make_context(store)
    ctx.ownership.won(1, context.steady())

    async def main():
        mine = holding.Holder(ctx, successors, 1, dict, hand_over)
        async with curio.ignore_after(seconds):
            await mine.beat()

    curio.run(main)
    return ctx, store


def test_owner_that_alone_is_turned_away_has_its_release_written():
    successors = Successors(['h2'], ['h2'])
    ctx, _ = beat(successors, [turned_away] * 9)
    assert successors.releases == 1
    assert not ctx.ownership.held


def test_owner_keeps_the_cell_if_others_are_served_a_moment_earlier():
    """The store comes back to all, to the owner last."""
    successors = Successors([], [], ['h2'])
    ctx, _ = beat(successors, [turned_away] * 4, 3.0)
    assert not successors.releases
    assert ctx.ownership.held


async def never(store, topic, records):
    await curio.sleep(60)


def test_next_heartbeat_doesnt_wait_for_a_lost_answer():
    """The hosts would take over after `SILENCE_S`."""
    _, store = beat(Successors(), [never], 0.95)
    assert len(store.records) == 2


def test_no_heartbeat_follows_a_release():
    """It would tell the other hosts that the owner is still there."""
    successors = Successors(['h2'], ['h2'])
    _, store = beat(successors, [turned_away] * 3, 3.0)
    assert store.records == []


def test_owner_that_has_read_nothing_yet_tells_the_former_loads():
    """Else all queues look empty to callers for a moment."""
    store = fakes.FakeStore()
    ctx = fakes.make_context(store)
    loads = {'q': notices.QueueLoad(4)}
    former = notices.OwnerNotice('beat', 1, 'h2', 'x', '10.0.0.1', 1, loads)
    ctx.ownership.take(former, context.steady())
    mine = holding.Holder(ctx, Successors(), 2, lambda: None, hand_over)
    curio.run(mine.notify, notices.BEAT)
    ((_, record),) = store.records
    assert notices.decode_owner(record).loads == loads
