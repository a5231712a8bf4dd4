"""Test which hosts may open links to each other."""

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


def _get_refusal_text(**caller):
    """Return the error text when a link with these options is refused."""

    async def scenario():
        async with fakes.running_server() as running:
            async with fakes.peer_links(running.port, **caller) as links:
                with pytest.raises(exceptions.HelloRefused) as caught:
                    await links.call('b', QUERY, 5)
            assert running.handler.calls == []
            return str(caught.value)

    return curio.run(scenario)


@pytest.mark.parametrize(
    'change, kind, remedy',
    [
        ({'shards_per_zone': 9}, 'shards_per_zone', 'set the same value'),
        ({'version': 2}, 'version', 'run the same release'),
    ],
)
def test_mismatched_hosts_are_refused_with_the_remedy(change, kind, remedy):
    text = _get_refusal_text(info=dataclasses.replace(fakes.INFO, **change))
    assert kind in text
    assert remedy in text


def test_host_with_the_same_name_is_refused():
    assert 'its own name' in _get_refusal_text(me=places.HostId('b', 'i9'))


def test_unknown_key_id_is_refused():
    text = _get_refusal_text(shared=fakes.keys(k2=fakes.SECRET))
    assert 'unknown_key' in text


def test_caller_refuses_a_server_with_another_secret():
    text = _get_refusal_text(shared=fakes.keys(k1=fakes.OTHER_SECRET))
    assert 'wrong_key' in text
    assert fakes.SECRET.decode() not in text


def test_call_to_another_name_is_refused():
    async def scenario():
        async with fakes.running_server(
            me=places.HostId('c', 'i1')
        ) as running:
            async with fakes.peer_links(running.port) as links:
                with pytest.raises(exceptions.HelloRefused, match='wrong_h'):
                    await links.call('b', QUERY, 5)

    curio.run(scenario)


async def _receive_denial_kind(caller):
    message = await caller.receive()
    assert isinstance(message, _handshake.HelloDenied)
    with pytest.raises((exceptions.ChannelClosed, OSError)):
        await caller.channel.receive()
    return message.kind


def test_server_refuses_a_false_proof():
    async def scenario():
        async with fakes.running_server() as running:
            async with raw.raw_caller(running.port) as caller:
                await caller.send(caller.party.build_hello('b', raw.NONCE))
                await caller.receive()
                await caller.send(_handshake.HelloProof(b'x' * 32))
                assert await _receive_denial_kind(caller) == 'wrong_key'
            assert running.server.counts.hellos_refused == 1

    curio.run(scenario)


def test_reflected_server_proof_is_refused():
    async def scenario():
        async with fakes.running_server() as running:
            async with raw.raw_caller(running.port) as caller:
                await caller.send(caller.party.build_hello('b', raw.NONCE))
                reply = await caller.receive()
                await caller.send(_handshake.HelloProof(reply.proof))
                assert await _receive_denial_kind(caller) == 'wrong_key'

    curio.run(scenario)


def test_replayed_hello_is_refused():
    async def scenario():
        async with fakes.running_server() as running:
            async with raw.raw_caller(running.port) as caller:
                opening, proof = await caller.shake_hands()
            async with raw.raw_caller(running.port) as caller:
                await caller.send(opening)
                await caller.receive()
                await caller.send(proof)
                assert await _receive_denial_kind(caller) == 'wrong_key'

    curio.run(scenario)


@pytest.mark.parametrize(
    'first',
    [
        _handshake.HelloDone(),
        messages.Envelope(1, False, '', 1.0, QUERY),
        _handshake.HelloProof(b'x' * _handshake.MAX_HELLO_BYTES),
    ],
)
def test_first_message_other_than_a_hello_is_refused(first):
    async def scenario():
        async with fakes.running_server() as running:
            async with raw.raw_caller(running.port) as caller:
                await caller.send(first)
                assert await _receive_denial_kind(caller) in (
                    'malformed',
                    'oversize',
                )
            assert running.handler.calls == []

    curio.run(scenario)


def test_keys_rotate_without_downtime():
    old = {'k1': fakes.SECRET}
    new = {'k2': fakes.OTHER_SECRET}
    steps = [
        (old, old | new),
        (new | old, old | new),
        (new | old, new),
        (new, new),
    ]

    async def scenario():
        async with fakes.running_server() as running:
            for callers, servers in steps:
                running.server.set_keys(hello.Keys(servers))
                shared = hello.Keys(callers)
                async with fakes.peer_links(
                    running.port, shared=shared
                ) as links:
                    await links.call('b', QUERY, 5)

    curio.run(scenario)


@pytest.mark.parametrize('secrets', [{}, {'k1': b'short'}])
def test_weak_keys_are_refused(secrets):
    with pytest.raises(hello.KeysInvalid):
        hello.Keys(secrets)


def test_repr_of_keys_contains_no_secret():
    assert fakes.SECRET.decode() not in repr(fakes.keys())


def _handshake_parties():
    """Return the caller and the server of a handshake, unconnected."""
    keys = fakes.keys()
    caller = _handshake.HandshakeParty(fakes.CALLER, fakes.INFO, keys)
    return caller, _handshake.HandshakeParty(fakes.SERVER, fakes.INFO, keys)


def test_caller_checks_the_servers_proof_itself():
    caller, server = _handshake_parties()
    opening = caller.build_hello('b', raw.NONCE)
    reply = server.build_reply(opening, raw.NONCE)
    forged = msgspec.structs.replace(reply, proof=b'x' * 32)
    with pytest.raises(exceptions.HelloRefused, match='wrong_key'):
        caller.verify_reply(opening, forged)
    caller.verify_reply(opening, reply)


def test_both_sides_check_the_called_host():
    caller, server = _handshake_parties()
    opening = caller.build_hello('c', raw.NONCE)
    with pytest.raises(exceptions.HelloRefused, match='wrong_host'):
        server.build_reply(opening, raw.NONCE)
    reply = server.build_reply(caller.build_hello('b', raw.NONCE), raw.NONCE)
    with pytest.raises(exceptions.HelloRefused, match='wrong_host'):
        caller.verify_reply(opening, reply)
