"""Check that crowds don't make an entry host hold more than it may."""

import socket

import pytest

from tests.crowds import crowd
from tests.crowds import entry

MIB = 1024 * 1024
MEMORY_MIB = 160
DESCRIPTORS = 500
CLIENT_BYTES = 32 * MIB
BODY_BYTES = MIB
HEAD = b'POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n'


def free_ports(count):
    """Return ports that are free now."""
    socks = [socket.create_server(('127.0.0.1', 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


@pytest.mark.parametrize('listener', ['callers_port', 'operators_port'])
@pytest.mark.parametrize(
    ('count', 'data'),
    [
        (200, HEAD % BODY_BYTES + b' ' * (BODY_BYTES - 1)),
        (150, b'POST /v1/jobs HTTP/1.1\r\n' + b'a:\r\n' * 3500 + HEAD[24:]),
        (400, b''),
    ],
    ids=['bodies', 'many header fields', 'silent'],
)
def test_crowd_stays_within_the_bounds(listener, count, data, tmp_path):
    """Nothing bounded the requests of all connections together."""
    with entry.running(
        tmp_path,
        free_ports(3),
        max_body_bytes=BODY_BYTES,
        max_client_bytes=CLIENT_BYTES,
        max_connections=300,
    ) as host:
        address = ('127.0.0.1', getattr(host, listener))
        with crowd.present(address, count, data):
            assert host.alive
            assert host.open_descriptors() <= DESCRIPTORS
            assert host.answers()
        assert host.alive
        assert host.answers()
        assert host.peak_memory_mib() <= MEMORY_MIB
