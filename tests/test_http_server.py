"""Test that the server survives malformed input and drains gracefully."""

import socket
import struct

import curio
import pytest

from hibiscusslip.http import client
from hibiscusslip.http import exceptions
from hibiscusslip.http import limits
from hibiscusslip.http import messages
from tests.faults import serving

GET = b'GET /%b HTTP/1.1\r\nhost: x\r\n\r\n'
LAST = b'GET /last HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
POST = b'POST / HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n'


def status_of(response):
    """Return the status of the first response in raw bytes."""
    return int(response.split(b' ')[1])


async def call_once(port, path='/', **kwargs):
    """Send one request on a connection of its own."""
    pool = client.Pool('127.0.0.1', port, serving.SHORT_TIMEOUTS)
    try:
        return await pool.call('GET', path, timeout=5, **kwargs)
    finally:
        await pool.close()


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        (b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nhost: x\r\nbad header\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n', 400),
        (b'GET /' + b'a' * 20_000 + b' HTTP/1.1\r\n', 431),
        (POST % (2 * 1024 * 1024) + b'a' * (2 * 1024 * 1024), 413),
        (
            b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n'
            b'\r\nzz\r\n',
            400,
        ),
    ],
)
def test_malformed_input_is_refused_and_the_server_keeps_serving(raw, status):
    async def scenario():
        handler = serving.Echo()
        async with serving.run_server(handler) as (_, port):
            response = await serving.send(port, raw)
            assert status_of(response) == status
            assert handler.requests == []
            assert (await call_once(port, '/on')).body == b'/on'

    serving.run(scenario)


@pytest.mark.parametrize('raw', [b'', b'GET / HT', POST % 10 + b'short'])
def test_truncated_input_never_reaches_the_handler(raw):
    async def scenario():
        handler = serving.Echo()
        async with serving.run_server(handler) as (running, port):
            sock = await curio.open_connection('127.0.0.1', port)
            await sock.sendall(raw)
            await sock.shutdown(socket.SHUT_WR)
            await serving.read_all(sock)
            await sock.close()
            while running.open_connections:
                await curio.sleep(0.01)
            assert handler.requests == []

    serving.run(scenario)


@pytest.mark.parametrize('raw', [b'GET / HTTP/1.1\r\nho', POST % 9 + b'a'])
def test_slow_request_times_out_without_blocking_others(raw):
    async def scenario():
        handler = serving.Echo()
        async with serving.run_server(handler) as (_, port):
            slow = await curio.spawn(serving.send, port, raw)
            assert (await call_once(port, '/other')).body == b'/other'
            assert status_of(await slow.join()) == 408
            assert [req.path for req in handler.requests] == ['/other']

    serving.run(scenario)


def test_pipelined_requests_are_answered_in_order():
    async def respond(req):
        await curio.sleep(0.05 if req.path == '/0' else 0)
        return messages.Response(200, {}, b'[' + req.path.encode() + b']')

    async def scenario():
        async with serving.run_server(serving.Echo(respond)) as (_, port):
            raw = b''.join(GET % str(n).encode() for n in range(5)) + LAST
            got = await serving.send(port, raw)
            bodies = [part.split(b']')[0] for part in got.split(b'[')[1:]]
            assert bodies == [b'/0', b'/1', b'/2', b'/3', b'/4', b'/last']

    serving.run(scenario)


def test_reset_during_a_request_leaves_the_server_running():
    async def scenario():
        async with serving.run_server(serving.Echo()) as (running, port):
            for raw in (b'GET /', POST % 99, GET % b'x' * 50):
                sock = socket.create_connection(('127.0.0.1', port))
                sock.sendall(raw)
                linger_zero = struct.pack('ii', 1, 0)
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger_zero
                )
                sock.close()
            assert (await call_once(port, '/on')).body == b'/on'
            while running.open_connections:
                await curio.sleep(0.01)

    serving.run(scenario)


def test_client_that_reads_nothing_is_disconnected():
    async def respond(req):
        return messages.Response(200, {}, b'x' * 64 * 1024 * 1024)

    async def scenario():
        async with serving.run_server(serving.Echo(respond)) as (
            running,
            port,
        ):
            sock = await curio.open_connection('127.0.0.1', port)
            await sock.sendall(GET % b'')
            while not running.open_connections:
                await curio.sleep(0.01)
            while running.open_connections:
                await curio.sleep(0.01)
            assert len(await serving.read_all(sock)) < 64 * 1024 * 1024
            await sock.close()

    serving.run(scenario)


async def stream_chunks(count, fails):
    """Yield `count` chunks, then raise if `fails`."""
    for number in range(count):
        await curio.sleep(0)
        yield b'%d,' % number
    if fails:
        raise RuntimeError('no more')


def test_streamed_body_is_complete_or_the_call_is_unsettled():
    async def respond(req):
        body = stream_chunks(100, req.path == '/fails')
        return messages.Response(200, {}, body)

    async def scenario():
        async with serving.run_server(serving.Echo(respond)) as (_, port):
            whole = b''.join(b'%d,' % number for number in range(100))
            assert (await call_once(port, '/')).body == whole
            with pytest.raises(exceptions.CallUnsettled):
                await call_once(port, '/fails')

    serving.run(scenario)


def test_failing_handler_gives_500_and_the_server_keeps_serving():
    async def respond(req):
        if req.path == '/bad':
            raise RuntimeError('broken')
        if req.path == '/split':
            return messages.Response(200, {'x': 'a\r\nset-cookie: b'})
        return messages.Response(200, {}, b'good')

    async def scenario():
        async with serving.run_server(serving.Echo(respond)) as (_, port):
            assert (await call_once(port, '/bad')).status == 500
            assert (await call_once(port, '/split')).status == 500
            assert (await call_once(port, '/')).body == b'good'

    serving.run(scenario)


def test_connections_over_the_limit_get_status_503():
    async def scenario():
        bounds = limits.Limits(max_connections=1, sweep_interval=0.05)
        async with serving.run_server(serving.Echo(), bounds) as (_, port):
            first = await curio.open_connection('127.0.0.1', port)
            await first.sendall(GET % b'')
            await first.recv(1000)
            assert status_of(await serving.send(port, GET % b'')) == 503
            await first.close()

    serving.run(scenario)


def make_slow_handler(started_event):
    """Return a handler function that sets an event and responds late."""

    async def respond(req):
        await started_event.set()
        await curio.sleep(0.3)
        return messages.Response(200, {}, b'whole')

    return respond


def test_drain_finishes_requests_in_flight():
    async def scenario():
        started_event = curio.Event()
        handler = serving.Echo(make_slow_handler(started_event))
        async with serving.run_server(handler) as (running, port):
            idle = await curio.open_connection('127.0.0.1', port)
            pending_call = await curio.spawn(call_once, port)
            await started_event.wait()
            assert await running.drain(10) == 0
            assert (await pending_call.join()).body == b'whole'
            assert await serving.read_all(idle) == b''
            await idle.close()
            with pytest.raises(exceptions.NotSent):
                await call_once(port)

    serving.run(scenario)


def test_drain_returns_the_number_of_aborted_requests():
    async def scenario():
        started_event = curio.Event()
        handler = serving.Echo(make_slow_handler(started_event))
        async with serving.run_server(handler) as (running, port):
            pending_call = await curio.spawn(serving.send, port, GET % b'')
            await started_event.wait()
            assert await running.drain(0.01) == 1
            assert await pending_call.join() == b''

    serving.run(scenario)
