"""Check what becomes of an owner when one of its loops ends unexpectedly."""

import curio
import pytest

from hibiscusslip.host import host
from hibiscusslip.host import owner
from hibiscusslip.host import ownership_keeper
from hibiscusslip.host import writer
from hibiscusslip.platform import exceptions
from tests.host import fakes
from tests.host import inbox_cell

EPOCH = 1


class OneAdviser:
    def count_advisers(self, now):
        return 1


class NoSuccessors(ownership_keeper.Successors):
    """Answer as if this were the only host."""

    async def write_release(self, notice, hosts):
        return False

    async def find_hosts_with_store(self):
        return []

    async def check_liveness(self):
        return ownership_keeper.LivenessCheck([], [])


async def fail(*args):
    raise RuntimeError('not expected by anybody')


async def run_owner(seconds):
    """Return the context after an owner was run for a while, or ended."""
    ctx = fakes.make_context(inbox_cell.LogStore())
    ctx.ownership.record_claim(EPOCH, 0.0)
    local_owner = owner.Owner(ctx, OneAdviser(), NoSuccessors(), EPOCH)
    async with curio.ignore_after(seconds):
        await local_owner.run()
    return ctx


@pytest.mark.parametrize(
    'place, name', [(owner.Owner, '_plan'), (writer.Writer, 'run')]
)
def test_owner_ends_if_it_cant_start_anything_any_more(
    monkeypatch, place, name
):
    """It went on with heartbeats, so that no other host took over."""
    monkeypatch.setattr(place, name, fail)
    with pytest.raises(RuntimeError):
        curio.run(run_owner, 3.0)


def test_fenced_owner_ends():
    async def be_fenced():
        raise exceptions.ProducerFenced('a newer epoch has written')

    async def main():
        ctx = fakes.make_context(inbox_cell.LogStore())
        ctx.ownership.record_claim(EPOCH, 0.0)
        local_owner = owner.Owner(ctx, OneAdviser(), NoSuccessors(), EPOCH)
        local_owner._writer.run = be_fenced
        async with curio.ignore_after(3.0):
            await local_owner.run()

    with pytest.raises(exceptions.ProducerFenced):
        curio.run(main)


def test_owner_goes_on_without_its_load_reports(monkeypatch):
    """They are started again; nothing else depends on them."""
    monkeypatch.setattr(owner, 'LOOP_RESTART_PAUSE_S', 0.05)
    name = '_report_load_and_set_timing'
    monkeypatch.setattr(owner.Owner, name, fail)
    ctx = curio.run(run_owner, 1.0)
    assert ctx.ownership.held_epoch == EPOCH
    assert len(ctx.log.named('loop_crashed')) > 2


def test_host_loses_the_ownership_of_an_owner_that_ended(monkeypatch):
    monkeypatch.setattr(owner.Owner, '_plan', fail)

    class OneHost:
        _run_owner = host.Host._run_owner
        _peer_client = NoSuccessors()
        _advice_router = OneAdviser()

    async def main():
        item = OneHost()
        item._ctx = fakes.make_context(inbox_cell.LogStore())
        item._ctx.ownership.record_claim(EPOCH, 0.0)
        ended = False
        async with curio.ignore_after(3.0):
            await item._run_owner(EPOCH)
            ended = True
        assert ended
        assert not item._ctx.ownership.held_epoch

    curio.run(main)
