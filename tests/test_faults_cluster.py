"""Check the proxy and the stand-ins as real processes."""

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
def healed(cell):
    """Lift all faults after each test."""
    yield
    cell.heal()
    cell.log_fault(down=False)


def log_of(cell, timeout=5.0):
    """Return a log client that goes through the proxy."""
    port = cell.hosts['a-host0'].plan.log_port
    return http_log.HttpLog('127.0.0.1', port, timeout)


def reads(cell):
    """Return how many reads have reached the log."""
    return web.call_json(cell.log, 'GET', '/counters')['reads']


def end_offset(cell):
    """Return the end of the stream, asked past the proxy."""
    counters = web.call_json(cell.log, 'GET', '/counters')
    return counters['end_offsets'].get(STREAM, 0)


def test_answer_lost_on_the_way_is_unsettled(cell):
    async def work():
        before = end_offset(cell)
        log = log_of(cell)
        cell.fault(ROUTE, lose_answers=1)
        with pytest.raises(exceptions.AppendOutcomeUnknown):
            await log.append(STREAM, [b'a'])
        assert end_offset(cell) == before + 1
        assert await log.append(STREAM, [b'b']) == before + 1

    serving.run(work)


def test_held_request_may_take_effect_after_the_heal(cell):
    async def work():
        before = end_offset(cell)
        log = log_of(cell, timeout=1.0)
        cell.fault(ROUTE, up={'late': True})
        cell.partition('a', with_platform=True)
        with pytest.raises(exceptions.AppendOutcomeUnknown):
            await log.append(STREAM, [b'late'])
        assert end_offset(cell) == before
        cell.heal()
        while end_offset(cell) == before:
            await curio.sleep(0.02)

    serving.run(work)


def test_abandoned_request_goes_no_further(cell):
    async def work():
        before = end_offset(cell)
        log = log_of(cell, timeout=1.0)
        cell.partition('a', with_platform=True)
        with pytest.raises(exceptions.AppendOutcomeUnknown):
            await log.append(STREAM, [b'gone'])
        cell.heal()
        assert await log.append(STREAM, [b'next']) == before

    serving.run(work)


@pytest.mark.parametrize('way', ['up', 'down'])
def test_dropped_bytes_reset_the_connection_after_the_heal(cell, way):
    async def work():
        log = log_of(cell, timeout=1.0)
        await log.append(STREAM, [b'a'])
        cell.fault(ROUTE, **{way: {'drop': True}})
        with pytest.raises(exceptions.AppendOutcomeUnknown):
            await log.append(STREAM, [b'b'])
        cell.heal()
        before = end_offset(cell)
        assert await log.append(STREAM, [b'c']) == before

    serving.run(work)


def test_cut_and_refused_connections_are_told_apart(cell):
    async def work():
        log = log_of(cell)
        await log.append(STREAM, [b'a'])
        before = reads(cell)
        reading = await curio.spawn(log.read, STREAM, 10**9, 10, 20)
        while reads(cell) == before:
            await curio.sleep(0.02)
        cell.fault(ROUTE, cut=True)
        with pytest.raises(curio.TaskError):
            await reading.join()
        cell.fault(ROUTE, refuse=True)
        with pytest.raises(exceptions.PlatformError):
            await log.append(STREAM, [b'b'])
        cell.heal()
        await log.append(STREAM, [b'c'])

    serving.run(work)


def test_worker_faults_and_counters_are_reached(cell):
    cell.worker_fault('a-worker0', down=True)
    with pytest.raises((ConnectionError, http.client.HTTPException)):
        web.call(cell.workers['a-worker0'], 'GET', '/runs')
    cell.worker_fault('a-worker0', down=False)
    assert web.call(cell.workers['a-worker0'], 'GET', '/runs')[0] == 200
    assert cell.counters()['violations'] == 0
    assert cell.started() == {}


def test_state_changes_show_on_every_list(cell):
    cell.set_state('b-worker1', 'leaving')
    for host in cell.hosts.values():
        listed = web.call_json(host.plan.hosts_port, 'GET', '/hosts')
        states = {m['name']: m['state'] for m in listed['endpoints']}
        assert states['b-worker1'] == 'leaving'
        assert states['b-worker0'] == 'live'


def test_end_leaves_no_process(tmp_path):
    plan = cluster.Plan(zones=('a',), workers_per_zone=1)
    with cluster.Cluster(tmp_path, plan) as running:
        started = list(running._processes)
        assert all(item.alive for item in started)
    assert not any(item.alive for item in started)


@pytest.mark.parametrize(
    ('text', 'told'),
    [
        ('endpoints = 3', 'endpoints'),
        ('[[endpoints]]\nname = "w"', 'missing required field'),
        ('not toml', 'TOML'),
        (None, 'No such file'),
    ],
)
def test_bad_fleet_file_ends_with_a_remedy(tmp_path, text, told):
    path = pathlib.Path(tmp_path, 'fleet.toml')
    if text is not None:
        path.write_text(text)
    args = ['-m', 'hibiscusslip.commands.standin', 'workers', str(path)]
    started = process.Process('workers', args, tmp_path)
    assert started.wait(process.READY_TIMEOUT_S) == 1
    assert told in started.log()
    assert 'Traceback' not in started.log()
