"""Check that promises hold when endpoints leave, freeze, crash or lie."""

import time

import pytest

from tests.faults import web
from tests.integration import callers
from tests.integration import cell as cells

PLAN = cells.plan(zones=('a',))
BAD = 'a-worker0'
LEAVING_S = 3.0


def runs_on(cell, worker: str) -> set[str]:
    """Return the tasks that a worker has run and still remembers."""
    listing = web.call_json(cell.workers[worker], 'GET', '/runs')
    return {run['task'] for run in listing['runs']}


def judge(cell, load, outcomes=('succeeded',), unknown_ok=False):
    """Check what callers and workers saw once all is quiet."""
    cells.wait_idle(cell)
    callers.check_truth(cell, load.seen, unknown_ok)
    assert set(load.outcomes()) <= set(outcomes), load.outcomes()
    assert load.outcomes()['succeeded'] > 20
    return cells.check_workers(cell)


def test_leaving_endpoint_gets_no_new_work_and_ends_its_own(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.ports_of(cell)
        # More cores than two endpoints of a shard have, so that best fit
        # needs the third.
        with callers.Load(
            ports, 20, retry=False, keyed=False, run_s=0.5
        ) as load:
            time.sleep(2)
            # At a single moment it may have nothing to do.
            cells.wait_for(lambda: runs_on(cell, BAD), 15.0, 'work on it')
            cell.set_state(BAD, 'leaving')
            time.sleep(LEAVING_S)
            before = runs_on(cell, BAD)
            time.sleep(2)
            assert runs_on(cell, BAD) == before
        judge(cell, load)


@pytest.mark.parametrize('repeatable', [True, False])
def test_endpoint_frozen_beyond_its_leases(tmp_path, repeatable):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.ports_of(cell)
        with callers.Load(ports, 6, repeatable, timeout=60.0) as load:
            time.sleep(1)
            cell.worker_fault(BAD, frozen=True)
            time.sleep(cells.LEASES_S)
            cell.worker_fault(BAD, frozen=False)
            time.sleep(2)
        allowed = ('succeeded',) if repeatable else ('succeeded', 'unknown')
        judge(cell, load, allowed, unknown_ok=not repeatable)


def test_endpoint_crashes_twice_under_load(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.ports_of(cell)
        with callers.Load(ports, run_s=0.5, timeout=60.0) as load:
            for _ in range(2):
                time.sleep(2)
                cell.worker_fault(BAD, restart=True)
            time.sleep(2)
        judge(cell, load)


def test_endpoint_crash_never_repeats_not_repeatable_work(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.ports_of(cell)
        with callers.Load(ports, run_s=0.5, repeatable=False) as load:
            for _ in range(4):
                time.sleep(1)
                cell.worker_fault(BAD, restart=True)
        outcomes = ('succeeded', 'unknown', 'failed')
        judge(cell, load, outcomes, unknown_ok=True)


def test_answers_of_endpoints_lost_after_the_start(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.ports_of(cell)
        with callers.Load(ports, repeatable=False, timeout=60.0) as load:
            for _ in range(4):
                for name in cell.workers:
                    cell.worker_fault(name, lose_starts=1, lose_answers=2)
                time.sleep(1)
        outcomes = ('succeeded', 'unknown')
        judge(cell, load, outcomes, unknown_ok=True)


def test_endpoint_that_fails_everything_draws_little_work(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        cell.worker_fault(BAD, fail_all=True, fail_after=0.01)
        with callers.Load(callers.ports_of(cell)) as load:
            time.sleep(5)
        ended = judge(cell, load, ('succeeded', 'failed'))['ended']
        assert ended.get('failed', 0) < ended['succeeded'] / 4
        assert load.outcomes()['failed'] < len(load.seen) / 50


def test_host_list_down_and_late_while_a_host_is_replaced(tmp_path):
    plan = cells.plan(zones=('a',), hosts_per_zone=2)
    with cells.running(tmp_path, plan) as cell:
        with callers.Load(callers.ports_of(cell), timeout=60.0) as load:
            cell.host_list_fault(down=True)
            time.sleep(1)
            cell.hosts['a-host0'].running.kill()
            cells.wait_served(cell)
            cell.host_list_fault(down=False, lag=5.0)
            cell.start_host('a-host0')
            time.sleep(2)
            cell.host_list_fault(lag=0.0)
            cells.wait_served(cell)
        judge(cell, load)
