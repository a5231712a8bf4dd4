"""Test that a partitioned zone keeps serving and recovers after healing."""

import time

import pytest

from tests.integration import callers
from tests.integration import cell as cells

PLAN = cells.plan(zones=('a', 'b', 'c'))
PARTITION_S = cells.TOTAL_LEASE_S + 2


def partition(cell, way: str) -> None:
    """Partition zone a from the other zones, the platform or both."""
    if way == 'platform':
        cell.partition_from_platform('a')
    else:
        cell.partition('a', with_platform=way == 'both')


@pytest.mark.parametrize('way', ['neighbours', 'platform', 'both'])
def test_partitioned_zone_under_load(tmp_path, way):
    with cells.running(tmp_path, PLAN) as cell:
        with callers.Load(callers.port_lister(cell), timeout=60.0) as load:
            time.sleep(1)
            partition(cell, way)
            time.sleep(PARTITION_S)
            for host in cell.hosts.values():
                cells.wait_until_accepting(host.callers)
            cell.heal()
            cells.wait_until_owned(cell)
            time.sleep(1)
        cells.wait_idle(cell)
        callers.check_outcomes(cell, load.records)
        assert set(load.outcomes()) == {'succeeded'}
        assert len(load.records) > 20
        cells.check_workers(cell)


def test_not_repeatable_jobs_while_a_zone_is_partitioned_twice(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.port_lister(cell)
        with callers.Load(ports, repeatable=False, timeout=60.0) as load:
            for way in ('neighbours', 'both'):
                partition(cell, way)
                time.sleep(cells.SHORT_TIMING['lease'] + 1)
                cell.heal()
                time.sleep(1)
        cells.wait_idle(cell)
        callers.check_outcomes(cell, load.records, unknown_ok=True)
        assert not load.outcomes()['']
        cells.check_workers(cell)
