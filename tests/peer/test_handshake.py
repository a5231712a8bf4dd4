"""Check who may open a link to whom."""

import dataclasses

import curio
import msgspec
import pytest

from hibiscusslip.model import places
from hibiscusslip.peer import _handshake
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import hello
from hibiscusslip.peer import messages
from tests.peer import fakes
from tests.peer import raw

QUERY = messages.StatusQuery()


def _refusal(**caller):
    """Return how a caller with these traits is refused."""

    async def scenario():
        async with fakes.serving() as running:
            async with fakes.linked(running.port, **caller) as links:
                with pytest.raises(exceptions.HelloRefused) as caught:
                    await links.call('b', QUERY, 5)
            assert running.handler.seen == []
            return str(caught.value)

    return curio.run(scenario)


@pytest.mark.parametrize(
    'change, kind, remedy',
    [
        ({'shards_per_zone': 9}, 'shards_per_zone', 'set the same value'),
        ({'version': 2}, 'version', 'run the same release'),
    ],
)
def test_unlike_hosts_are_refused_with_the_remedy(change, kind, remedy):
    text = _refusal(info=dataclasses.replace(fakes.INFO, **change))
    assert kind in text
    assert remedy in text


def test_host_with_the_same_name_is_refused():
    assert 'its own name' in _refusal(me=places.HostId('b', 'i9'))


def test_unknown_key_id_is_refused():
    text = _refusal(shared=fakes.keys(k2=fakes.SECRET))
    assert 'unknown_key' in text


def test_caller_refuses_a_server_with_another_secret():
    text = _refusal(shared=fakes.keys(k1=fakes.OTHER_SECRET))
    assert 'wrong_key' in text
    assert fakes.SECRET.decode() not in text


def test_call_to_another_name_is_refused():
    async def scenario():
        async with fakes.serving(me=places.HostId('c', 'i1')) as running:
            async with fakes.linked(running.port) as links:
                with pytest.raises(exceptions.HelloRefused, match='wrong_h'):
                    await links.call('b', QUERY, 5)

    curio.run(scenario)


async def _denied(caller):
    message = await caller.receive()
    assert isinstance(message, _handshake.HelloDenied)
    with pytest.raises((exceptions.ChannelClosed, OSError)):
        await caller.channel.receive()
    return message.kind


def test_server_refuses_a_false_proof():
    async def scenario():
        async with fakes.serving() as running:
            async with raw.calling(running.port) as caller:
                await caller.send(caller.side.hello('b', raw.NONCE))
                await caller.receive()
                await caller.send(_handshake.HelloProof(b'x' * 32))
                assert await _denied(caller) == 'wrong_key'
            assert running.server.counts.hellos_refused == 1

    curio.run(scenario)


def test_servers_own_proof_is_worth_nothing_as_the_callers():
    async def scenario():
        async with fakes.serving() as running:
            async with raw.calling(running.port) as caller:
                await caller.send(caller.side.hello('b', raw.NONCE))
                reply = await caller.receive()
                await caller.send(_handshake.HelloProof(reply.proof))
                assert await _denied(caller) == 'wrong_key'

    curio.run(scenario)


def test_replayed_hello_is_refused():
    async def scenario():
        async with fakes.serving() as running:
            async with raw.calling(running.port) as caller:
                opening, proof = await caller.shake_hands()
            async with raw.calling(running.port) as caller:
                await caller.send(opening)
                await caller.receive()
                await caller.send(proof)
                assert await _denied(caller) == 'wrong_key'

    curio.run(scenario)


@pytest.mark.parametrize(
    'first',
    [
        _handshake.HelloDone(),
        messages.Envelope(1, False, '', 1.0, QUERY),
        _handshake.HelloProof(b'x' * _handshake.MAX_HELLO_BYTES),
    ],
)
def test_nothing_but_a_hello_comes_first(first):
    async def scenario():
        async with fakes.serving() as running:
            async with raw.calling(running.port) as caller:
                await caller.send(first)
                assert await _denied(caller) in ('malformed', 'oversize')
            assert running.handler.seen == []

    curio.run(scenario)


def test_keys_rotate_without_a_stop():
    old = {'k1': fakes.SECRET}
    new = {'k2': fakes.OTHER_SECRET}
    steps = [
        (old, old | new),
        (new | old, old | new),
        (new | old, new),
        (new, new),
    ]

    async def scenario():
        async with fakes.serving() as running:
            for callers, servers in steps:
                running.server.set_keys(hello.Keys(servers))
                shared = hello.Keys(callers)
                async with fakes.linked(running.port, shared=shared) as links:
                    await links.call('b', QUERY, 5)

    curio.run(scenario)


@pytest.mark.parametrize('secrets', [{}, {'k1': b'short'}])
def test_weak_keys_are_refused(secrets):
    with pytest.raises(hello.KeysInvalid):
        hello.Keys(secrets)


def test_keys_show_no_secret():
    assert fakes.SECRET.decode() not in repr(fakes.keys())


def _sides():
    """Return both sides of a handshake without a connection."""
    keys = fakes.keys()
    caller = _handshake.Side(fakes.CALLER, fakes.INFO, keys)
    return caller, _handshake.Side(fakes.SERVER, fakes.INFO, keys)


def test_caller_checks_the_servers_proof_itself():
    caller, server = _sides()
    opening = caller.hello('b', raw.NONCE)
    reply = server.reply(opening, raw.NONCE)
    forged = msgspec.structs.replace(reply, proof=b'x' * 32)
    with pytest.raises(exceptions.HelloRefused, match='wrong_key'):
        caller.answer(opening, forged)
    caller.answer(opening, reply)


def test_both_sides_check_who_was_meant():
    caller, server = _sides()
    opening = caller.hello('c', raw.NONCE)
    with pytest.raises(exceptions.HelloRefused, match='wrong_host'):
        server.reply(opening, raw.NONCE)
    reply = server.reply(caller.hello('b', raw.NONCE), raw.NONCE)
    with pytest.raises(exceptions.HelloRefused, match='wrong_host'):
        caller.answer(opening, reply)
