"""Check that crowds don't make a host hold more than its machine has."""

import pytest

from tests.crowds import crowd
from tests.crowds import hosts
from tests.platform import cell

MIB = 1024 * 1024
MAX_BODY = 262144  # of the configuration in force
JOB = b'POST %s0123456789abcdef HTTP/1.1\r\nhost: %s\r\n' % (
    hosts.PREFIX.encode(),
    hosts.HOST.encode(),
)
UNKNOWN = b'POST /nowhere/1 HTTP/1.1\r\nhost: x\r\n'


def announced(size, start=JOB):
    """Return a request that lacks the last byte of its body."""
    head = start + b'content-length: %d\r\n\r\n' % size
    return head + b' ' * (size - 1)


def chunked(size, start=JOB):
    """Return a request in chunks that doesn't end."""
    head = start + b'transfer-encoding: chunked\r\n\r\n'
    chunk = b'10000\r\n' + b' ' * 0x10000 + b'\r\n'
    return head + chunk * (size // 0x10000)


def many_fields():
    """Return a head of the usual limit's size, then a part of a body."""
    fields = b'a:\r\n' * 3500
    return JOB + fields + b'content-length: 9\r\n\r\n1'


def small_chunks(size, chunk_size=1):
    """Return a body within the limit, in chunks of a byte or more."""
    head = JOB + b'transfer-encoding: chunked\r\n\r\n'
    chunk = b'%x\r\n' % chunk_size + b' ' * chunk_size + b'\r\n'
    return head + chunk * (size // chunk_size)


def body_and_trailers(size):
    """Return a body within the limit and trailers that don't end."""
    head = JOB + b'transfer-encoding: chunked\r\n\r\n'
    body = b'%x\r\n' % size + b' ' * size + b'\r\n0\r\n'
    return head + body + b'a: b\r\n' * 2500


CROWDS = {
    'announced': (60, announced(8 * MIB)),
    'announced for an unknown queue': (60, announced(8 * MIB, UNKNOWN)),
    'announced with DELETE': (
        60,
        announced(8 * MIB, JOB.replace(b'POST', b'DELETE')),
    ),
    'announced with GET': (
        60,
        announced(8 * MIB, JOB.replace(b'POST', b'GET')),
    ),
    'announced with PUT': (
        60,
        announced(8 * MIB, JOB.replace(b'POST', b'PUT')),
    ),
    'just sent': (60, chunked(7 * MIB)),
    'within the limit': (600, announced(MAX_BODY)),
    'many header fields': (400, many_fields()),
    'chunks of a byte': (50, small_chunks(MAX_BODY - 1)),
    'chunks as small as allowed': (300, small_chunks(MAX_BODY - 64, 64)),
    'trailers': (600, body_and_trailers(MAX_BODY - 1)),
}


@pytest.mark.parametrize('name', CROWDS)
def test_unfinished_requests_stay_within_the_memory(name, tmp_path):
    """60 clients that announced 8 MiB brought a host to 520 MB."""
    count, data = CROWDS[name]
    with hosts.running(tmp_path) as host:
        with crowd.present((host.ip, hosts.FRONT), count, data):
            host.check_bounds()
        host.check_bounds()
        assert list(host.inbox()).count('0123456789abcdef') == 0


def test_refused_keys_stay_within_the_memory(tmp_path):
    """What a caller without a key sends is received before its refusal."""
    extra = 'Contracts=tenants\n'
    config = cell.organisations_document(2, {'o1': ['key-1']})
    with hosts.running(tmp_path, extra=extra) as host:
        host.configure(config)
        host.headers['Authorization'] = 'Bearer key-1'
        hosts.wait_until(host.refuses_strangers, host, 'the configuration')
        address = (host.ip, hosts.FRONT)
        with crowd.present(address, 600, announced(MAX_BODY)):
            host.check_bounds()
        with crowd.present(address, 300, announced(MAX_BODY) + b' '):
            host.check_bounds()
        host.check_bounds()
        assert list(host.inbox()).count('0123456789abcdef') == 0


@pytest.mark.parametrize('port', [hosts.READY, hosts.METRICS])
def test_other_listeners_stay_within_the_memory(port, tmp_path):
    data = announced(8 * MIB, b'POST /v1/ready HTTP/1.1\r\nhost: x\r\n')
    with hosts.running(tmp_path) as host:
        with crowd.present((host.ip, port), 60, data):
            host.check_bounds()
        host.check_bounds()
