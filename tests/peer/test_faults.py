"""Test that invalid input and broken connections affect no other link."""

import contextlib

import curio
import pytest

from hibiscusslip import codec
from hibiscusslip.observe import refusal_log
from hibiscusslip.peer import _channel
from hibiscusslip.peer import _handshake
from hibiscusslip.peer import _session
from hibiscusslip.peer import counts
from hibiscusslip.peer import exceptions
from hibiscusslip.peer import messages
from tests.peer import fakes
from tests.peer import raw

QUERY = messages.StatusQuery()
CALL = codec.encode(messages.Envelope(1, False, '', 1.0, QUERY))
PARTIAL_FRAME = b'\x82\x7e\x10\x00half'


async def _assert_still_serves(running):
    async with fakes.peer_links(running.port) as links:
        await links.call('b', QUERY, 5)


async def _assert_closed(caller):
    with pytest.raises((exceptions.ChannelClosed, OSError)):
        await caller.channel.receive()


@pytest.mark.parametrize(
    'data',
    [
        b'\x00\xff' * 100,
        b'GET /peer HTTP/1.1\r\n\r\n',
        b'GET / HTTP/1.1\r\n' + b'a: b\r\n' * 10_000,
        b'',
    ],
)
def test_garbage_instead_of_an_upgrade_closes_the_connection(data):
    async def scenario():
        async with fakes.running_server() as running:
            sock = await curio.open_connection('127.0.0.1', running.port)
            try:
                await sock.sendall(data)
                await sock.shutdown(1)
                while await sock.recv(4096):
                    pass
            except OSError:
                pass
            await sock.close()
            await _assert_still_serves(running)

    curio.run(scenario)


@pytest.mark.parametrize(
    'data',
    [
        b'\xff' * 20,
        codec.encode(QUERY),
        codec.encode(messages.Envelope(1, True, '', 0.0, QUERY)),
        b'x' * (fakes.LIMITS.max_frame_bytes + 1),
    ],
)
def test_invalid_message_on_an_authenticated_link_closes_it(data):
    async def scenario():
        async with fakes.running_server() as running:
            async with raw.raw_caller(running.port) as caller:
                await caller.shake_hands()
                await caller.channel.send(data)
                await _assert_closed(caller)
            assert running.handler.calls == []
            await _assert_still_serves(running)

    curio.run(scenario)


@pytest.mark.parametrize(
    'send',
    [
        lambda proto: proto.send_text(CALL),
        lambda proto: proto.send_binary(CALL, fin=False),
    ],
)
def test_text_or_fragmented_frame_closes_the_link(send):
    async def scenario():
        async with fakes.running_server() as running:
            async with raw.raw_caller(running.port) as caller:
                await caller.shake_hands()
                send(caller.proto)
                await caller.channel.flush()
                await _assert_closed(caller)
            assert running.handler.calls == []
            await _assert_still_serves(running)

    curio.run(scenario)


def test_reset_during_a_call_frame_leaves_the_server_running():
    async def scenario():
        async with fakes.running_server() as running:
            async with raw.raw_caller(running.port) as caller:
                await caller.shake_hands()
                await caller.sock.sendall(PARTIAL_FRAME)
                await caller.reset()
            await _assert_still_serves(running)
            assert len(running.handler.calls) == 1

    curio.run(scenario)


async def _reset_during_reply(sock, _):
    """Read one call, send part of a reply and reset the connection."""
    party = _handshake.HandshakeParty(fakes.SERVER, fakes.INFO, fakes.keys())
    session = _session.Session(
        sock, party, fakes.EchoHandler(), fakes.LIMITS, counts.Counts()
    )
    await session.open()
    await sock.recv(4096)
    await sock.sendall(PARTIAL_FRAME)
    await raw.RawCaller(sock, None, None, party).reset()


def test_reset_during_a_reply_leaves_the_call_unsettled():
    async def scenario():
        listener = curio.network.tcp_server_socket('127.0.0.1', 0)
        port = listener.getsockname()[1]
        task = await curio.spawn(
            curio.network.run_server, listener, _reset_during_reply
        )
        async with fakes.peer_links(port) as links:
            with pytest.raises(exceptions.PeerUnsettled):
                await links.call('b', QUERY, 5)
        await task.cancel()

    curio.run(scenario)


def test_host_that_never_accepts_the_link_is_unreachable():
    async def scenario():
        listener = curio.network.tcp_server_socket('127.0.0.1', 0)
        async with fakes.peer_links(listener.getsockname()[1]) as links:
            with pytest.raises(exceptions.PeerUnreachable):
                await links.call('b', QUERY, 0.1)
        await listener.close()

    curio.run(scenario)


def test_caller_that_sends_no_hello_is_disconnected():
    lim = fakes.limits.Limits(hello_timeout=0.1)

    async def scenario():
        async with fakes.running_server(lim=lim) as running:
            async with raw.raw_caller(running.port) as caller:
                await _assert_closed(caller)

    curio.run(scenario)


def test_excess_unauthenticated_connections_are_closed():
    lim = fakes.limits.Limits(max_unauthenticated=1)

    async def scenario():
        async with fakes.running_server(lim=lim) as running:
            async with raw.raw_caller(running.port):
                extra = await curio.open_connection('127.0.0.1', running.port)
                assert await extra.recv(1) == b''
                await extra.close()
            async with fakes.peer_links(running.port) as links:
                while not await _call_succeeds(links):
                    await curio.sleep(0.01)

    curio.run(scenario)


