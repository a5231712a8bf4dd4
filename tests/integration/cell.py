"""Operate a test cell, wait for its states and check its workers."""

import contextlib
import json
import secrets
import time
import urllib.parse

from hibiscusslip.http import messages
from hibiscusslip.operator import signing
from tests.faults import cluster
from tests.faults import settings_file
from tests.faults import web
from tests.integration import callers

# Short enough for tests in seconds, with the proportions of the defaults.
SHORT_TIMING = {
    'lease': 3.0,
    'promise': 2.0,
    'margin': 0.3,
    'settle': 1.0,
    'renew_interval': 0.8,
    'promise_interval': 0.4,
    'stagger': 0.3,
    'heartbeat_interval': 0.2,
    'suspect_after': 1.0,
    'foreign_heartbeat_interval': 0.5,
    'foreign_suspect_after': 4.0,
    'send_timeout': 1.0,
    'task_lease': 4.0,
    'hold': 1.0,
    'drain_grace': 20.0,
}
TOTAL_LEASE_S = SHORT_TIMING['lease'] + SHORT_TIMING['task_lease']
PROPAGATION_TIMEOUT_S = 5.0
POLL_S = 0.05
SHEET = """\
row,kind,name,team,form,urgency,copies,cores,memory_gb,accelerators,\
run_time_s,repeatable,spread,payload,guarantee,ceiling,lending,weight
share,quote,,,,urgent,,,,,,,,,0.4,1,yes,
share,costing,,,,normal,,,,,,,,,{costing},1,yes,
quota,,,sales,,,,10000,10000,100,,,,,,,,1
"""


def sheet(costing: float = 0.2) -> bytes:
    """Return a sheet with two kinds of work and no jobs of its own."""
    return SHEET.format(costing=costing).encode()


def plan(**changes: object) -> cluster.Plan:
    """Return the plan of a cell with short timings.

    By default each shard has at least one worker.
    """
    options = {
        'timing': SHORT_TIMING,
        'shards_per_zone': 2,
        'workers_per_zone': 6,
        **changes,
    }
    return cluster.Plan(**options)


@contextlib.contextmanager
def running(directory, cluster_plan: cluster.Plan):
    """Run a cell that serves callers; the test itself checks the results."""
    with cluster.Cluster(directory, cluster_plan) as cell:
        cell.start_hosts()
        publish(cell, next(iter(cell.hosts)), 0)
        wait_until_owned(cell)
        for host in cell.hosts.values():
            wait_until_accepting(host.callers)
        yield cell


def operate(cell, host: str, method: str, path: str, body=b'', **query):
    """Send a signed operator request; return status and document."""
    query = {name: str(value) for name, value in query.items()}
    headers = {'content-type': 'application/json'}
    req = messages.Request(method, path, query, headers, body, '')
    secret = settings_file.SECRET.encode()
    headers[signing.HEADER] = signing.sign(
        req, 'k1', secret, time.time(), secrets.token_hex(16)
    )
    target = f'{path}?{urllib.parse.urlencode(query)}' if query else path
    port = cell.hosts[host].plan.operators_port
    status, answer = web.call(port, method, target, body, headers)
    return status, json.loads(answer)


def publish(cell, host: str, made_from: int, content=None, author='planner'):
    """Apply a sheet on a host; return status and document."""
    return operate(
        cell,
        host,
        'POST',
        '/v1/configuration',
        content or sheet(),
        made_from=made_from,
        author=author,
        record_id=secrets.token_hex(8),
    )


def version(cell, host: str) -> int:
    """Return the configuration version in force on a host."""
    _, document = operate(cell, host, 'GET', '/v1/configuration')
    return document['version']


def shards(cell, host: str) -> list[str]:
    """Return the shards that a host reports as owned and served."""
    _, document = operate(cell, host, 'GET', '/v1/status')
    hosts = [h for h in document['hosts'] if h['name'] == host]
    return [shard['shard'] for h in hosts for shard in h['shards']]


def wait_for(condition, timeout: float, what: str) -> float:
    """Wait until a condition holds; return the elapsed seconds."""
    started_at = time.monotonic()
    while not condition():
        assert time.monotonic() < started_at + timeout, (
            f'timed out waiting for {what}'
        )
        time.sleep(POLL_S)
    return time.monotonic() - started_at


def wait_until_owned(cell, timeout: float = 30.0) -> float:
    """Wait until all shards are owned and accept requests."""
    cell_plan = cell.plan
    expected = len(cell_plan.zones) * cell_plan.shards_per_zone

    def all_owned() -> bool:
        live = [n for n, h in cell.hosts.items() if alive(h)]
        owned = {shard for name in live for shard in shards(cell, name)}
        return len(owned) == expected

    return wait_for(all_owned, timeout, 'an owner for every shard')


def wait_until_accepting(port: int, timeout: float = 15.0) -> float:
    """Wait until a host completes a request."""

    def answered() -> bool:
        record = callers.new_request(keyed=False)
        return callers.submit(port, record, 5.0).outcome == 'succeeded'

    return wait_for(answered, timeout, 'an answer')


def alive(host: cluster.EntryHost) -> bool:
    """Return True while the process of an entry host runs."""
    return host.running is not None and host.running.alive


def wait_idle(cell, timeout: float = 30.0) -> None:
    """Wait until no worker has an active run."""
    wait_for(
        lambda: cell.counters()['fleet']['running'] == 0,
        timeout,
        'idle workers',
    )


def check_workers(cell) -> dict:
    """Check that the workers counted no violation; return the counters."""
    counters = cell.counters()
    assert counters['violations'] == 0, counters['fleet']['examples']
    return counters['fleet']
