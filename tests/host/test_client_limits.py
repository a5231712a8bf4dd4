"""Check what clients may make a host hold, by the limits of its machine."""

import tracemalloc

import msgspec
import pytest

from hibiscusslip.host import client_limits
from hibiscusslip.observe import prometheus
from hibiscusslip.platform import documents
from hibiscusslip.platform import exceptions
from hibiscusslip.platform import settings
from tests.host import fakes
from tests.platform import cell

MIB = 1024 * 1024
BODY_BYTES = 262144


def make_settings(memory_mb=300, descriptors=4100):
    text = cell.SETTINGS_FILE.format(name='h0', ip='127.0.0.1', store='x:1')
    text += f'Limits.MemoryMb={memory_mb}\nLimits.MaxFds={descriptors}\n'
    return settings.parse(text)


@pytest.mark.parametrize('memory_mb', [64, 300, 4000])
def test_memory_of_clients_is_a_share_of_the_machine(memory_mb):
    limits = client_limits.derive(make_settings(memory_mb))
    total = limits.callers_bytes + 2 * limits.probes_bytes
    assert total <= memory_mb * MIB / 3
    assert 10 * limits.max_body_bytes <= memory_mb * MIB / 6


@pytest.mark.parametrize(
    'text', ['', 'Limits.MemoryMb=\n', 'Limits.MemoryMb=0\n']
)
def test_memory_of_an_unknown_machine_is_assumed(text):
    """A host without a memory for clients would serve none."""
    base = cell.SETTINGS_FILE.format(name='h0', ip='127.0.0.1', store='x:1')
    assert settings.parse(base + text).memory_mb == 256


def test_connections_leave_descriptors_to_the_host_itself():
    limits = client_limits.derive(make_settings())
    assert limits.max_callers(hosts=9, endpoint_connections=100) > 1500
    most = limits.max_callers(hosts=60, endpoint_connections=3000)
    assert 256 <= most <= 4100 - 3000 - 2 * 60
    least = limits.max_callers(hosts=300, endpoint_connections=3485)
    assert least == 4100 // 64


@pytest.mark.parametrize(
    ('configured', 'limit'),
    [(0, 262144), (-1, 262144), (1000, 1000), (10**18, 300 * MIB // 64)],
)
def test_largest_body_is_configured_within_the_memory(configured, limit):
    limits = client_limits.derive(make_settings())
    assert client_limits.max_body_bytes(configured, limits) == limit


def test_refusals_are_logged_once_a_second_with_their_number():
    ctx = fakes.make_context(None)
    log = client_limits.RefusalLog(ctx, 'front')
    for number in range(1000):
        log.record('too_slow', '127.0.0.1:1', 100.0 + number / 1000)
    log.record('out_of_memory', '127.0.0.1:2', 100.5)
    log.record('too_slow', '127.0.0.1:3', 101.0)
    lines = ctx.log.named('clients_refused')
    assert [(line['reason'], line['count']) for line in lines] == [
        ('too_slow', 1),
        ('out_of_memory', 1),
        ('too_slow', 1000),
    ]
    rendered = ctx.metrics.render().decode()
    assert 'clients_refused{listener="front",reason="too_slow"} 1001' in (
        rendered
    )


@pytest.mark.parametrize('steps', [b'{},', b'{"DependsOn":[]},', b'{"x":{}},'])
def test_decoding_takes_no_more_than_ten_times_the_body(steps):
    """A step of three bytes took over a hundred times as many."""
    body = b'{"Spec":"","Steps":[%b{}]}' % (
        steps * ((BODY_BYTES - 30) // len(steps))
    )
    assert len(body) <= BODY_BYTES
    tracemalloc.start()
    try:
        with pytest.raises(exceptions.JobInvalid):
            documents.read_job(body)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak <= 10 * BODY_BYTES


def test_job_with_braces_in_its_specification_is_valid():
    spec = '{' * documents.MAX_SPEC_CHARS
    steps = [{'Count': 1}] * documents.MAX_STEPS
    body = msgspec.json.encode({'Spec': spec, 'Steps': steps})
    assert documents.read_job(body).payload == spec


def test_histograms_are_bounded():
    metrics = prometheus.Metrics()
    for number in range(2000):
        metrics.time(f'x{number}', 0.1)
    lines = metrics.render().splitlines()
    assert sum(line.startswith(b'# TYPE') for line in lines) <= 500
