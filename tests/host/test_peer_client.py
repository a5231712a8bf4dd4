"""Check calls to peers that are dropped, partitioned or refuse."""

import curio

from hibiscusslip.host import context
from hibiscusslip.host import inbox
from hibiscusslip.host import notices
from hibiscusslip.host import peer_client
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import messages
from tests.host import fakes


class HostDroppingLinks(fakes.FakeLinks):
    """Refuse each call, and remove all hosts from the list meanwhile."""

    def __init__(self, ctx):
        self._ctx = ctx

    async def call(self, host, body, timeout):
        self._ctx.hosts.clear()
        raise exceptions.PeerRefused('refused', 'no store here')


def test_host_dropped_during_a_relay_counts_as_a_refusal():
    ctx = fakes.make_context(fakes.FakeStore())
    for name in ('h2', 'h3'):
        ctx.hosts[name] = notices.HostRecord(name, 'i', 'z1', '10.0.0.1', 1)
    client = peer_client.PeerClient(ctx, HostDroppingLinks(ctx))
    outcome = curio.run(client.write, [('job1', b'v')], ['h2', 'h3'])
    assert outcome is inbox.Outcome.REFUSED


class PartitionedLinks(fakes.FakeLinks):
    """Leave all calls unanswered; `sent` records their messages."""

    def __init__(self):
        self.sent = []

    async def call(self, host, body, timeout):
        self.sent.append(body)
        raise exceptions.PeerUnsettled('no answer')


def test_no_write_is_relayed_to_partitioned_hosts():
    """Only probes are sent, so the outcome isn't indeterminate."""
    ctx = fakes.make_context(fakes.FakeStore())
    for name in ('h2', 'h3'):
        ctx.hosts[name] = notices.HostRecord(name, 'i', 'z1', '10.0.0.1', 1)
    links = PartitionedLinks()
    client = peer_client.PeerClient(ctx, links)
    job_inbox = inbox.Inbox(ctx, client)
    for _ in range(context.FAILURES_UNTIL_UNAVAILABLE):
        ctx.record_store_failure('test')

    async def main():
        await curio.spawn(job_inbox.run, daemon=True)
        deadline = context.monotonic() + 1.0
        return await job_inbox.write([('job1', b'v')], deadline)

    assert curio.run(main) is inbox.Outcome.REFUSED
    assert links.sent
    assert all(isinstance(m, messages.StoreQuery) for m in links.sent)


class ReleaseLinks(fakes.FakeLinks):
    """Answer a release with `Done` at one host; the others refuse."""

    def __init__(self, serving_host):
        self._serving_host = serving_host

    async def call(self, host, body, timeout):
        assert isinstance(body, messages.OwnerRelease)
        if host != self._serving_host:
            raise exceptions.PeerRefused('refused', 'no store here')
        return messages.Done()


def write_release(serving_host):
    ctx = fakes.make_context(fakes.FakeStore())
    for name in ('h2', 'h3'):
        ctx.hosts[name] = notices.HostRecord(name, 'i', 'z1', '10.0.0.1', 1)
    client = peer_client.PeerClient(ctx, ReleaseLinks(serving_host))
    return curio.run(client.write_release, b'notice', ['h2', 'h3'])


def test_release_is_written_by_the_second_host_if_the_first_refuses():
    assert write_release('h2')
    assert write_release('h3')


def test_release_fails_if_no_host_writes_it():
    assert not write_release('nobody')
