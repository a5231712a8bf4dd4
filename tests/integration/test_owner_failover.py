"""Test that jobs complete when owners crash, pause or are replaced."""

import time

import pytest

from tests.integration import callers
from tests.integration import cell as cells

TWO_PER_ZONE = cells.plan(zones=('a',), hosts_per_zone=2)


def check_results(cell, load, unknown_ok=False):
    """Check outcomes and violations once all workers are idle."""
    cells.wait_idle(cell)
    callers.check_outcomes(cell, load.records, unknown_ok)
    outcomes = load.outcomes()
    allowed = {'succeeded', 'unknown'} if unknown_ok else {'succeeded'}
    assert set(outcomes) <= allowed, outcomes
    assert len(load.records) >= 10, outcomes
    return cells.check_workers(cell)


def test_crash_of_an_owner_under_load(tmp_path):
    with cells.running(tmp_path, TWO_PER_ZONE) as cell:
        with callers.Load(callers.port_lister(cell)) as load:
            time.sleep(2)
            cell.hosts['a-host0'].running.kill()
            cells.wait_until_owned(cell)
            time.sleep(1)
            cell.start_host('a-host0')
            cells.wait_until_owned(cell)
            time.sleep(1)
        check_results(cell, load)


@pytest.mark.parametrize('repeatable', [True, False])
def test_pause_of_an_owner_beyond_all_leases_under_load(tmp_path, repeatable):
    with cells.running(tmp_path, TWO_PER_ZONE) as cell:
        paused = cell.hosts['a-host0'].running
        ports = callers.port_lister(cell, ['a-host1'])
        with callers.Load(ports, repeatable=repeatable) as load:
            time.sleep(1)
            paused.pause()
            try:
                time.sleep(cells.TOTAL_LEASE_S + 2)
            finally:
                paused.resume()
            cells.wait_until_owned(cell)
            time.sleep(2)
        check_results(cell, load, unknown_ok=not repeatable)


def test_replacement_of_all_hosts_under_load(tmp_path):
    plan = cells.plan(hosts_per_zone=2)
    with cells.running(tmp_path, plan) as cell:
        for name in cell.hosts:
            others = [other for other in cell.hosts if other != name]
            ports = callers.port_lister(cell, others)
            # Callers use only hosts that are not replaced, and never retry.
            with callers.Load(ports, retry=False, keyed=False) as load:
                stopping = cell.hosts[name].running
                stopping.terminate()
                assert stopping.wait(30) == 0, stopping.output()
                cell.start_host(name)
                cells.wait_until_owned(cell)
            check_results(cell, load)


def test_request_in_flight_on_a_stopping_host_completes(tmp_path):
    with cells.running(tmp_path, TWO_PER_ZONE) as cell:
        stopping = cell.hosts['a-host0']
        ports = callers.port_lister(cell, ['a-host0'])
        with callers.Load(
            ports, threads=4, retry=False, keyed=False, run_s=2.0
        ) as load:
            time.sleep(1)
            load.stop()
            stopping.running.terminate()
            code = stopping.running.wait(30)
        assert code == 0
        failed = [one for one in load.records if one.outcome != 'succeeded']
        assert not failed
        callers.check_outcomes(cell, load.records)
        cells.check_workers(cell)


def test_not_repeatable_jobs_in_flight_survive_shard_transfer(tmp_path):
    with cells.running(tmp_path, cells.plan(hosts_per_zone=2)) as cell:
        ports = callers.port_lister(cell, ['b-host0', 'b-host1'])
        with callers.Load(
            ports, repeatable=False, retry=False, keyed=False, run_s=1.0
        ) as load:
            for name in ('a-host0', 'a-host1'):
                stopping = cell.hosts[name].running
                stopping.terminate()
                assert stopping.wait(30) == 0, stopping.output()
                cell.start_host(name)
                cells.wait_until_owned(cell)
        check_results(cell, load)
