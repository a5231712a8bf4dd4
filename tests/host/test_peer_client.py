"""Check that a host which is dropped meanwhile stops no call."""

import curio

from hibiscusslip.host import inbox
from hibiscusslip.host import notices
from hibiscusslip.host import peer_client
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import messages
from tests.host import fakes


class DroppingLinks(fakes.FakeLinks):
    """Refuse the first call, by which time all hosts are off the list."""

    def __init__(self, ctx):
        self._ctx = ctx

    async def call(self, host, body, timeout):
        self._ctx.hosts.clear()
        raise exceptions.PeerRefused('refused', 'no store here')


def test_hosts_that_are_dropped_during_a_relay_count_as_refusing():
    ctx = fakes.make_context(fakes.FakeStore())
    for name in ('h2', 'h3'):
        ctx.hosts[name] = notices.HostRecord(name, 'i', 'z1', '10.0.0.1', 1)
    client = peer_client.PeerClient(ctx, DroppingLinks(ctx))
    outcome = curio.run(client.write, [('job1', b'v')])
    assert outcome is inbox.Outcome.REFUSED


class CutLinks(fakes.FakeLinks):
    """Lose whatever is sent; `sent` keeps it."""

    def __init__(self):
        self.sent = []

    async def call(self, host, body, timeout):
        self.sent.append(body)
        raise exceptions.PeerUnsettled('no answer')


def test_nothing_is_sent_for_writing_to_hosts_that_are_cut_off():
    """A store that is away and a zone that is cut leave no caller in doubt."""
    ctx = fakes.make_context(fakes.FakeStore())
    for name in ('h2', 'h3'):
        ctx.hosts[name] = notices.HostRecord(name, 'i', 'z1', '10.0.0.1', 1)
    cut = CutLinks()
    client = peer_client.PeerClient(ctx, cut)
    outcome = curio.run(client.write, [('job1', b'v')])
    assert outcome is inbox.Outcome.REFUSED
    assert all(isinstance(m, messages.StoreQuery) for m in cut.sent)


class AnsweringLinks(fakes.FakeLinks):
    """Answer a release with `Done` from one host; others refuse."""

    def __init__(self, willing):
        self._willing = willing

    async def call(self, host, body, timeout):
        assert isinstance(body, messages.OwnerRelease)
        if host != self._willing:
            raise exceptions.PeerRefused('refused', 'no store here')
        return messages.Done()


def release(willing):
    ctx = fakes.make_context(fakes.FakeStore())
    for name in ('h2', 'h3'):
        ctx.hosts[name] = notices.HostRecord(name, 'i', 'z1', '10.0.0.1', 1)
    client = peer_client.PeerClient(ctx, AnsweringLinks(willing))
    return curio.run(client.write_release, b'notice', ['h2', 'h3'])


def test_a_release_is_written_by_the_second_host_if_the_first_refuses():
    assert release('h2')
    assert release('h3')


def test_a_release_that_no_host_writes_is_told_so():
    assert not release('nobody')
