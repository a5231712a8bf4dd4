"""Test the path of a job with real processes and network faults."""

import itertools
import json

import pytest

from hibiscusslip.standin import payload
from tests.faults import cluster
from tests.faults import web

SHORT_TIMING = {
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
    """Run a cell of two zones with a published sheet."""
    directory = tmp_path_factory.mktemp('cell')
    plan = cluster.Plan(
        hosts_per_zone=2, shards_per_zone=1, timing=SHORT_TIMING
    )
    with cluster.Cluster(directory, plan) as running:
        running.start_hosts()
        running.apply(SHEET)
        yield running


@pytest.fixture(autouse=True)
def no_violations(cell):
    """Check after each test that the workers counted no violation."""
    yield
    cell.heal()
    counters = cell.counters()
    assert counters['violations'] == 0, counters


echo_numbers = itertools.count()


def submit(cell, host, key='', echo='', **job):
    """Submit a job to a host; return its echo and the response document."""
    echo = echo or f'echo-{next(echo_numbers)}'
    task_payload = payload.Payload(run_s=0.05, echo=echo, request=key)
    body = {
        'team': 't1',
        'kind': 'quick',
        'memory_gb': 0.5,
        'run_time': 0.1,
        'payload': payload.encode(task_payload).decode(),
        **job,
    }
    headers = {'content-type': JSON, 'idempotency-key': key or echo}
    port = cell.hosts[host].callers
    path = '/v1/jobs?wait=20'
    _, answer = web.call(port, 'POST', path, body, headers)
    return echo, json.loads(answer)


def assert_own_answer(echo, response):
    """Check that a job succeeded with the expected answer."""
    assert response['outcome'] == 'succeeded', response
    task = f'{response["job_id"]}/0'
    assert response['answer'].encode() == payload.expected_answer(task, echo)


def test_every_host_returns_the_answer_of_the_callers_own_job(cell):
    for host in [*cell.hosts] * 3:
        assert_own_answer(*submit(cell, host))


def test_idempotency_key_on_all_hosts_starts_one_job(cell):
    job_ids = []
    for host in cell.hosts:
        once = {'repeatable': False, 'echo': 'once'}
        echo, answer = submit(cell, host, 'press-1', **once)
        assert_own_answer(echo, answer)
        job_ids.append(answer['job_id'])
    assert len(set(job_ids)) == 1
    assert cell.start_counts()['press-1/0'] == 1


@pytest.mark.parametrize('worker', WORKERS)
def test_lost_start_responses_lead_to_true_outcomes(cell, worker):
    zone = worker.partition('-')[0]
    cell.set_proxy_faults(f'{zone}>{worker}', lose_answers=2)
    for host in cell.hosts:
        echo, response = submit(cell, host)
        assert response['outcome'] in ('succeeded', 'not_run', 'unknown'), (
            response
        )
        if response['outcome'] == 'succeeded':
            assert_own_answer(echo, response)


def test_not_repeatable_job_runs_once_when_responses_are_lost(cell):
    cell.set_proxy_faults('a>*', lose_answers=3)
    cell.set_proxy_faults('b>*', lose_answers=3)
    for number, host in enumerate(cell.hosts):
        key = f'press-lost-{number}'
        _, response = submit(cell, host, key, repeatable=False)
        starts = cell.start_counts().get(f'{key}/0', 0)
        assert starts <= 1
        if response['outcome'] == 'not_run':
            assert starts == 0


def test_other_hosts_keep_serving_after_a_host_is_killed(cell):
    name, *others = cell.hosts
    cell.hosts[name].running.kill()
    for host in others:
        assert_own_answer(*submit(cell, host))
    cell.start_host(name)
