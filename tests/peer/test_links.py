"""Test calls over links: correlation, limits, deadlines and failures."""

import curio
import pytest

from hibiscusslip.model import places
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import messages
from tests.peer import fakes

QUERY = messages.StatusQuery()


def test_call_returns_the_reply_and_identifies_the_caller():
    async def scenario():
        async with fakes.running_server() as running:
            async with fakes.peer_links(running.port) as links:
                reply = await links.call('b', QUERY, 5)
                assert reply == messages.HostStatus(b'a#i1')
                assert links.incarnation_of('b') == 'i1'
                assert links.info_of('b') == fakes.INFO
                assert running.server.linked_hosts() == [fakes.CALLER]

    curio.run(scenario)


def test_each_of_many_calls_gets_its_own_reply():
    async def call_once(links, number):
        request = messages.CommitRequest(f'h{number}', 'a', 0)
        assert await links.call('b', request, 5) == request

    async def scenario():
        lim = fakes.limits.Limits()
        async with fakes.running_server(lim=lim) as running:
            async with fakes.peer_links(running.port, lim=lim) as links:
                await links.call('b', QUERY, 5)
                async with curio.TaskGroup() as group:
                    for number in range(50):
                        await group.spawn(call_once, links, number)
                assert links.counts.links_made == 1
                assert links.counts.writes < 50

    curio.run(scenario)


def test_late_reply_is_dropped_and_counted():
    async def scenario():
        async with fakes.running_server() as running:
            async with fakes.peer_links(running.port) as links:
                await links.call('b', QUERY, 5)
                with pytest.raises(exceptions.PeerUnsettled):
                    await links.call('b', messages.ConfigQuery(7), 0.05)
                await running.handler.release.set()
                while not links.counts.late_replies:
                    await curio.sleep(0.01)
                reply = await links.call('b', messages.ConfigQuery(8), 5)
                assert reply.version == 8

    curio.run(scenario)


def test_excess_calls_are_refused_as_busy():
    async def scenario():
        async with fakes.running_server() as running:
            async with fakes.peer_links(running.port) as links:
                slow = [
                    await curio.spawn(
                        links.call, 'b', messages.ConfigQuery(number), 5
                    )
                    for number in range(2)
                ]
                while len(running.handler.calls) < 2:
                    await curio.sleep(0.01)
                with pytest.raises(exceptions.PeerRefused) as caught:
                    await links.call('b', QUERY, 5)
                assert caught.value.kind == 'busy'
                assert caught.value.retry_after > 0
                await running.handler.release.set()
                versions = [(await task.join()).version for task in slow]
                assert versions == [0, 1]

    curio.run(scenario)


def test_call_to_another_incarnation_is_not_sent():
    async def scenario():
        async with fakes.running_server() as running:
            async with fakes.peer_links(running.port) as links:
                with pytest.raises(exceptions.PeerUnreachable):
                    await links.call('b', QUERY, 5, incarnation='i0')
                assert running.handler.calls == []
                await links.call('b', QUERY, 5, incarnation='i1')

    curio.run(scenario)


def test_restarted_host_gets_a_new_link():
    async def scenario():
        async with fakes.running_server() as running:
            port = running.port
            links = fakes.links.PeerLinks(
                fakes.CALLER, fakes.INFO, fakes.keys(), fakes.LIMITS
            )
            links.set_address('b', '127.0.0.1', port)
            await links.call('b', QUERY, 5)
            pending = await curio.spawn(
                links.call, 'b', messages.ConfigQuery(1), 5
            )
            while len(running.handler.calls) < 2:
                await curio.sleep(0.01)
        with pytest.raises(curio.TaskError) as caught:
            await pending.join()
        assert isinstance(caught.value.__cause__, exceptions.PeerUnsettled)
        assert links.incarnation_of('b') == ''
        with pytest.raises(exceptions.PeerUnreachable):
            await links.call('b', QUERY, 5)
        await curio.sleep(fakes.LIMITS.max_backoff)
        restarted = places.HostId('b', 'i2')
        async with fakes.running_server(me=restarted, port=port):
            await links.call('b', QUERY, 5)
            assert links.incarnation_of('b') == 'i2'
        await links.close()

    curio.run(scenario)


def test_handler_that_raises_leaves_the_call_unsettled():
    async def scenario():
        async with fakes.running_server() as running:
            async with fakes.peer_links(running.port) as links:
                with pytest.raises(exceptions.PeerUnsettled):
                    broken = messages.ReleaseRequest('h1', 'a', 0)
                    await links.call('b', broken, 0.1)
                await links.call('b', QUERY, 5)

    curio.run(scenario)


def test_too_large_call_is_not_sent():
    async def scenario():
        async with fakes.running_server() as running:
            async with fakes.peer_links(running.port) as links:
                size = fakes.LIMITS.max_frame_bytes + 1
                big = messages.JobSubmit('z1', 1, b'x' * size)
                with pytest.raises(exceptions.PeerUnreachable):
                    await links.call('b', big, 5)
                await links.call('b', QUERY, 5)

    curio.run(scenario)


def test_host_without_address_is_unreachable():
    async def scenario():
        async with fakes.peer_links(1) as links:
            with pytest.raises(exceptions.PeerUnreachable):
                await links.call('c', QUERY, 1)

    curio.run(scenario)


def test_changed_address_ends_the_use_of_the_old_link():
    async def scenario():
        moved = places.HostId('b', 'i2')
        async with (
            fakes.running_server() as old,
            fakes.running_server(me=moved) as new,
        ):
            async with fakes.peer_links(old.port) as links:
                await links.call('b', QUERY, 5)
                links.set_address('b', '127.0.0.1', new.port)
                assert links.incarnation_of('b') == ''
                await links.call('b', QUERY, 5)
                assert links.incarnation_of('b') == 'i2'
                links.remove_host('b')
                with pytest.raises(exceptions.PeerUnreachable):
                    await links.call('b', QUERY, 5)

    curio.run(scenario)
