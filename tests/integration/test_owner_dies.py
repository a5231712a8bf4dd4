"""Check that work goes on when owners die, pause or are replaced."""

import time

import pytest

from tests.integration import callers
from tests.integration import cell as cells

TWO_PER_ZONE = cells.plan(zones=('a',), hosts_per_zone=2)


def settle(cell, load, unknown_ok=False):
    """Check what callers and workers saw once all is quiet."""
    cells.wait_idle(cell)
    callers.check_truth(cell, load.seen, unknown_ok)
    outcomes = load.outcomes()
    allowed = {'succeeded', 'unknown'} if unknown_ok else {'succeeded'}
    assert set(outcomes) <= allowed, outcomes
    assert len(load.seen) >= 10, outcomes
    return cells.check_workers(cell)


def test_kill_of_an_owner_under_load(tmp_path):
    with cells.running(tmp_path, TWO_PER_ZONE) as cell:
        with callers.Load(callers.ports_of(cell)) as load:
            time.sleep(2)
            cell.hosts['a-host0'].running.kill()
            cells.wait_served(cell)
            time.sleep(1)
            cell.start_host('a-host0')
            cells.wait_served(cell)
            time.sleep(1)
        settle(cell, load)


@pytest.mark.parametrize('repeatable', [True, False])
def test_pause_of_an_owner_beyond_all_leases_under_load(tmp_path, repeatable):
    with cells.running(tmp_path, TWO_PER_ZONE) as cell:
        paused = cell.hosts['a-host0'].running
        ports = callers.ports_of(cell, ['a-host1'])
        with callers.Load(ports, repeatable=repeatable) as load:
            time.sleep(1)
            paused.pause()
            try:
                time.sleep(cells.LEASES_S + 2)
            finally:
                paused.resume()
            cells.wait_served(cell)
            time.sleep(2)
        settle(cell, load, unknown_ok=not repeatable)


def test_replacement_of_all_hosts_under_load(tmp_path):
    plan = cells.plan(hosts_per_zone=2)
    with cells.running(tmp_path, plan) as cell:
        for name in cell.hosts:
            others = [other for other in cell.hosts if other != name]
            ports = callers.ports_of(cell, others)
            # One caller a host that isn't replaced, and nobody retries.
            with callers.Load(ports, retry=False, keyed=False) as load:
                stopping = cell.hosts[name].running
                stopping.terminate()
                assert stopping.wait(30) == 0, stopping.log()
                cell.start_host(name)
                cells.wait_served(cell)
            settle(cell, load)


def test_request_in_flight_on_a_stopping_host_is_answered(tmp_path):
    with cells.running(tmp_path, TWO_PER_ZONE) as cell:
        stopping = cell.hosts['a-host0']
        ports = callers.ports_of(cell, ['a-host0'])
        with callers.Load(
            ports, threads=4, retry=False, keyed=False, run_s=2.0
        ) as load:
            time.sleep(1)
            load.stop()
            stopping.running.terminate()
            code = stopping.running.wait(30)
        assert code == 0
        others = [one for one in load.seen if one.outcome != 'succeeded']
        assert not others
        callers.check_truth(cell, load.seen)
        cells.check_workers(cell)


def test_not_repeatable_work_in_flight_moves_with_its_shard(tmp_path):
    with cells.running(tmp_path, cells.plan(hosts_per_zone=2)) as cell:
        ports = callers.ports_of(cell, ['b-host0', 'b-host1'])
        with callers.Load(
            ports, repeatable=False, retry=False, keyed=False, run_s=1.0
        ) as load:
            for name in ('a-host0', 'a-host1'):
                stopping = cell.hosts[name].running
                stopping.terminate()
                assert stopping.wait(30) == 0, stopping.log()
                cell.start_host(name)
                cells.wait_served(cell)
        settle(cell, load)
