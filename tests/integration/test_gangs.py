"""Test that a gang across several shards starts all tasks or none."""

import time

import pytest

from tests.integration import callers
from tests.integration import cell as cells

# One task uses most of a worker, so a gang needs all shards of its zone.
PLAN = cells.plan(zones=('a',), hosts_per_zone=2)
TASKS = 5
GANG = {'form': 'gang', 'tasks': TASKS, 'cores': 3, 'run_s': 1.0}


def count_starts(cell, gang) -> list[int]:
    """Return the number of starts of each task of a gang."""
    started = cell.start_counts()
    return [started.get(f'{gang.name}/{i}', 0) for i in range(TASKS)]


def owner_of(cell, shard: str) -> str:
    """Return the host that owns a shard."""
    owners = [n for n in cell.hosts if shard in cells.shards(cell, n)]
    assert owners, shard
    return owners[0]


def test_gang_over_all_shards_of_a_zone(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        for repeatable in (True, False):
            gang = callers.new_request(repeatable)
            callers.submit_until_final(
                callers.port_lister(cell), gang, 30.0, **GANG
            )
            assert gang.outcome == 'succeeded', gang
            assert count_starts(cell, gang) == [1] * TASKS
        cells.check_workers(cell)


@pytest.mark.parametrize('pause', [0.0, 0.3, 0.8])
@pytest.mark.parametrize('killed', ['a:0', 'a:1'])
def test_gang_when_the_owner_of_one_of_its_shards_crashes(
    tmp_path, killed, pause
):
    with cells.running(tmp_path, PLAN) as cell:
        gangs = [callers.new_request(repeatable=False) for _ in range(3)]
        victim = owner_of(cell, killed)
        ports = callers.port_lister(cell)
        other = [p for p in ports() if p != cell.hosts[victim].callers]
        for gang in gangs:
            callers.submit(other[0], gang, 0.0, durable=True, **GANG)
        time.sleep(pause)
        cell.hosts[victim].running.kill()
        for gang in gangs:
            callers.submit_until_final(ports, gang, 60.0, durable=True, **GANG)
        cells.wait_idle(cell)
        for gang in gangs:
            counts = count_starts(cell, gang)
            assert gang.outcome, gang
            assert max(counts) <= 1, (gang, counts)
            if gang.outcome == 'succeeded':
                assert counts == [1] * TASKS, gang
            if gang.outcome == 'not_run':
                assert counts == [0] * TASKS, gang
        cells.check_workers(cell)
