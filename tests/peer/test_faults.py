"""Check that broken input and broken connections do no harm."""

import curio
import pytest

from hibiscusslip import codec
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
HALF_FRAME = b'\x82\x7e\x10\x00half'


async def _still_serves(running):
    async with fakes.linked(running.port) as links:
        await links.call('b', QUERY, 5)


async def _closed(caller):
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
def test_garbage_instead_of_a_websocket_is_closed(data):
    async def scenario():
        async with fakes.serving() as running:
            sock = await curio.open_connection('127.0.0.1', running.port)
            try:
                await sock.sendall(data)
                await sock.shutdown(1)
                while await sock.recv(4096):
                    pass
            except OSError:
                pass
            await sock.close()
            await _still_serves(running)

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
def test_bad_message_on_a_proved_link_ends_it(data):
    async def scenario():
        async with fakes.serving() as running:
            async with raw.calling(running.port) as caller:
                await caller.shake_hands()
                await caller.channel.send(data)
                await _closed(caller)
            assert running.handler.seen == []
            await _still_serves(running)

    curio.run(scenario)


@pytest.mark.parametrize(
    'send',
    [
        lambda proto: proto.send_text(CALL),
        lambda proto: proto.send_binary(CALL, fin=False),
    ],
)
def test_other_frames_than_whole_binary_ones_end_the_link(send):
    async def scenario():
        async with fakes.serving() as running:
            async with raw.calling(running.port) as caller:
                await caller.shake_hands()
                send(caller.proto)
                await caller.channel.flush()
                await _closed(caller)
            assert running.handler.seen == []
            await _still_serves(running)

    curio.run(scenario)


def test_reset_in_the_middle_of_a_call_frame():
    async def scenario():
        async with fakes.serving() as running:
            async with raw.calling(running.port) as caller:
                await caller.shake_hands()
                await caller.sock.sendall(HALF_FRAME)
                await caller.reset()
            await _still_serves(running)
            assert len(running.handler.seen) == 1

    curio.run(scenario)


async def _reset_half_way(sock, _):
    """Serve one call with half a reply and a reset."""
    side = _handshake.Side(fakes.SERVER, fakes.INFO, fakes.keys())
    session = _session.Session(
        sock, side, fakes.Echo(), fakes.LIMITS, counts.Counts()
    )
    await session.greet()
    await sock.recv(4096)
    await sock.sendall(HALF_FRAME)
    await raw.RawCaller(sock, None, None, side).reset()


def test_reset_in_the_middle_of_a_reply_leaves_the_call_unsettled():
    async def scenario():
        listener = curio.network.tcp_server_socket('127.0.0.1', 0)
        port = listener.getsockname()[1]
        task = await curio.spawn(
            curio.network.run_server, listener, _reset_half_way
        )
        async with fakes.linked(port) as links:
            with pytest.raises(exceptions.PeerUnsettled):
                await links.call('b', QUERY, 5)
        await task.cancel()

    curio.run(scenario)


def test_host_that_never_answers_is_unreachable():
    async def scenario():
        listener = curio.network.tcp_server_socket('127.0.0.1', 0)
        async with fakes.linked(listener.getsockname()[1]) as links:
            with pytest.raises(exceptions.PeerUnreachable):
                await links.call('b', QUERY, 0.1)
        await listener.close()

    curio.run(scenario)


def test_silent_caller_is_cut_off():
    lim = fakes.limits.Limits(hello_timeout=0.1)

    async def scenario():
        async with fakes.serving(lim=lim) as running:
            async with raw.calling(running.port) as caller:
                await _closed(caller)

    curio.run(scenario)


def test_too_many_unproved_connections_are_closed():
    lim = fakes.limits.Limits(max_unproved=1)

    async def scenario():
        async with fakes.serving(lim=lim) as running:
            async with raw.calling(running.port):
                extra = await curio.open_connection('127.0.0.1', running.port)
                assert await extra.recv(1) == b''
                await extra.close()
            async with fakes.linked(running.port) as links:
                while not await _answered(links):
                    await curio.sleep(0.01)

    curio.run(scenario)


async def _answered(links):
    try:
        return await links.call('b', QUERY, 5)
    except exceptions.PeerUnreachable:
        return None


class StuckSocket:
    """Take half of each write and then fail."""

    def __init__(self):
        self.taken = b''

    async def sendall(self, data):
        """Take half of the data."""
        self.taken += data[: len(data) // 2]
        raise OSError('stuck')

    async def close(self):
        """Do nothing."""


class PlainProtocol:
    """Stand for an open websocket protocol without framing."""

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


def test_nothing_follows_half_a_frame():
    async def scenario():
        sock = StuckSocket()
        channel = _channel.Channel(
            sock, PlainProtocol(), fakes.LIMITS, counts.Counts()
        )
        with pytest.raises(OSError):
            await channel.send(b'12345678')
        await channel.close()
        assert sock.taken == b'1234'

    curio.run(scenario)


class OpenSocket(StuckSocket):
    """Take each write whole."""

    async def sendall(self, data):
        """Take the data."""
        self.taken += data


def test_abandoned_message_is_not_sent():
    async def scenario():
        sock = OpenSocket()
        channel = _channel.Channel(
            sock, PlainProtocol(), fakes.LIMITS, counts.Counts()
        )
        abandoned = await channel.push(b'first')
        await channel.push(b'second')
        abandoned.dropped = True
        writer = await curio.spawn(channel.write_queued)
        while channel.queued or not sock.taken:
            await curio.sleep(0)
        await writer.cancel()
        assert sock.taken == b'second'
        assert not abandoned.written

    curio.run(scenario)


def test_full_queue_refuses_and_sends_nothing():
    lim = fakes.limits.Limits(max_queue_bytes=10)

    async def scenario():
        channel = _channel.Channel(
            StuckSocket(), PlainProtocol(), lim, counts.Counts()
        )
        await channel.push(b'12345678')
        with pytest.raises(exceptions.QueueFull):
            await channel.push(b'12345678')
        assert channel.queued == 1

    curio.run(scenario)


def test_idle_link_is_closed_and_made_again():
    lim = fakes.limits.Limits(idle_timeout=0.1)

    async def scenario():
        async with fakes.serving() as running:
            async with fakes.linked(running.port, lim=lim) as links:
                await links.call('b', QUERY, 5)
                while links.linked() or running.server.linked():
                    await curio.sleep(0.01)
                await links.call('b', QUERY, 5)
                assert links.counts.links_made == 2

    curio.run(scenario)


def test_close_answers_what_is_in_flight():
    async def scenario():
        async with fakes.serving() as running:
            async with fakes.linked(running.port) as links:
                task = await curio.spawn(
                    links.call, 'b', messages.ConfigQuery(3), 5
                )
                while not running.handler.seen:
                    await curio.sleep(0.01)
                closing = await curio.spawn(running.server.close, 5)
                while not await _refused(links, 'closing'):
                    await curio.sleep(0.01)
                await running.handler.release.set()
                assert (await task.join()).version == 3
                await closing.join()

    curio.run(scenario)


async def _refused(links, kind):
    try:
        await links.call('b', QUERY, 5)
    except exceptions.PeerRefused as exc:
        return exc.kind == kind
    return False
