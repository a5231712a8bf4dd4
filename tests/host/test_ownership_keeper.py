"""Check when an owner tells of itself, and when it has itself released."""

import curio

from hibiscusslip.host import context
from hibiscusslip.host import notices
from hibiscusslip.host import ownership_keeper
from hibiscusslip.platform import exceptions
from tests.host import fakes


class Successors(ownership_keeper.Successors):
    """Tell that some hosts are served, one answer for each call."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.releases = 0

    async def find_hosts_with_store(self):
        return self._answers.pop(0)

    async def write_release(self, notice, hosts):
        self.releases += 1
        return True

    async def check_liveness(self):
        return ownership_keeper.LivenessCheck([], [])


async def turned_away(store, topic, records):
    raise exceptions.StoreUnavailable('503')


async def release_ownership():
    raise AssertionError('nobody asked for it')


def run_heartbeats(successors, script, seconds=2.0):
    """Beat while the script lasts; return the context and the store."""
    store = fakes.FakeStore()
    store.script = script
    ctx = fakes.make_context(store)
    ctx.ownership.record_claim(1, context.monotonic())

    async def main():
        mine = ownership_keeper.OwnershipKeeper(
            ctx, successors, 1, dict, release_ownership
        )
        async with curio.ignore_after(seconds):
            await mine.run_heartbeats()

    curio.run(main)
    return ctx, store


def test_owner_that_alone_is_turned_away_has_its_release_written():
    successors = Successors(['h2'], ['h2'])
    ctx, _ = run_heartbeats(successors, [turned_away] * 9)
    assert successors.releases == 1
    assert not ctx.ownership.held


def test_owner_keeps_the_cell_if_others_are_served_a_moment_earlier():
    """The store comes back to all, to the owner last."""
    successors = Successors([], [], ['h2'])
    ctx, _ = run_heartbeats(successors, [turned_away] * 4, 3.0)
    assert not successors.releases
    assert ctx.ownership.held


async def never(store, topic, records):
    await curio.sleep(60)


def test_next_heartbeat_doesnt_wait_for_a_lost_answer():
    """The hosts would take over after `SILENCE_S`."""
    _, store = run_heartbeats(Successors(), [never], 0.95)
    assert len(store.records) == 2


def test_no_heartbeat_follows_a_release():
    """It would tell the other hosts that the owner is still there."""
    successors = Successors(['h2'], ['h2'])
    _, store = run_heartbeats(successors, [turned_away] * 3, 3.0)
    assert store.records == []


def test_owner_that_has_read_nothing_yet_tells_the_former_loads():
    """Else all queues look empty to callers for a moment."""
    store = fakes.FakeStore()
    ctx = fakes.make_context(store)
    loads = {'q': notices.QueueLoad(4)}
    former = notices.OwnerNotice('beat', 1, 'h2', 'x', '10.0.0.1', 1, loads)
    ctx.ownership.apply_notice(former, context.monotonic())
    mine = ownership_keeper.OwnershipKeeper(
        ctx, Successors(), 2, lambda: None, release_ownership
    )
    curio.run(mine.write_notice, notices.HEARTBEAT)
    ((_, record),) = store.records
    assert notices.decode_owner(record).loads == loads
