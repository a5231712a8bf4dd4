"""Check the whole path with real processes and faults between them."""

import itertools
import json

import pytest

from hibiscusslip.standin import payload
from tests.faults import cluster
from tests.faults import web

QUICK = {
    'lease': 2.0,
    'promise': 1.5,
    'margin': 0.1,
    'settle': 0.5,
    'renew_interval': 0.5,
    'promise_interval': 0.3,
    'stagger': 0.2,
    'heartbeat_interval': 0.2,
    'suspect_after': 1.0,
    'send_timeout': 0.5,
    'task_lease': 4.0,
    'hold': 0.5,
}
SHEET = """row,name,team,kind,urgency,guarantee,ceiling,cores,memory_gb,weight
share,,,quick,urgent,0.5,1.0,,,
quota,,t1,,,,,500,2000,1
"""
WORKERS = [f'{zone}-worker{number}' for zone in 'ab' for number in (0, 1)]
JSON = 'application/json'


@pytest.fixture(scope='module')
def cell(tmp_path_factory):
    """Run a cell of two zones with a sheet in force."""
    directory = tmp_path_factory.mktemp('cell')
    plan = cluster.Plan(hosts_per_zone=2, shards_per_zone=1, timing=QUICK)
    with cluster.Cluster(directory, plan) as running:
        running.start_hosts()
        running.apply(SHEET)
        yield running


@pytest.fixture(autouse=True)
def no_violations(cell):
    """Check after each test that the workers saw no promise broken."""
    yield
    cell.heal()
    counted = cell.counters()
    assert counted['violations'] == 0, counted


numbers = itertools.count()


def submit(cell, host, key='', echo='', **job):
    """Submit a job at a host; return its echo and the answer's document."""
    echo = echo or f'echo-{next(numbers)}'
    does = payload.Payload(run_s=0.05, echo=echo, request=key)
    body = {
        'team': 't1',
        'kind': 'quick',
        'memory_gb': 0.5,
        'run_time': 0.1,
        'payload': payload.encode(does).decode(),
        **job,
    }
    headers = {'content-type': JSON, 'idempotency-key': key or echo}
    port = cell.hosts[host].callers
    path = '/v1/jobs?wait=20'
    _, answer = web.call(port, 'POST', path, body, headers)
    return echo, json.loads(answer)


def assert_own_answer(echo, told):
    """Check that a job succeeded with its own whole answer."""
    assert told['outcome'] == 'succeeded', told
    task = f'{told["job_id"]}/0'
    assert told['answer'].encode() == payload.expected_answer(task, echo)


def test_each_host_answers_each_caller_with_its_own(cell):
    for host in [*cell.hosts] * 3:
        assert_own_answer(*submit(cell, host))


def test_same_key_at_all_hosts_starts_once(cell):
    told = []
    for host in cell.hosts:
        once = {'repeatable': False, 'echo': 'once'}
        echo, answer = submit(cell, host, 'press-1', **once)
        assert_own_answer(echo, answer)
        told.append(answer['job_id'])
    assert len(set(told)) == 1
    assert cell.started()['press-1/0'] == 1


@pytest.mark.parametrize('worker', WORKERS)
def test_start_answers_lost_on_the_way_end_truthfully(cell, worker):
    zone = worker.partition('-')[0]
    cell.fault(f'{zone}>{worker}', lose_answers=2)
    for host in cell.hosts:
        echo, told = submit(cell, host)
        assert told['outcome'] in ('succeeded', 'not_run', 'unknown'), told
        if told['outcome'] == 'succeeded':
            assert_own_answer(echo, told)


def test_not_repeatable_job_runs_once_when_answers_are_lost(cell):
    cell.fault('a>*', lose_answers=3)
    cell.fault('b>*', lose_answers=3)
    for number, host in enumerate(cell.hosts):
        key = f'press-lost-{number}'
        _, told = submit(cell, host, key, repeatable=False)
        starts = cell.started().get(f'{key}/0', 0)
        assert starts <= 1
        if told['outcome'] == 'not_run':
            assert starts == 0


def test_killed_host_leaves_the_others_serving(cell):
    name, *others = cell.hosts
    cell.hosts[name].running.kill()
    for host in others:
        assert_own_answer(*submit(cell, host))
    cell.start_host(name)
