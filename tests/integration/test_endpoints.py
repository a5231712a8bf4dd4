"""Test the guarantees when endpoints leave, freeze, crash or fail runs."""

import time

import pytest

from tests.faults import web
from tests.integration import callers
from tests.integration import cell as cells

PLAN = cells.plan(zones=('a',))
FAULTY_WORKER = 'a-worker0'
LEAVING_S = 3.0


def runs_on(cell, worker: str) -> set[str]:
    """Return the tasks that a worker lists, active or ended."""
    listing = web.call_json(cell.workers[worker], 'GET', '/runs')
    return {run['task'] for run in listing['runs']}


def check_results(cell, load, outcomes=('succeeded',), unknown_ok=False):
    """Check outcomes and violations once all workers are idle."""
    cells.wait_idle(cell)
    callers.check_outcomes(cell, load.records, unknown_ok)
    assert set(load.outcomes()) <= set(outcomes), load.outcomes()
    assert load.outcomes()['succeeded'] > 20
    return cells.check_workers(cell)


def test_leaving_endpoint_gets_no_new_work_and_completes_its_runs(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.port_lister(cell)
        # The load needs more cores than two endpoints of a shard have, so
        # that best fit uses the third as well.
        with callers.Load(
            ports, 20, retry=False, keyed=False, run_s=0.5
        ) as load:
            time.sleep(2)
            # The worker may be idle at any single moment.
            cells.wait_for(
                lambda: runs_on(cell, FAULTY_WORKER),
                15.0,
                'a run on the worker',
            )
            cell.set_state(FAULTY_WORKER, 'leaving')
            time.sleep(LEAVING_S)
            before = runs_on(cell, FAULTY_WORKER)
            time.sleep(2)
            assert runs_on(cell, FAULTY_WORKER) == before
        check_results(cell, load)


@pytest.mark.parametrize('repeatable', [True, False])
def test_endpoint_frozen_beyond_its_leases(tmp_path, repeatable):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.port_lister(cell)
        with callers.Load(ports, 6, repeatable, timeout=60.0) as load:
            time.sleep(1)
            cell.set_worker_faults(FAULTY_WORKER, frozen=True)
            time.sleep(cells.TOTAL_LEASE_S)
            cell.set_worker_faults(FAULTY_WORKER, frozen=False)
            time.sleep(2)
        allowed = ('succeeded',) if repeatable else ('succeeded', 'unknown')
        check_results(cell, load, allowed, unknown_ok=not repeatable)


def test_endpoint_crashes_twice_under_load(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.port_lister(cell)
        with callers.Load(ports, run_s=0.5, timeout=60.0) as load:
            for _ in range(2):
                time.sleep(2)
                cell.set_worker_faults(FAULTY_WORKER, restart=True)
            time.sleep(2)
        check_results(cell, load)


def test_endpoint_crash_never_repeats_not_repeatable_work(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.port_lister(cell)
        with callers.Load(ports, run_s=0.5, repeatable=False) as load:
            for _ in range(4):
                time.sleep(1)
                cell.set_worker_faults(FAULTY_WORKER, restart=True)
        outcomes = ('succeeded', 'unknown', 'failed')
        check_results(cell, load, outcomes, unknown_ok=True)


def test_endpoint_responses_lost_after_the_start(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.port_lister(cell)
        with callers.Load(ports, repeatable=False, timeout=60.0) as load:
            for _ in range(4):
                for name in cell.workers:
                    cell.set_worker_faults(name, lose_starts=1, lose_answers=2)
                time.sleep(1)
        outcomes = ('succeeded', 'unknown')
        check_results(cell, load, outcomes, unknown_ok=True)


def test_endpoint_that_fails_all_runs_gets_little_work(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        cell.set_worker_faults(FAULTY_WORKER, fail_all=True, fail_after=0.01)
        with callers.Load(callers.port_lister(cell)) as load:
            time.sleep(5)
        ended = check_results(cell, load, ('succeeded', 'failed'))['ended']
        assert ended.get('failed', 0) < ended['succeeded'] / 4
        assert load.outcomes()['failed'] < len(load.records) / 50


def test_host_list_down_and_lagging_while_a_host_is_replaced(tmp_path):
    plan = cells.plan(zones=('a',), hosts_per_zone=2)
    with cells.running(tmp_path, plan) as cell:
        with callers.Load(callers.port_lister(cell), timeout=60.0) as load:
            cell.set_host_list_faults(down=True)
            time.sleep(1)
            cell.hosts['a-host0'].running.kill()
            cells.wait_until_owned(cell)
            cell.set_host_list_faults(down=False, lag=5.0)
            cell.start_host('a-host0')
            time.sleep(2)
            cell.set_host_list_faults(lag=0.0)
            cells.wait_until_owned(cell)
        check_results(cell, load)
