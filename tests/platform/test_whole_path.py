"""Check jobs from the caller's request to completion, over real sockets."""

import time

import curio
import msgspec
import pytest

from hibiscusslip.host import ownership
from tests.platform import cell as cells

JOB = '00000000000000a1'


def run(scenario, **options):
    async def main():
        async with cells.running(**options) as cell:
            await cell.wait_until(lambda: cell.owner())
            await scenario(cell)

    curio.run(main)


def test_job_is_accepted_run_once_and_shown_completed():
    async def scenario(cell):
        response = await cell.submit('h0', JOB)
        assert response.status == 200
        await cell.wait_for_state('h0', JOB, 'completed')
        assert sorted(task for _, task, _ in cell.starts()) == [
            f'{JOB}.0.0.0',
            f'{JOB}.0.0.1',
        ]

    run(scenario)


def test_any_host_accepts_jobs_and_returns_their_state():
    async def scenario(cell):
        for number, name in enumerate(cell.addresses):
            job_id = f'{number:016x}'
            assert (await cell.submit(name, job_id)).status == 200
        for name in cell.addresses:
            for number in range(3):
                await cell.wait_for_state(name, f'{number:016x}', 'completed')

    run(scenario, hosts=3, endpoints=2)


def test_unknown_job_gets_410_and_unknown_queue_404():
    async def scenario(cell):
        await cell.wait_for_state('h0', JOB, 410)
        response = await cell.call('h0', 'GET', f'/other/{JOB}')
        assert response.status == 404

    run(scenario)


@pytest.mark.parametrize(
    'path, body, status',
    [
        (JOB, b'{', 400),
        (JOB, b'{"Spec":"x","Steps":[]}', 400),
        (JOB, b'{"Spec":"x","Steps":[{"Count":0}]}', 400),
        (JOB, b'{"Spec":"x","Steps":[{"DependsOn":[0]}]}', 400),
        (JOB, b'{"Spec":1,"Steps":[{}]}', 400),
        ('nothex', b'{"Spec":"x","Steps":[{}]}', 400),
    ],
)
def test_invalid_input_gets_an_error_message(path, body, status):
    async def scenario(cell):
        response = await cell.call('h0', 'POST', cells.PREFIX + path, body)
        assert response.status == status
        assert msgspec.json.decode(response.content)['Error']

    run(scenario)


def test_cancelled_job_is_stopped():
    async def scenario(cell):
        await cell.submit('h0', JOB)
        await cell.wait_until(lambda: len(cell.starts()) == 2)
        response = await cell.call('h0', 'DELETE', cells.PREFIX + JOB)
        assert response.status == 200
        await cell.wait_for_state('h0', JOB, 'cancelled')
        await cell.wait_until(lambda: not cell.endpoints['e0'].running)

    run(scenario, run_s=30.0)


def test_failing_job_fails_after_max_attempts():
    async def scenario(cell):
        cell.endpoints['e0'].fail = True
        await cell.submit('h0', JOB, Count=1)
        await cell.wait_for_state('h0', JOB, 'failed')
        assert [run for _, _, run in cell.starts()] == [1, 2]

    run(scenario)


def test_failover_after_a_killed_owner_runs_nothing_twice():
    async def scenario(cell):
        await cell.wait_until(lambda: len(cell.contexts['h0'].hosts) == 3)
        first = cell.owner()
        other = next(name for name in cell.addresses if name != first)
        for number in range(6):
            await cell.submit(other, f'{number:016x}')
        await cell.wait_until(lambda: len(cell.starts()) >= 8)
        await cell.kill(first)
        await cell.wait_until(lambda: cell.owner())
        for number in range(6):
            await cell.wait_for_state(other, f'{number:016x}', 'completed')
        tasks = [task for _, task, _ in cell.starts()]
        assert len(tasks) == len(set(tasks)) == 12

    run(scenario, hosts=3, endpoints=2, run_s=3.0)


