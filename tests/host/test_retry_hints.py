"""Check the retry hints for refused callers while a zone is partitioned."""

import curio

from hibiscusslip.dispatch import model
from hibiscusslip.host import context
from hibiscusslip.host import front
from hibiscusslip.host import inbox
from hibiscusslip.host import notices
from hibiscusslip.host import peer_client
from hibiscusslip.host import retry_hints
from hibiscusslip.http import messages
from hibiscusslip.peer import exceptions
from tests.dispatch import support
from tests.host import fakes

JOB_ID = '00000000000000a1'
BODY = b'{"Spec":"x","Steps":[{"Count":1,"Cpu":500}]}'


def test_caller_of_a_partitioned_zone_is_sent_elsewhere_once_that_helps():
    hints = [
        retry_hints.choose_retry_hint(True, probes) for probes in range(5)
    ]
    assert [hint.retry_after for hint in hints] == [1, 1, 1, 0, 0]
    assert not hints[0].elsewhere
    assert all(hint.elsewhere for hint in hints[1:])


def test_caller_saves_its_retries_while_the_store_fails_all_hosts():
    hints = [
        retry_hints.choose_retry_hint(False, probes) for probes in range(9)
    ]
    assert {hint.retry_after for hint in hints} == {1}


class FailingLinks(fakes.FakeLinks):
    """Raise one exception in all calls."""

    def __init__(self, exc):
        self._exc = exc

    async def call(self, host, body, timeout):
        raise self._exc


class NoOwner(front.JobStateSource):
    async def query_job_state(self, job_id):
        raise front.OwnerUnavailable('no owner')


def request(method, path, body=b''):
    headers = {'host': 'a.example', 'x-deadline-ms': '3000'}
    return messages.Request(method, path, {}, headers, body, '10.0.0.9:1')


def submit_while_store_fails(exc, unready_probes):
    """Return the response to a job while the store is unavailable."""
    ctx = fakes.make_context(fakes.FakeStore())
    ctx.config = model.Configuration(1, {'q': support.queue('q')}, {})
    ctx.hosts['h2'] = notices.HostRecord('h2', 'i', 'z2', '10.0.0.1', 1)
    for _ in range(context.FAILURES_UNTIL_UNAVAILABLE):
        ctx.record_store_failure('test')
    ready = front.ReadinessHandler(ctx)
    job_inbox = inbox.Inbox(
        ctx, peer_client.PeerClient(ctx, FailingLinks(exc))
    )
    handler = front.FrontHandler(ctx, NoOwner(), job_inbox)

    async def main():
        task = await curio.spawn(job_inbox.run, daemon=True)
        for _ in range(unready_probes):
            await ready.handle(request('GET', '/v1/ready'))
        response = await handler.handle(request('POST', f'/q/{JOB_ID}', BODY))
        await task.cancel()
        return response

    return curio.run(main)


def test_isolated_host_sends_its_callers_elsewhere_at_once():
    response = submit_while_store_fails(
        exceptions.PeerUnsettled('no answer'), 3
    )
    assert response.status == 503
    assert response.headers['retry-after'] == '0'
    assert response.headers['connection'] == 'close'


def test_caller_is_told_to_retry_later_if_peers_have_no_store_either():
    response = submit_while_store_fails(
        exceptions.PeerRefused('refused', 'no store'), 3
    )
    assert response.status == 503
    assert response.headers['retry-after'] == '1'
