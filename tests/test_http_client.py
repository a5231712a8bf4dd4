"""Test that the client distinguishes unsent from unsettled requests."""

import functools
import time

import curio
import pytest

from hibiscusslip.http import client
from hibiscusslip.http import exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages
from hibiscusslip.http import uplink
from tests.faults import process
from tests.faults import serving


async def raw_server(answer, close_after_response=True):
    """Start a server that sends raw bytes as its response; return its port.

    Each connection gets `answer` after the first read.
    """
    sock = curio.socket.socket()
    sock.bind(('127.0.0.1', 0))
    sock.listen(5)

    async def serve(conn, peer):
        await conn.recv(65536)
        await conn.sendall(answer)
        while not close_after_response and await conn.recv(65536):
            continue

    await curio.spawn(curio.network.run_server, sock, serve, daemon=True)
    return sock.getsockname()[1]


@pytest.mark.parametrize(
    ('answer', 'kind'),
    [
        (b'', exceptions.CallUnsettled),
        (b'HTTP/1.1 200 OK\r\ncontent-le', exceptions.CallUnsettled),
        (
            b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc',
            exceptions.CallUnsettled,
        ),
        (b'nonsense\r\n\r\n', exceptions.MalformedResponse),
        (
            b'HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n' + b'a' * 99,
            exceptions.MalformedResponse,
        ),
    ],
)
def test_invalid_response_leaves_the_call_unsettled(answer, kind):
    async def scenario():
        port = await raw_server(answer)
        pool = client.Pool('127.0.0.1', port, limits.Limits(max_body_bytes=50))
        with pytest.raises(kind):
            await pool.call('POST', '/', body=b'x', timeout=5)

    serving.run(scenario)


def test_refused_connection_means_not_sent():
    async def scenario():
        pool = client.Pool('127.0.0.1', process.Ports().reserve())
        with pytest.raises(exceptions.NotSent):
            await pool.call('POST', '/', body=b'x', timeout=5)

    serving.run(scenario)


async def never_respond(req):
    """Send no response until cancelled."""
    await curio.sleep(1000)


def test_timeout_while_waiting_for_a_connection_means_not_sent():
    async def scenario():
        handler = serving.Echo(never_respond)
        async with serving.run_server(handler) as (_, port):
            pool = client.Pool('127.0.0.1', port, max_connections=1)

            async def hold_connection():
                await pool.call('GET', '/1', timeout=60)

            first = await curio.spawn(hold_connection, daemon=True)
            while not handler.requests:
                await curio.sleep(0.01)
            with pytest.raises(exceptions.NotSent):
                await pool.call('GET', '/2', timeout=0.1)
            await first.cancel()
            assert [req.path for req in handler.requests] == ['/1']

    serving.run(scenario)


def test_timeout_after_the_write_leaves_the_call_unsettled():
    async def scenario():
        handler = serving.Echo(never_respond)
        async with serving.run_server(handler) as (_, port):
            pool = client.Pool('127.0.0.1', port)
            with pytest.raises(exceptions.CallUnsettled):
                await pool.call('GET', '/1', timeout=1)
            assert [req.path for req in handler.requests] == ['/1']

    serving.run(scenario)


def test_timed_out_call_tells_how_much_of_the_response_had_arrived():
    async def scenario():
        answer = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc'
        port = await raw_server(answer, close_after_response=False)
        pool = client.Pool('127.0.0.1', port)
        with pytest.raises(exceptions.CallUnsettled) as caught:
            await pool.call('GET', '/', timeout=0.3)
        transfer = caught.value.transfer
        assert (transfer.received, transfer.expected) == (3, 5)
        assert transfer.first_byte_after < 0.3
        assert 'only 3 bytes of 5, then none for 0.3 s' in str(caught.value)

    serving.run(scenario)


def test_timed_out_call_without_a_response_has_received_nothing():
    async def scenario():
        port = await raw_server(b'', close_after_response=False)
        pool = client.Pool('127.0.0.1', port)
        with pytest.raises(exceptions.CallUnsettled) as caught:
            await pool.call('GET', '/', timeout=0.3)
        assert caught.value.transfer == messages.NO_TRANSFER

    serving.run(scenario)


async def trickling_server(pieces, pause):
    """Start a server that sends a response in pieces; return its port."""
    sock = curio.socket.socket()
    sock.bind(('127.0.0.1', 0))
    sock.listen(5)

    async def serve(conn, peer):
        await conn.recv(65536)
        size = sum(len(piece) for piece in pieces)
        head = f'HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n'
        await conn.sendall(head.encode())
        for piece in pieces:
            await curio.sleep(pause)
            await conn.sendall(piece)

    await curio.spawn(curio.network.run_server, sock, serve, daemon=True)
    return sock.getsockname()[1]


def test_response_that_keeps_arriving_outlasts_the_timeout():
    async def scenario():
        pieces = [b'x' * 20_000] * 8
        port = await trickling_server(pieces, 0.1)
        pool = client.Pool('127.0.0.1', port)
        response = await pool.call('GET', '/', timeout=0.4)
        assert len(response.content) == 160_000

    serving.run(scenario)