def test_loss_of_all_hosts_at_once_loses_no_accepted_job():
    async def scenario(cell):
        for number in range(4):
            await cell.submit('h0', f'{number:016x}')
        for name in list(cell.hosts):
            await cell.kill(name)
        await cell.add_host('h9')
        await cell.wait_until(lambda: cell.owner() == 'h9')
        for number in range(4):
            await cell.wait_for_state('h9', f'{number:016x}', 'completed')
        tasks = [task for _, task, _ in cell.starts()]
        assert len(tasks) == len(set(tasks)) == 8

    run(scenario, hosts=2)


def test_trimmed_history_of_the_store_loses_no_job():
    async def scenario(cell):
        await cell.submit('h0', JOB)
        for partition in cell.store.topics.values():
            partition.drop_history()
        cell.store.put(
            'keyed.op', 'config', cells.config_document(2, MaxAttempts=3)
        )
        await cell.wait_until(lambda: cell.contexts['h0'].config.version == 2)
        await cell.wait_for_state('h0', JOB, 'completed')
        assert (await cell.submit('h0', 'b' * 16)).status == 200
        await cell.wait_for_state('h0', 'b' * 16, 'completed')

    run(scenario)


def test_older_or_invalid_configuration_is_ignored():
    async def scenario(cell):
        cell.store.put('keyed.op', 'config', cells.config_document(5))
        await cell.wait_until(lambda: cell.contexts['h0'].config.version == 5)
        cell.store.put('keyed.op', 'config', cells.config_document(4))
        cell.store.put('keyed.op', 'config', b'{broken')
        cell.store.put('keyed.op', 'config', cells.config_document(6))
        await cell.wait_until(lambda: cell.contexts['h0'].config.version == 6)

    run(scenario)


def test_unavailable_store_gives_503_and_jobs_run_once_it_is_back():
    async def scenario(cell):
        cell.store.mode = 'refuse'
        await cell.wait_until(lambda: cell.contexts['h0'].store_failures >= 2)
        response = await cell.submit('h0', JOB)
        assert response.status == 503
        assert int(response.headers['retry-after']) >= 1
        cell.store.mode = ''
        await cell.wait_until(lambda: not cell.contexts['h0'].store_failures)
        assert (await cell.submit('h0', JOB)).status == 200
        await cell.wait_for_state('h0', JOB, 'completed')

    run(scenario)


def test_jobs_complete_while_one_partition_of_the_jobs_topic_is_down():
    async def scenario(cell):
        await cell.submit('h0', JOB)
        await cell.wait_for_state('h0', JOB, 'completed')
        cell.store.unavailable.add(('keyed.jobs', 0))
        other = JOB.replace('a', 'b')
        assert (await cell.submit('h0', other)).status == 200
        await cell.wait_for_state('h0', other, 'completed', 3.0)

    run(scenario)


def test_recovery_finds_the_newest_job_record_in_either_partition():
    async def scenario(cell):
        assert (await cell.submit('h0', JOB)).status == 200
        await cell.wait_until(cell.starts)
        # The newest record of the job there has it as running.
        cell.store.unavailable.add(('keyed.jobs', 0))
        name = cell.owner()
        other = next(n for n in cell.hosts if n != name)
        await cell.wait_for_state(other, JOB, 'completed')
        cell.store.unavailable.clear()
        await cell.kill(name)
        await cell.wait_until(cell.owner)
        await cell.wait_for_state(other, JOB, 'completed')
        assert len(cell.starts()) == 2

    run(scenario, hosts=2, run_s=0.5)


def test_lost_responses_of_the_store_start_nothing_twice():
    async def scenario(cell):
        await cell.submit('h0', JOB)
        cell.store.mode = 'lost'
        await curio.sleep(0.5)
        cell.store.mode = ''
        await cell.wait_for_state('h0', JOB, 'completed')
        tasks = [task for _, task, _ in cell.starts()]
        assert len(tasks) == len(set(tasks)) == 2

    run(scenario)


