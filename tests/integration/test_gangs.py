"""Check that a gang over several shards runs whole or not at all."""

import time

import pytest

from tests.integration import callers
from tests.integration import cell as cells

# One task fills most of a worker, so a gang needs all shards of its zone.
PLAN = cells.plan(zones=('a',), hosts_per_zone=2)
TASKS = 5
GANG = {'form': 'gang', 'tasks': TASKS, 'cores': 3, 'run_s': 1.0}


def starts(cell, seen) -> list[int]:
    """Return how often each task of a gang was started."""
    started = cell.started()
    return [started.get(f'{seen.name}/{i}', 0) for i in range(TASKS)]


def owner_of(cell, shard: str) -> str:
    """Return the host that owns a shard."""
    found = [n for n in cell.hosts if shard in cells.shards(cell, n)]
    assert found, shard
    return found[0]


def test_gang_over_all_shards_of_a_zone(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        for repeatable in (True, False):
            gang = callers.request(repeatable)
            callers.see_through(callers.ports_of(cell), gang, 30.0, **GANG)
            assert gang.outcome == 'succeeded', gang
            assert starts(cell, gang) == [1] * TASKS
        cells.check_workers(cell)


@pytest.mark.parametrize('pause', [0.0, 0.3, 0.8])
@pytest.mark.parametrize('killed', ['a:0', 'a:1'])
def test_gang_whose_home_or_other_owner_dies(tmp_path, killed, pause):
    with cells.running(tmp_path, PLAN) as cell:
        gangs = [callers.request(repeatable=False) for _ in range(3)]
        victim = owner_of(cell, killed)
        ports = callers.ports_of(cell)
        other = [p for p in ports() if p != cell.hosts[victim].callers]
        for gang in gangs:
            callers.submit(other[0], gang, 0.0, durable=True, **GANG)
        time.sleep(pause)
        cell.hosts[victim].running.kill()
        for gang in gangs:
            callers.see_through(ports, gang, 60.0, durable=True, **GANG)
        cells.wait_idle(cell)
        for gang in gangs:
            counts = starts(cell, gang)
            assert gang.outcome, gang
            assert max(counts) <= 1, (gang, counts)
            if gang.outcome == 'succeeded':
                assert counts == [1] * TASKS, gang
            if gang.outcome == 'not_run':
                assert counts == [0] * TASKS, gang
        cells.check_workers(cell)