def test_response_slower_than_the_slowest_rate_is_given_up():
    async def scenario():
        port = await trickling_server([b'x'] * 100, 0.1)
        bounds = limits.Limits(min_bytes_per_s=1000)
        pool = client.Pool('127.0.0.1', port, bounds)
        with pytest.raises(exceptions.CallUnsettled) as caught:
            await pool.call('GET', '/', timeout=0.4)
        assert 'under 1000 bytes/s' in str(caught.value)
        assert caught.value.transfer.received < 10

    serving.run(scenario)


def test_server_may_hold_a_request_open_beyond_the_timeout():
    async def scenario():
        async def hold_open(req):
            await curio.sleep(0.5)
            return messages.Response(200)

        async with serving.run_server(serving.Echo(hold_open)) as (_, port):
            pool = client.Pool('127.0.0.1', port)
            response = await pool.call('GET', '/', timeout=0.3, wait=0.5)
            assert response.status == 200

    serving.run(scenario)


def test_abandoned_request_resets_its_connection():
    async def scenario():
        sock = curio.socket.socket()
        sock.bind(('127.0.0.1', 0))
        sock.listen(1)
        pool = client.Pool('127.0.0.1', sock.getsockname()[1])
        with pytest.raises(exceptions.CallUnsettled):
            await pool.call('POST', '/', body=b'x' * 2**24, timeout=0.5)
        peer, _ = await sock.accept()
        with pytest.raises(ConnectionError):
            while await peer.recv(65536):
                continue

    serving.run(scenario)


def test_connection_closed_while_idle_is_replaced():
    async def scenario():
        bounds = limits.Limits(idle_timeout=0.1, sweep_interval=0.02)
        handler = serving.Echo()
        async with serving.run_server(handler, bounds) as (running, port):
            pool = client.Pool('127.0.0.1', port)
            await pool.call('GET', '/1', timeout=5)
            while running.open_connections:
                await curio.sleep(0.01)
            await pool.call('GET', '/2', timeout=5)
            assert [req.path for req in handler.requests] == ['/1', '/2']

    serving.run(scenario)


def test_bytes_after_a_response_are_not_read_as_the_next_one():
    async def scenario():
        ok = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n'
        port = await raw_server(
            ok + b'my' + ok + b'no', close_after_response=False
        )
        pool = client.Pool('127.0.0.1', port)
        for _ in range(3):
            assert (await pool.call('GET', '/', timeout=5)).body == b'my'

    serving.run(scenario)


def test_response_of_an_abandoned_call_is_not_read_by_another():
    async def respond(req):
        await curio.sleep(0.2 if req.path == '/slow' else 0)
        return messages.Response(200, {}, req.path.encode())

    async def scenario():
        async with serving.run_server(serving.Echo(respond)) as (_, port):
            pool = client.Pool('127.0.0.1', port, max_connections=1)
            for _ in range(3):
                with pytest.raises(exceptions.HttpError):
                    await pool.call('GET', '/slow', timeout=0.05)
                response = await pool.call('GET', '/quick', timeout=5)
                assert response.body == b'/quick'

    serving.run(scenario)


def test_late_loop_isnt_taken_for_a_silent_server():
    """The connection opens while the loop is held, beyond the timeout."""

    async def scenario():
        async with serving.run_server(serving.Echo()) as (_, port):
            pool = client.Pool('127.0.0.1', port)
            call = await curio.spawn(
                functools.partial(pool.call, 'GET', '/1', timeout=0.15)
            )
            await curio.sleep(0)
            time.sleep(0.4)
            response = await call.join()
            assert response.status == 200

    serving.run(scenario)


def test_silence_of_a_server_is_bounded_by_the_timeout():
    async def scenario():
        port = await raw_server(b'', close_after_response=False)
        pool = client.Pool('127.0.0.1', port)
        started = time.monotonic()
        with pytest.raises(exceptions.CallUnsettled):
            await pool.call('GET', '/', timeout=0.3, wait=0.2)
        assert 0.5 <= time.monotonic() - started < 1.0

    serving.run(scenario)


def test_large_request_on_a_slow_link_isnt_given_up_by_the_kernel():
    """The server reads nothing for longer than the kernel's usual limit."""

    async def scenario():
        sock = curio.socket.socket()
        sock.bind(('127.0.0.1', 0))
        sock.listen(1)
        size = 8 * 2**20

        async def serve():
            conn, _ = await sock.accept()
            await curio.sleep(2.5)
            received = 0
            while received < size:
                received += len(await conn.recv(65536))
            await conn.sendall(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
            await curio.sleep(1.0)

        await curio.spawn(serve, daemon=True)
        bounds = limits.Limits(tcp_user_timeout=0.5)
        pool = client.Pool(
            '127.0.0.1',
            sock.getsockname()[1],
            bounds,
            uplink=uplink.Uplink(20.0),
        )
        response = await pool.call('POST', '/', body=b'x' * size, timeout=1.0)
        assert response.status == 200

    serving.run(scenario)


def test_calls_allow_for_the_requests_that_wait_for_the_link():
    """The second request is sent once the link has sent the first."""
    link = uplink.Uplink(8.0)
    assert link.add(500_000, 10.0) == pytest.approx(1.0)
    assert link.add(500_000, 10.0) == pytest.approx(2.0)
    assert link.backlog(10.4) == pytest.approx(0.6)
    assert link.backlog(12.0) == 0.0
    assert link.add(500_000, 12.0) == pytest.approx(1.0)
