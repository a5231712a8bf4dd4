"""Check the owner's heartbeats and its release through a peer."""

import curio
import pytest

from hibiscusslip.host import context
from hibiscusslip.host import lease_handover
from hibiscusslip.host import notices
from hibiscusslip.host import ownership_keeper
from hibiscusslip.platform import exceptions
from tests.host import fakes


class Successors(ownership_keeper.Successors):
    """Report hosts that the store serves, one list for each call."""

    def __init__(self, *host_lists):
        self._host_lists = list(host_lists)
        self.releases = 0

    async def find_hosts_with_store(self):
        return self._host_lists.pop(0)

    async def write_release(self, notice, hosts):
        self.releases += 1
        return True

    async def check_liveness(self):
        return ownership_keeper.LivenessCheck([], [])


async def unavailable(store, topic, records):
    raise exceptions.StoreUnavailable('503')


async def release_ownership():
    raise AssertionError('the keeper must not release the ownership here')


def run_heartbeats(successors, script, seconds=2.0):
    """Run heartbeats for a while; return the context and the store."""
    store = fakes.FakeStore()
    store.script = script
    ctx = fakes.make_context(store)
    ctx.ownership.record_claim(1, context.monotonic())

    async def main():
        keeper = ownership_keeper.OwnershipKeeper(
            ctx,
            successors,
            1,
            lease_handover.LeaseHandover(ctx.ownership, 1),
            dict,
            release_ownership,
        )
        async with curio.ignore_after(seconds):
            await keeper.run_heartbeats()

    curio.run(main)
    return ctx, store


def test_owner_is_released_by_a_peer_if_the_store_fails_only_the_owner():
    successors = Successors(['h2'], ['h2'])
    ctx, _ = run_heartbeats(successors, [unavailable] * 9)
    assert successors.releases == 1
    assert not ctx.ownership.held_epoch


def test_owner_isnt_released_if_peers_are_served_a_moment_earlier():
    """The store recovers for all hosts, for the owner last."""
    successors = Successors([], [], ['h2'])
    ctx, _ = run_heartbeats(successors, [unavailable] * 4, 3.0)
    assert not successors.releases
    assert ctx.ownership.held_epoch


async def lose_answer(store, topic, records):
    await curio.sleep(60)


def test_lost_answer_doesnt_delay_the_next_heartbeat():
    """Otherwise the peers would claim after `HEARTBEAT_TIMEOUT_S`.

    It is repeated as well, so all three are written.
    """
    _, store = run_heartbeats(Successors(), [lose_answer], 0.95)
    assert len(store.records) == 3


def test_heartbeats_go_on_while_no_answer_comes_at_all():
    script = [lose_answer] * 100
    _, store = run_heartbeats(Successors(), script, 0.95)
    assert store.appends >= 3
    assert store.records == []


def test_no_heartbeat_follows_a_release():
    """It would show the other hosts that the owner is still alive."""
    successors = Successors(['h2'], ['h2'])
    _, store = run_heartbeats(successors, [unavailable] * 3, 3.0)
    assert store.records == []


def test_owner_reports_the_former_loads_until_it_has_recovered():
    """Otherwise all queues would look empty to callers for a moment."""
    store = fakes.FakeStore()
    ctx = fakes.make_context(store)
    loads = {'q': notices.QueueLoad(4)}
    former = notices.OwnerNotice('beat', 1, 'h2', 'x', '10.0.0.1', 1, loads)
    ctx.ownership.apply_notice(former, context.monotonic())
    keeper = ownership_keeper.OwnershipKeeper(
        ctx,
        Successors(),
        2,
        lease_handover.LeaseHandover(ctx.ownership, 2),
        lambda: None,
        release_ownership,
    )
    curio.run(keeper.write_notice, notices.HEARTBEAT)
    ((_, record),) = store.records
    assert notices.decode_owner(record).loads == loads


@pytest.mark.parametrize(('descriptors', 'yields'), [(8192, 1), (4100, 0)])
def test_owner_yields_to_a_host_whose_descriptors_suffice(descriptors, yields):
    """Else an owner without descriptors keeps a cell that it can't serve."""
    ctx = fakes.make_context(fakes.FakeStore())
    ctx.ownership.record_claim(1, context.monotonic())
    ctx.ownership.descriptors = 4100
    ctx.ownership.set_endpoints(3000)
    ctx.hosts['h2'] = notices.HostRecord(
        'h2', 'i', 'z1', '10.0.0.1', 1, 1.0, descriptors
    )
    released = []

    async def release():
        released.append(True)

    handover = lease_handover.LeaseHandover(ctx.ownership, 1)
    keeper = ownership_keeper.OwnershipKeeper(
        ctx, Successors(), 1, handover, dict, release
    )
    curio.run(keeper._yield_to_stronger, ['h2'])
    assert len(released) == yields
