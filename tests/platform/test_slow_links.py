"""Check that hosts on slow links serve with the state of a large cell.

The figures are those of the users' grown deployments: the slowest link, the
time within which a configuration has to be in force, and the number of
routes that one change adds.
"""

import threading

import curio
import msgspec

from hibiscusslip.dispatch import records
from hibiscusslip.host import topics
from hibiscusslip.http import client
from tests.faults import serving
from tests.platform import cell
from tests.platform import endpoint_process
from tests.platform.soak import proxy

LINK_MBPS = 5.0
CONFIG_IN_FORCE_S = 3.0
ROUTES = 4 * 1400
CONTACT_S = 4.0
RECOVERY_S = 15.0
MISSED_VERSIONS = 6
VERSION_GAP_S = 0.5
LONGEST_POLL_S = 2.5  # after which no read is left from before an outage
PARTITIONS = 12
PAGE_ITEMS = 500
BURST_JOBS = 4
BURST_TASKS = 40
ENDPOINTS = 20
ENDPOINTS_KNOWN_S = 1.5
PAYLOAD = 'x' * 4000
OLD_POLL_S = 1.7  # the long poll for the next version lasts 2 s


def put_waiting_jobs(store, per_partition, partitions=PARTITIONS):
    """Write accepted jobs to the first partitions of the inbox."""
    body = msgspec.json.encode({'Spec': PAYLOAD, 'Steps': [{'Cpu': 1}]})
    submission = records.Submission('r-small', cell.SERVICE, 0.0, body)
    value = records.encode_submission(submission)
    for number in range(partitions * per_partition):
        part = number % partitions
        store.put(topics.INBOX, f'{number:016x}', value, part)


def waiting(ctx):
    """Return how many jobs the owner says are waiting."""
    load = ctx.ownership.known_loads().get('r-small')
    return load.pending if load else 0


async def apply_in_time(running, version):
    """Write a version; return whether it is in force in time."""
    ctx = running.contexts['slow']
    document = cell.large_config_document(version, ROUTES)
    running.store.put('keyed.op', 'config', document)
    async with curio.ignore_after(CONFIG_IN_FORCE_S):
        while ctx.config is None or ctx.config.version != version:
            await curio.sleep(0.01)
        return True
    return False


def test_large_configuration_is_in_force_in_time_on_a_slow_link():
    async def scenario():
        async with cell.running(hosts=0, endpoints=0) as running:
            await running.add_host('slow', LINK_MBPS)
            ctx = running.contexts['slow']
            await running.wait_until(lambda: ctx.config is not None)
            for version in (2, 3):
                await curio.sleep(OLD_POLL_S)
                assert await apply_in_time(running, version), (
                    f'version {version} is not in force, but'
                    f' {ctx.config.version}'
                )

    serving.run(scenario)


def test_host_starts_with_a_large_configuration_on_a_slow_link():
    async def scenario():
        async with cell.running(hosts=0, endpoints=0) as running:
            document = cell.large_config_document(2, ROUTES)
            running.store.put('keyed.op', 'config', document)
            await running.add_host('slow', LINK_MBPS)
            ctx = running.contexts['slow']
            await running.wait_until(
                lambda: ctx.config is not None, timeout=RECOVERY_S
            )

    serving.run(scenario)


def test_owner_on_a_slow_link_recovers_a_large_inbox():
    async def scenario():
        async with cell.running(hosts=0, endpoints=0) as running:
            running.store.page_items = PAGE_ITEMS
            put_waiting_jobs(running.store, per_partition=40)
            await running.add_host('slow', LINK_MBPS)
            ctx = running.contexts['slow']
            recovered = 'hibiscusslip_successions 1'
            await running.wait_until(
                lambda: recovered in ctx.metrics.render().decode(),
                timeout=RECOVERY_S,
            )

    serving.run(scenario)


def test_owner_on_a_slow_link_reads_a_backlog_of_one_partition():
    async def scenario():
        async with cell.running(hosts=0, endpoints=0) as running:
            await running.add_host('slow', LINK_MBPS)
            ctx = running.contexts['slow']
            await running.wait_until(lambda: running.owner() == 'slow')
            await curio.sleep(OLD_POLL_S)
            put_waiting_jobs(running.store, per_partition=400, partitions=1)
            await running.wait_until(
                lambda: waiting(ctx) == 400,
                timeout=RECOVERY_S,
            )

    serving.run(scenario)


def test_large_append_is_answered_on_a_slow_link():
    async def scenario():
        async with cell.running(hosts=0, endpoints=0) as running:
            await running.add_host('slow', LINK_MBPS)
            batch = [b'x' * 200_000] * 5
            store = running.contexts['slow'].store
            assert await store.append('t', batch, 1.2) == 0

    serving.run(scenario)


def test_newest_of_many_missed_versions_is_in_force_in_time():
    async def scenario():
        async with cell.running(hosts=0, endpoints=0) as running:
            await running.add_host('slow', LINK_MBPS)
            ctx = running.contexts['slow']
            await running.wait_until(lambda: ctx.config is not None)
            running.store.mode = 'refuse'
            await curio.sleep(LONGEST_POLL_S)
            for version in range(2, 2 + MISSED_VERSIONS):
                await curio.sleep(VERSION_GAP_S)
                document = cell.large_config_document(version, ROUTES)
                running.store.put('keyed.op', 'config', document)
            running.store.mode = ''
            await running.wait_until(
                lambda: ctx.config.version == version,
                timeout=CONTACT_S + CONFIG_IN_FORCE_S,
            )

    serving.run(scenario)


def test_link_opens_connections_without_worker_threads():
    """While its event loop starts a thread, a link carries nothing."""

    async def scenario():
        async with serving.run_server(serving.Echo()) as (_, port):
            forwarder = proxy.Proxy(port, proxy.Link(LINK_MBPS))
            await forwarder.listen()
            threads = set(threading.enumerate())
            pool = client.Pool('127.0.0.1', forwarder.port)
            response = await pool.call('GET', '/x', timeout=4.0)
            await pool.close()
            assert response.content == b'/x'
            assert not set(threading.enumerate()) - threads

    serving.run(scenario)


def test_burst_of_starts_on_a_slow_link_leaves_none_in_doubt():
    """All endpoints are healthy; the link needs 1 s for the requests."""
    step = {'Count': BURST_TASKS, 'Cpu': 1000, 'MemMb': 1, 'EstimateMs': 500}
    body = msgspec.json.encode({'Spec': PAYLOAD, 'Steps': [step]})
    job_ids = [f'{number:016x}' for number in range(BURST_JOBS)]

    async def scenario():
        async with cell.running(hosts=0, endpoints=0) as running:
            for name, entry in entries.items():
                running.store.put('keyed.servers', name, entry)
            await running.add_host('slow', LINK_MBPS)
            await running.wait_until(lambda: running.owner() == 'slow')
            await curio.sleep(ENDPOINTS_KNOWN_S)
            for job_id in job_ids:
                path = cell.PREFIX + job_id
                await running.call('slow', 'POST', path, body)
            for job_id in job_ids:
                await running.wait_for_state('slow', job_id, 'completed')
            metrics = running.contexts['slow'].metrics.render().decode()
            assert 'reason="in doubt"' not in metrics

    with endpoint_process.running(ENDPOINTS, 0.5, LINK_MBPS) as entries:
        serving.run(scenario)
