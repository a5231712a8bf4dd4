"""Check what a request is told when its home stops acting for the shard.

A request of which nothing was sent must go to another home; `unknown` for it
would keep its caller from asking again. One that may have been sent, or that
another host may know, must not be started elsewhere.
"""

import curio
import pytest

from hibiscusslip.jobs import index as jobs_index
from hibiscusslip.node import home
from hibiscusslip.observe import traces
from tests.jobs import support


class StoppingRunner:
    """Stop while a request waits for its job."""

    shard = support.SHARD
    frozen = False
    stopped = False

    def __init__(self, bench, sends_start, state_sent):
        self.engine = bench.engine
        self.state_sent = state_sent
        self._bench = bench
        self._sends_start = sends_start

    def may_act(self, now):
        return not self.stopped

    async def wake(self):
        if self._sends_start:
            self._bench.tick()

    async def wait_final(self, job_id, timeout):
        self.stopped = True
        return self.engine.jobs[job_id]


@pytest.mark.parametrize(
    ('sends_start', 'state_sent', 'error'),
    [
        (False, False, home.NotOwner),
        (True, False, home.OwnerChanged),
        (False, True, home.OwnerChanged),
    ],
)
def test_only_a_job_that_was_never_sent_may_go_elsewhere(
    sends_start, state_sent, error
):
    bench = support.Bench().opened()
    runner = StoppingRunner(bench, sends_start, state_sent)
    home_ = home.Home(
        {support.SHARD.number: runner},
        jobs_index.JobIndex(10, 1000),
        traces.NOOP_TRACER,
    )
    with pytest.raises(error):
        curio.run(home_.submit, support.SHARD, support.spec(), 1.0)
