"""Check that the server takes hostile input and ends in order."""

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


def status_of(answer):
    """Return the status of the first response in raw bytes."""
    return int(answer.split(b' ')[1])


async def ask(port, path='/', **kwargs):
    """Make one call on a connection of its own."""
    pool = client.Pool('127.0.0.1', port, serving.QUICK)
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
def test_malformed_input_is_refused_without_harm(raw, status):
    async def work():
        handler = serving.Echo()
        async with serving.serving(handler) as (_, port):
            answer = await serving.send(port, raw)
            assert status_of(answer) == status
            assert handler.seen == []
            assert (await ask(port, '/on')).body == b'/on'

    serving.run(work)


@pytest.mark.parametrize('raw', [b'', b'GET / HT', POST % 10 + b'short'])
def test_truncated_input_never_reaches_the_handler(raw):
    async def work():
        handler = serving.Echo()
        async with serving.serving(handler) as (running, port):
            sock = await curio.open_connection('127.0.0.1', port)
            await sock.sendall(raw)
            await sock.shutdown(socket.SHUT_WR)
            await serving.read_all(sock)
            await sock.close()
            while running.open_connections:
                await curio.sleep(0.01)
            assert handler.seen == []

    serving.run(work)


@pytest.mark.parametrize('raw', [b'GET / HTTP/1.1\r\nho', POST % 9 + b'a'])
def test_slow_request_times_out_and_blocks_no_other(raw):
    async def work():
        handler = serving.Echo()
        async with serving.serving(handler) as (_, port):
            slow = await curio.spawn(serving.send, port, raw)
            assert (await ask(port, '/other')).body == b'/other'
            assert status_of(await slow.join()) == 408
            assert [req.path for req in handler.seen] == ['/other']

    serving.run(work)


def test_pipelined_requests_are_answered_in_order():
    async def answer(req):
        await curio.sleep(0.05 if req.path == '/0' else 0)
        return messages.Response(200, {}, b'[' + req.path.encode() + b']')

    async def work():
        async with serving.serving(serving.Echo(answer)) as (_, port):
            raw = b''.join(GET % str(n).encode() for n in range(5)) + LAST
            got = await serving.send(port, raw)
            bodies = [part.split(b']')[0] for part in got.split(b'[')[1:]]
            assert bodies == [b'/0', b'/1', b'/2', b'/3', b'/4', b'/last']

    serving.run(work)


def test_reset_in_the_middle_leaves_the_server_well():
    async def work():
        async with serving.serving(serving.Echo()) as (running, port):
            for raw in (b'GET /', POST % 99, GET % b'x' * 50):
                sock = socket.create_connection(('127.0.0.1', port))
                sock.sendall(raw)
                hard = struct.pack('ii', 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, hard)
                sock.close()
            assert (await ask(port, '/on')).body == b'/on'
            while running.open_connections:
                await curio.sleep(0.01)

    serving.run(work)


def test_reader_that_takes_nothing_is_cut_off():
    async def answer(req):
        return messages.Response(200, {}, b'x' * 64 * 1024 * 1024)

    async def work():
        async with serving.serving(serving.Echo(answer)) as (running, port):
            sock = await curio.open_connection('127.0.0.1', port)
            await sock.sendall(GET % b'')
            while not running.open_connections:
                await curio.sleep(0.01)
            while running.open_connections:
                await curio.sleep(0.01)
            assert len(await serving.read_all(sock)) < 64 * 1024 * 1024
            await sock.close()

    serving.run(work)


async def pieces(count, fails):
    """Yield some pieces, then fail if told so."""
    for number in range(count):
        await curio.sleep(0)
        yield b'%d,' % number
    if fails:
        raise RuntimeError('no more')


def test_streamed_body_arrives_whole_or_not_at_all():
    async def answer(req):
        body = pieces(100, req.path == '/fails')
        return messages.Response(200, {}, body)

    async def work():
        async with serving.serving(serving.Echo(answer)) as (_, port):
            whole = b''.join(b'%d,' % number for number in range(100))
            assert (await ask(port, '/')).body == whole
            with pytest.raises(exceptions.CallUnsettled):
                await ask(port, '/fails')

    serving.run(work)


def test_failing_handler_answers_500_and_goes_on():
    async def answer(req):
        if req.path == '/bad':
            raise RuntimeError('broken')
        if req.path == '/split':
            return messages.Response(200, {'x': 'a\r\nset-cookie: b'})
        return messages.Response(200, {}, b'good')

    async def work():
        async with serving.serving(serving.Echo(answer)) as (_, port):
            assert (await ask(port, '/bad')).status == 500
            assert (await ask(port, '/split')).status == 500
            assert (await ask(port, '/')).body == b'good'

    serving.run(work)


def test_connections_over_the_limit_are_told_so():
    async def work():
        bounds = limits.Limits(max_connections=1, sweep_interval=0.05)
        async with serving.serving(serving.Echo(), bounds) as (_, port):
            first = await curio.open_connection('127.0.0.1', port)
            await first.sendall(GET % b'')
            await first.recv(1000)
            assert status_of(await serving.send(port, GET % b'')) == 503
            await first.close()

    serving.run(work)


def slow_answer(begun):
    """Return a handler function that takes a while."""

    async def answer(req):
        await begun.set()
        await curio.sleep(0.3)
        return messages.Response(200, {}, b'whole')

    return answer


def test_drain_answers_what_is_in_flight():
    async def work():
        begun = curio.Event()
        handler = serving.Echo(slow_answer(begun))
        async with serving.serving(handler) as (running, port):
            idle = await curio.open_connection('127.0.0.1', port)
            asking = await curio.spawn(ask, port)
            await begun.wait()
            assert await running.drain(10) == 0
            assert (await asking.join()).body == b'whole'
            assert await serving.read_all(idle) == b''
            await idle.close()
            with pytest.raises(exceptions.NotSent):
                await ask(port)

    serving.run(work)


def test_drain_tells_how_many_requests_it_cut_off():
    async def work():
        begun = curio.Event()
        handler = serving.Echo(slow_answer(begun))
        async with serving.serving(handler) as (running, port):
            asking = await curio.spawn(serving.send, port, GET % b'')
            await begun.wait()
            assert await running.drain(0.01) == 1
            assert await asking.join() == b''

    serving.run(work)
