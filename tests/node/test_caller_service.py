"""Check that callers aren't told too early, or wrongly, what became of a job.

The service waits in intervals. A failover that outlasts one must not make the
outcome unknown while the caller still waits, and a job that was accepted in
an earlier interval must not be reported as not run.
"""

import random
import types

import curio
import pytest
import result

from hibiscusslip.caller import exceptions
from hibiscusslip.jobs import view
from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.node import acceptor
from hibiscusslip.node import caller_service
from hibiscusslip.node import home_client
from hibiscusslip.observe import traces
from hibiscusslip.routing import directory

SPEC = work.JobSpec('', 'sales', 'quote')
UNSETTLED = home_client.Failure(
    home_client.FailureKind.UNSETTLED, 'OwnerChanged', 'changed', 0.2
)
UNREACHED = home_client.Failure(
    home_client.FailureKind.NOT_DELIVERED, 'no_owner', 'no owner', 1.0
)


class FakeHomeClient(home_client.HomeClient):
    """Return planned failures or outcomes; the last one repeats."""

    def __init__(self, replies):
        self._replies = replies

    async def submit(self, host, shard, spec, wait):
        replies = self._replies
        reply = replies.pop(0) if len(replies) > 1 else replies[0]
        if isinstance(reply, home_client.Failure):
            return result.Err(reply)
        await curio.sleep(wait)
        return result.Ok(view.JobView(spec.job_id, reply))


@pytest.fixture
def submit(monkeypatch):
    """Return a function that submits a job to a home with planned replies."""
    monkeypatch.setattr(acceptor, 'RETRY_WINDOW_SECONDS', 0.2)
    monkeypatch.setattr(caller_service, 'MAX_STATUS_WAIT_SECONDS', 0.1)

    def run(replies, wait):
        job_acceptor = acceptor.Acceptor(
            FakeHomeClient(replies),
            directory.ShardDirectory(4, lambda shard: None),
            lambda shard: 'h1',
            lambda spec, tried: places.Shard('a', 0),
            random.Random(1),
        )
        node = types.SimpleNamespace(
            acceptor=job_acceptor,
            fleet=types.SimpleNamespace(policy_version=1),
            tracer=traces.NOOP_TRACER,
        )
        service = caller_service.CallerService(node)
        return curio.run(service.submit_and_wait, SPEC, wait)

    return run


def test_job_that_may_have_run_is_retried_while_its_caller_waits(submit):
    replies = [UNSETTLED, *[UNREACHED] * 3, work.Outcome.SUCCEEDED]
    assert submit(replies, 30.0).outcome is work.Outcome.SUCCEEDED


def test_accepted_job_is_not_reported_as_not_run_when_its_home_is_lost(submit):
    with pytest.raises(exceptions.OutcomeUnknown):
        submit([work.Outcome.RUNNING, UNREACHED], 0.5)
