"""Check that a zone that is cut off goes on and heals without harm."""

import time

import pytest

from tests.integration import callers
from tests.integration import cell as cells

PLAN = cells.plan(zones=('a', 'b', 'c'))
CUT_S = cells.LEASES_S + 2


def cut(cell, way: str) -> None:
    """Cut zone a from its neighbours, from the platform or from both."""
    if way == 'platform':
        cell.cut_platform('a')
    else:
        cell.partition('a', with_platform=way == 'both')


@pytest.mark.parametrize('way', ['neighbours', 'platform', 'both'])
def test_zone_that_is_cut_off_under_load(tmp_path, way):
    with cells.running(tmp_path, PLAN) as cell:
        with callers.Load(callers.ports_of(cell), timeout=60.0) as load:
            time.sleep(1)
            cut(cell, way)
            time.sleep(CUT_S)
            for host in cell.hosts.values():
                cells.wait_taken(host.callers)
            cell.heal()
            cells.wait_served(cell)
            time.sleep(1)
        cells.wait_idle(cell)
        callers.check_truth(cell, load.seen)
        assert set(load.outcomes()) == {'succeeded'}
        assert len(load.seen) > 20
        cells.check_workers(cell)


def test_not_repeatable_work_while_a_zone_is_cut_twice(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.ports_of(cell)
        with callers.Load(ports, repeatable=False, timeout=60.0) as load:
            for way in ('neighbours', 'both'):
                cut(cell, way)
                time.sleep(cells.QUICK['lease'] + 1)
                cell.heal()
                time.sleep(1)
        cells.wait_idle(cell)
        callers.check_truth(cell, load.seen, unknown_ok=True)
        assert not load.outcomes()['']
        cells.check_workers(cell)