def test_host_that_the_store_refuses_writes_through_a_peer():
    async def scenario(cell):
        names = list(cell.addresses)
        await cell.wait_until(
            lambda: all(len(c.hosts) == 3 for c in cell.contexts.values())
        )
        first = cell.owner()
        isolated = next(name for name in names if name != first)
        # Not by `refused_peers`: the stand-in sees the source address of the
        # sockets, which isn't the address of the host.
        cell.contexts[isolated].store = _RefusingStore(
            cell.contexts[isolated].store
        )
        await cell.wait_until(
            lambda: cell.contexts[isolated].store_failures >= 2
        )
        assert (await cell.submit(isolated, JOB)).status == 200
        await cell.wait_for_state(first, JOB, 'completed')

    run(scenario, hosts=3)


class _RefusingStore:
    """Refuse every call, as a store that refuses one host does."""

    def __init__(self, real):
        self._real = real

    async def _refuse(self, *args, **kwargs):
        from hibiscusslip.platform import exceptions

        raise exceptions.StoreUnavailable('refused')

    append = read = newest = _refuse


def test_invalid_endpoint_entries_are_ignored():
    async def scenario(cell):
        for number, value in enumerate(
            (b'\xff', b'{}', b'{"Service":3}', b'[]')
        ):
            cell.store.put('keyed.servers', f'x{number}', value)
        await cell.submit('h0', JOB)
        await cell.wait_for_state('h0', JOB, 'completed')

    run(scenario)


def test_start_without_response_is_repeated_as_the_same_run():
    async def scenario(cell):
        cell.endpoints['e0'].mode = 'deaf'
        await cell.submit('h0', JOB, Count=1)
        await cell.wait_until(lambda: cell.starts())
        await curio.sleep(0.5)
        cell.endpoints['e0'].mode = ''
        await cell.wait_for_state('h0', JOB, 'completed')
        assert cell.starts() == [('e0', f'{JOB}.0.0.0', 1)]

    run(scenario)


def test_owner_that_only_the_store_refuses_is_replaced_at_once():
    async def scenario(cell):
        await cell.wait_until(
            lambda: all(len(c.hosts) == 3 for c in cell.contexts.values())
        )
        first = cell.owner()
        ctx = cell.contexts[first]
        ctx.store = _RefusingStore(ctx.store)
        began = time.monotonic()
        await cell.wait_until(lambda: cell.owner() not in (first, None))
        assert time.monotonic() - began < ownership.HEARTBEAT_TIMEOUT_S
        other = cell.owner()
        assert (await cell.submit(other, JOB)).status == 200
        await cell.wait_for_state(other, JOB, 'completed')

    run(scenario, hosts=3)


def test_runs_of_an_unresponsive_endpoint_restart_on_another():
    async def scenario(cell):
        await cell.submit('h0', JOB, Count=1)
        await cell.wait_until(lambda: cell.starts())
        cell.endpoints['e0'].mode = 'dark'
        await cell.add_endpoint('e1')
        await cell.wait_for_state('h0', JOB, 'completed', timeout=25.0)
        assert cell.starts()[1:] == [('e1', f'{JOB}.0.0.0', 2)]

    run(scenario, run_s=60.0)


def test_dead_host_leaves_the_list_and_a_live_one_is_listed_again():
    async def scenario(cell):
        await cell.wait_until(
            lambda: all(len(c.hosts) == 3 for c in cell.contexts.values())
        )
        first = cell.owner()
        dead, live = (name for name in cell.addresses if name != first)
        await cell.kill(dead)
        hosts = cell.contexts[first].hosts
        await cell.wait_until(lambda: dead not in hosts, timeout=20.0)
        cell.store.put('keyed.hosts', live, b'')
        assert live not in cell.store.values('keyed.hosts')
        await cell.wait_until(lambda: live in cell.store.values('keyed.hosts'))
        await cell.wait_until(lambda: live in hosts)

    run(scenario, hosts=3)
