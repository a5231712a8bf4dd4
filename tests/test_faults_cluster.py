"""Test the proxy and the stand-ins as real processes."""

import http.client
import pathlib

import curio
import pytest

from hibiscusslip.platform import exceptions
from hibiscusslip.platform import http_log
from tests.faults import cluster
from tests.faults import process
from tests.faults import serving
from tests.faults import web

STREAM = 'zone.a'
ROUTE = 'a-host0>log'


@pytest.fixture(scope='module')
def cell(tmp_path_factory):
    """Run a cell without entry hosts."""
    directory = tmp_path_factory.mktemp('cell')
    with cluster.Cluster(directory, cluster.Plan()) as running:
        yield running


@pytest.fixture(autouse=True)
def heal_after_test(cell):
    """Remove all faults after each test."""
    yield
    cell.heal()
    cell.set_log_faults(down=False)


def make_log_client(cell, timeout=5.0):
    """Return a log client that connects through the proxy."""
    port = cell.hosts['a-host0'].plan.log_port
    return http_log.HttpLog('127.0.0.1', port, timeout)


def count_reads(cell):
    """Return the number of reads that reached the log."""
    return web.call_json(cell.log_port, 'GET', '/counters')['reads']


def end_offset(cell):
    """Return the end offset of the stream, queried without the proxy."""
    counters = web.call_json(cell.log_port, 'GET', '/counters')
    return counters['end_offsets'].get(STREAM, 0)


def test_append_with_lost_response_has_unknown_outcome(cell):
    async def work():
        before = end_offset(cell)
        log = make_log_client(cell)
        cell.set_proxy_faults(ROUTE, lose_answers=1)
        with pytest.raises(exceptions.AppendOutcomeUnknown):
            await log.append(STREAM, [b'a'])
        assert end_offset(cell) == before + 1
        assert await log.append(STREAM, [b'b']) == before + 1

    serving.run(work)


def test_held_request_may_take_effect_after_healing(cell):
    async def work():
        before = end_offset(cell)
        log = make_log_client(cell, timeout=1.0)
        cell.set_proxy_faults(ROUTE, up={'late': True})
        cell.partition('a', with_platform=True)
        with pytest.raises(exceptions.AppendOutcomeUnknown):
            await log.append(STREAM, [b'late'])
        assert end_offset(cell) == before
        cell.heal()
        while end_offset(cell) == before:
            await curio.sleep(0.02)

    serving.run(work)


def test_held_request_of_closed_connection_is_dropped(cell):
    async def work():
        before = end_offset(cell)
        log = make_log_client(cell, timeout=1.0)
        cell.partition('a', with_platform=True)
        with pytest.raises(exceptions.AppendOutcomeUnknown):
            await log.append(STREAM, [b'gone'])
        cell.heal()
        assert await log.append(STREAM, [b'next']) == before

    serving.run(work)


@pytest.mark.parametrize('direction', ['up', 'down'])
def test_dropped_bytes_reset_the_connection_after_healing(cell, direction):
    async def work():
        log = make_log_client(cell, timeout=1.0)
        await log.append(STREAM, [b'a'])
        cell.set_proxy_faults(ROUTE, **{direction: {'drop': True}})
        with pytest.raises(exceptions.AppendOutcomeUnknown):
            await log.append(STREAM, [b'b'])
        cell.heal()
        before = end_offset(cell)
        assert await log.append(STREAM, [b'c']) == before

    serving.run(work)


def test_cut_and_refused_connections_raise_errors(cell):
    async def work():
        log = make_log_client(cell)
        await log.append(STREAM, [b'a'])
        before = count_reads(cell)
        reading = await curio.spawn(log.read, STREAM, 10**9, 10, 20)
        while count_reads(cell) == before:
            await curio.sleep(0.02)
        cell.set_proxy_faults(ROUTE, cut=True)
        with pytest.raises(curio.TaskError):
            await reading.join()
        cell.set_proxy_faults(ROUTE, refuse=True)
        with pytest.raises(exceptions.PlatformError):
            await log.append(STREAM, [b'b'])
        cell.heal()
        await log.append(STREAM, [b'c'])

    serving.run(work)


def test_worker_faults_and_counters_are_reachable(cell):
    cell.set_worker_faults('a-worker0', down=True)
    with pytest.raises((ConnectionError, http.client.HTTPException)):
        web.call(cell.workers['a-worker0'], 'GET', '/runs')
    cell.set_worker_faults('a-worker0', down=False)
    assert web.call(cell.workers['a-worker0'], 'GET', '/runs')[0] == 200
    assert cell.counters()['violations'] == 0
    assert cell.start_counts() == {}


def test_state_changes_appear_on_all_host_lists(cell):
    cell.set_state('b-worker1', 'leaving')
    for host in cell.hosts.values():
        listed = web.call_json(host.plan.hosts_port, 'GET', '/hosts')
        states = {m['name']: m['state'] for m in listed['endpoints']}
        assert states['b-worker1'] == 'leaving'
        assert states['b-worker0'] == 'live'


def test_exit_leaves_no_process(tmp_path):
    plan = cluster.Plan(zones=('a',), workers_per_zone=1)
    with cluster.Cluster(tmp_path, plan) as running:
        started = list(running._processes)
        assert all(item.alive for item in started)
    assert not any(item.alive for item in started)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('endpoints = 3', 'endpoints'),
        ('[[endpoints]]\nname = "w"', 'missing required field'),
        ('not toml', 'TOML'),
        (None, 'No such file'),
    ],
)
def test_invalid_fleet_file_reports_a_remedy(tmp_path, text, expected):
    path = pathlib.Path(tmp_path, 'fleet.toml')
    if text is not None:
        path.write_text(text)
    args = ['-m', 'hibiscusslip.commands.standin', 'workers', str(path)]
    started = process.Process('workers', args, tmp_path)
    assert started.wait(process.READY_TIMEOUT_S) == 1
    assert expected in started.output()
    assert 'Traceback' not in started.output()
