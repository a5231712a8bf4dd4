"""Check that the state of a cancelled transfer is not used by a later claim.

The successor had kept it. When it claimed the shard at the next epoch after a
crash of the owner, it started jobs again that had run since the transfer.
"""

import curio

from hibiscusslip import codec
from hibiscusslip.jobs import handover
from hibiscusslip.jobs import model
from hibiscusslip.model import work
from hibiscusslip.node import caller_service
from hibiscusslip.node import clock
from hibiscusslip.peer import messages
from tests.node import support


async def crash_after_cancelled_transfer():
    """Return a job's states under both owners and the number of starts."""
    async with support.serving_cell(('a',), 2) as cell_:
        nodes = cell_.nodes
        name = next(n for n in nodes if nodes[n].fleet.runners)
        owner = nodes[name]
        successor = next(n for n in nodes.values() if n is not owner)
        spec = support.not_repeatable('a.0.kone', 0.1)
        packed = handover.pack(model.new_job(spec, clock.now()))
        epoch = owner.ownership.epoch(0)
        state = codec.encode_list([packed])
        await curio.sleep(2.0)  # the successor is known by then
        part = messages.ShardTransfer('t1', 0, epoch, 0, 1, state)
        reply = await successor.transfers.handle_part(owner.cfg.me, part)
        assert isinstance(reply, messages.Done), reply
        service = caller_service.CallerService(owner)
        before = await service.submit_and_wait(spec, 10.0)
        await cell_.remove_host(name)
        # Endpoints that still know the run would report it as ended.
        for worker in cell_.fleet.workers.values():
            worker.restart()
        assert await cell_.wait_until_serving(20.0)
        await curio.sleep(1.0)  # time for a second start
        assert successor.ownership.epoch(0) == epoch + 1
        service = caller_service.CallerService(successor)
        after = await service.status(spec.job_id)
        return before, after, cell_.fleet.violations.counters.starts


def test_claim_does_not_use_the_state_of_a_cancelled_transfer():
    before, after, starts = curio.run(crash_after_cancelled_transfer)
    assert before.outcome == after.outcome == work.Outcome.SUCCEEDED
    assert starts == 1