def test_hosts_are_linked_beside_a_crowd_that_says_nothing():
    """A crowd that kept the limit reached kept all other hosts out."""
    lim = fakes.limits.Limits(
        max_unauthenticated=3, hello_timeout=30.0, evict_after=0.05
    )

    async def scenario():
        async with fakes.running_server(lim=lim) as running:
            crowd = [
                await curio.open_connection('127.0.0.1', running.port)
                for _ in range(3)
            ]
            await curio.sleep(0.2)
            async with fakes.peer_links(running.port) as links:
                assert await links.call('b', QUERY, 5)
                assert await crowd[0].recv(1) == b''
            assert running.server.counts.links_refused == 1
            for sock in crowd:
                await sock.close()
            await _assert_still_serves(running)

    curio.run(scenario)


@pytest.mark.parametrize(
    'data',
    [
        b'\x82\xff' + (60_000).to_bytes(8, 'big') + b'mask' + b'x' * 59_999,
        b'\x89\xfdmask' + b'x' * 125,
    ],
)
def test_stranger_sends_little_before_the_handshake(data):
    """It sent frames of 1 MiB, or pings whose answers were kept."""
    lim = fakes.limits.Limits(hello_timeout=30.0)

    async def scenario():
        async with fakes.running_server(lim=lim) as running:
            async with raw.raw_caller(running.port) as caller:
                with contextlib.suppress(OSError):
                    for _ in range(200):
                        await caller.sock.sendall(data)
                async with curio.timeout_after(5.0):
                    with contextlib.suppress(OSError):
                        while await caller.sock.recv(65536):
                            pass
                received = running.server.counts.bytes_received
                assert received <= lim.max_handshake_bytes

    curio.run(scenario)


def test_refused_hellos_are_logged_once_a_second(monkeypatch):
    """Each one wrote a line of up to 4 kB."""
    lines = []
    log = refusal_log.RefusalLog()
    monkeypatch.setattr(
        refusal_log.loguru.logger,
        'warning',
        lambda *args: lines.append(args),
    )
    for number in range(1000):
        log.warn('x' * 4000, 100.0 + number / 1000)
    log.warn('x', 101.5)
    assert len(lines) == 2
    assert [len(text) for _, text, _ in lines] == [200, 1]
    assert lines[1][2] == 999


async def _call_succeeds(links):
    try:
        return await links.call('b', QUERY, 5)
    except exceptions.PeerUnreachable:
        return None


class PartialWriteSocket:
    """Accept the first half of a write and then fail."""

    def __init__(self):
        self.written_data = b''

    async def sendall(self, data):
        """Accept half of the data, then raise."""
        self.written_data += data[: len(data) // 2]
        raise OSError('stuck')

    async def close(self):
        """Do nothing."""


class UnframedProtocol:
    """Imitate an open websocket protocol, without framing."""

    state = _channel.protocol.State.OPEN

    def __init__(self):
        self.writes = []

    def send_binary(self, data):
        """Queue a message."""
        self.writes.append(data)

    def send_close(self, code):
        """Queue a close frame."""
        self.writes.append(b'close')

    def data_to_send(self):
        """Return what is queued."""
        writes, self.writes = self.writes, []
        return writes


def test_nothing_is_written_after_a_partial_frame():
    async def scenario():
        sock = PartialWriteSocket()
        channel = _channel.Channel(
            sock, UnframedProtocol(), fakes.LIMITS, counts.Counts()
        )
        with pytest.raises(OSError):
            await channel.send(b'12345678')
        await channel.close()
        assert sock.written_data == b'1234'

    curio.run(scenario)


class RecordingSocket(PartialWriteSocket):
    """Accept complete writes."""

    async def sendall(self, data):
        """Accept the data."""
        self.written_data += data


def test_cancelled_message_is_not_sent():
    async def scenario():
        sock = RecordingSocket()
        channel = _channel.Channel(
            sock, UnframedProtocol(), fakes.LIMITS, counts.Counts()
        )
        cancelled_message = await channel.enqueue(b'first')
        await channel.enqueue(b'second')
        cancelled_message.cancelled = True
        writer = await curio.spawn(channel.write_queued)
        while channel.queued or not sock.written_data:
            await curio.sleep(0)
        await writer.cancel()
        assert sock.written_data == b'second'
        assert not cancelled_message.written

    curio.run(scenario)


def test_full_send_queue_refuses_a_message():
    lim = fakes.limits.Limits(max_queue_bytes=10)

    async def scenario():
        channel = _channel.Channel(
            PartialWriteSocket(), UnframedProtocol(), lim, counts.Counts()
        )
        await channel.enqueue(b'12345678')
        with pytest.raises(exceptions.QueueFull):
            await channel.enqueue(b'12345678')
        assert channel.queued == 1

    curio.run(scenario)


def test_idle_link_is_closed_and_reopened_by_a_call():
    lim = fakes.limits.Limits(idle_timeout=0.1)

    async def scenario():
        async with fakes.running_server() as running:
            async with fakes.peer_links(running.port, lim=lim) as links:
                await links.call('b', QUERY, 5)
                while links.linked_hosts() or running.server.linked_hosts():
                    await curio.sleep(0.01)
                await links.call('b', QUERY, 5)
                assert links.counts.links_made == 2

    curio.run(scenario)


def test_close_replies_to_calls_in_flight():
    async def scenario():
        async with fakes.running_server() as running:
            async with fakes.peer_links(running.port) as links:
                task = await curio.spawn(
                    links.call, 'b', messages.ConfigQuery(3), 5
                )
                while not running.handler.calls:
                    await curio.sleep(0.01)
                closing = await curio.spawn(running.server.close, 5)
                while not await _is_refused(links, 'closing'):
                    await curio.sleep(0.01)
                await running.handler.release.set()
                assert (await task.join()).version == 3
                await closing.join()

    curio.run(scenario)


async def _is_refused(links, kind):
    try:
        await links.call('b', QUERY, 5)
    except exceptions.PeerRefused as exc:
        return exc.kind == kind
    return False
