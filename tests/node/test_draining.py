"""Check that a stopping host waits for a successor of its shards.

Without the wait, a host whose peer was just restarting dropped its shards.
Their jobs in flight then had an unknown outcome, as the shards had no owner
until the leases expired.
"""

import time

import curio
import pytest

from hibiscusslip.membership import members
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.node import caller_service
from hibiscusslip.node import draining
from hibiscusslip.platform import base as platform_base
from tests.node import support

GRACE_S = 20.0


async def stop_while_peer_restarts():
    """Stop the owner of a zone, whose other host responds only later."""
    async with support.serving_cell(('a', 'b')) as cell_:
        restarting = platform_base.EntryHostInfo('a-h1', 'a', '127.0.0.1', 1)
        cell_.hosts.table.put(time.monotonic(), restarting)
        await curio.sleep(1.0)  # two intervals of the host list
        spec = support.not_repeatable('a.0.kone', 1.0)
        service = caller_service.CallerService(cell_.nodes['b-h0'])
        caller = await curio.spawn(service.submit_and_wait, spec, 20.0)
        await curio.sleep(0.3)
        stopping = await curio.spawn(cell_.nodes['a-h0'].drain, GRACE_S)
        await curio.sleep(0.3)
        await cell_.add_host('a-h1', 'a')
        transferred = await stopping.join()
        await cell_.remove_host('a-h0')
        return transferred, await caller.join()


def test_shards_go_to_a_host_that_was_restarting():
    transferred, state = curio.run(stop_while_peer_restarts)
    assert transferred
    assert state.outcome == work.Outcome.SUCCEEDED, state


def member(alive=True, is_draining=False, leaving=False):
    """Return another host of the zone."""
    host = places.HostId('h1', 'i1')
    return members.Member(host, 'a', '', 0, alive, is_draining, leaving)


@pytest.mark.parametrize(
    'others',
    [[], [member(is_draining=True)], [member(alive=False, leaving=True)]],
)
def test_stop_does_not_wait_for_hosts_that_take_no_shards(others):
    wait = draining.SuccessorWait(GRACE_S, 0.0)
    assert not wait.expects_successor(others, 0.0)


def test_wait_for_a_silent_host_is_bounded():
    wait = draining.SuccessorWait(GRACE_S, 0.0)
    silent = [member(alive=False)]
    assert wait.expects_successor(silent, 9.9)
    assert not wait.expects_successor(silent, 10.0)


def test_late_heartbeats_of_the_successor_do_not_end_the_wait():
    wait = draining.SuccessorWait(GRACE_S, 0.0)
    assert wait.expects_successor([member()], 12.0)
    assert wait.expects_successor([member(alive=False)], 13.5)
