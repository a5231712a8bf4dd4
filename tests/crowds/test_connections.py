"""Check that crowds don't take a host's descriptors, or its time."""

import contextlib
import signal
import threading

import pytest

from tests.crowds import crowd
from tests.crowds import hosts

GET = b'GET /nowhere/1 HTTP/1.1\r\nhost: x\r\n\r\n'
UPGRADE = (
    b'GET /peer HTTP/1.1\r\nhost: x\r\nupgrade: websocket\r\n'
    b'connection: upgrade\r\nsec-websocket-version: 13\r\n'
    b'sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n'
)
PING = b'\x89\xfdmask' + b'x' * 125
LISTENERS = (hosts.FRONT, hosts.READY, hosts.METRICS, hosts.PEERS)
DESCRIPTORS = 600
MAX_METRICS_BYTES = 128 * 1024


@pytest.mark.parametrize('data', [b'', b'G', b'GET / HTTP/1.1\r\nho'])
def test_idle_connections_leave_descriptors(data, tmp_path):
    """Each of the listeners took 1,500 of them, of 4,100 in all."""
    with hosts.running(tmp_path, descriptors=DESCRIPTORS) as host:
        with contextlib.ExitStack() as crowds:
            for port in LISTENERS:
                address = (host.ip, port)
                crowds.enter_context(crowd.present(address, 300, data))
            host.check_bounds()
        host.check_bounds()


def test_unread_answers_stay_within_the_memory(tmp_path):
    with hosts.running(tmp_path) as host:
        address = (host.ip, hosts.FRONT)
        with crowd.present(address, 200, GET * 20_000):
            host.check_bounds()
        metrics = b'GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n'
        address = (host.ip, hosts.METRICS)
        with crowd.present(address, 200, metrics * 2000):
            host.check_bounds()


def _send_until(sock, stopped, data):
    with contextlib.suppress(OSError):
        while not stopped.is_set():
            sock.sendall(data)


def _read_until(sock, stopped):
    with contextlib.suppress(OSError):
        while not stopped.is_set() and sock.recv(1 << 20):
            pass


@pytest.mark.parametrize(
    ('port', 'start', 'data'),
    [
        (hosts.FRONT, b'', GET * 1000),
        (hosts.METRICS, b'', GET * 1000),
        (hosts.PEERS, UPGRADE, PING * 500),
    ],
    ids=['front', 'metrics', 'peers'],
)
def test_endless_input_on_a_connection_leaves_time_for_others(
    port, start, data, tmp_path
):
    """A connection that always had input was served before all others."""
    with hosts.running(tmp_path) as host:
        stopped = threading.Event()
        clients = [crowd.Client((host.ip, port), b'') for _ in range(2)]
        threads = []
        for client in clients:
            client.sock.setblocking(True)
            client.sock.sendall(start)
            for target, *args in (
                (_send_until, data),
                (_read_until,),
            ):
                args = (client.sock, stopped, *args)
                threads.append(threading.Thread(target=target, args=args))
        for thread in threads:
            thread.start()
        try:
            host.check_bounds()
        finally:
            stopped.set()
            for client in clients:
                client.close()
            host.signal(signal.SIGKILL)
            for thread in threads:
                thread.join()


def test_odd_methods_are_counted_together(tmp_path):
    """Each method had counters and a histogram of its own, for good."""
    methods = [b'M%06d' % number for number in range(20_000)]
    data = b''.join(GET.replace(b'GET', method) for method in methods)
    with hosts.running(tmp_path) as host:
        client = crowd.Client((host.ip, hosts.FRONT), data)
        client.sock.setblocking(True)
        stopped = threading.Event()
        reader = threading.Thread(
            target=_read_until, args=(client.sock, stopped)
        )
        reader.start()
        with contextlib.suppress(OSError):
            client.sock.sendall(data)
        host.check_bounds()
        status, text = host.call(hosts.METRICS, 'GET', '/metrics')
        stopped.set()
        client.close()
        reader.join()
        assert status == 200
        assert len(text) <= MAX_METRICS_BYTES


@pytest.mark.parametrize('port', [hosts.FRONT, hosts.READY])
def test_crowd_while_draining_stays_within_the_bounds(port, tmp_path):
    """A host that is stopping still reads requests, for seconds."""
    data = (
        b'POST %s0123456789abcdef HTTP/1.1\r\nhost: %s\r\n'
        b'content-length: 8388608\r\n\r\n'
        % (hosts.PREFIX.encode(), hosts.HOST.encode())
    ) + b' ' * 8388607
    with hosts.running(tmp_path, descriptors=DESCRIPTORS) as host:
        host.signal(signal.SIGTERM)
        with crowd.present((host.ip, port), 60, data):
            memory = host.peak_memory_mib() if host.alive else 0
        assert memory <= host.max_memory_mib
        assert host.wait_for_end() == 0
