"""Test the guarantees while the log is down, slow or trimmed."""

import time

from tests.faults import web
from tests.integration import callers
from tests.integration import cell as cells

TWO_PER_ZONE = cells.plan(zones=('a',), hosts_per_zone=2)
SNAPSHOTS = {**cells.SHORT_TIMING, 'snapshot_interval': 1.0}


def log_counters(cell):
    """Return the counters of the log, queried without the proxy."""
    return web.call_json(cell.log_port, 'GET', '/counters')


def check_results(cell, records, outcomes=('succeeded',)):
    """Check outcomes and violations once all workers are idle."""
    cells.wait_idle(cell)
    callers.check_outcomes(cell, records)
    assert {one.outcome for one in records} <= set(outcomes), records
    return cells.check_workers(cell)


def test_repeatable_jobs_run_while_the_log_is_down(tmp_path):
    with cells.running(tmp_path, TWO_PER_ZONE) as cell:
        ports = callers.port_lister(cell)
        cell.set_log_faults(down=True)
        time.sleep(cells.TOTAL_LEASE_S + 1)
        with callers.Load(ports, retry=False, keyed=False) as load:
            time.sleep(2)
        refused = callers.new_request(repeatable=False)
        callers.submit(ports()[0], refused, 2.0)
        cell.set_log_faults(down=False)
        cells.wait_until_owned(cell)
        check_results(cell, load.records)
        assert len(load.records) > 20
        assert refused.outcome in ('not_run', ''), refused
        callers.submit_until_final(ports, refused, 20.0)
        check_results(cell, [refused])


def test_owner_crash_while_the_log_is_down(tmp_path):
    with cells.running(tmp_path, TWO_PER_ZONE) as cell:
        with callers.Load(callers.port_lister(cell), timeout=60.0) as load:
            cell.set_log_faults(down=True)
            time.sleep(cells.SHORT_TIMING['lease'] + 1)
            cell.hosts['a-host0'].running.kill()
            time.sleep(2)
            cell.set_log_faults(down=False)
            cells.wait_until_owned(cell)
            time.sleep(1)
        check_results(cell, load.records)


def test_slow_log_under_load(tmp_path):
    with cells.running(tmp_path, TWO_PER_ZONE) as cell:
        cell.set_log_faults(latency=0.5)
        with callers.Load(callers.port_lister(cell), repeatable=False) as load:
            time.sleep(cells.SHORT_TIMING['lease'] + 2)
        cell.set_log_faults(latency=0.0)
        check_results(cell, load.records)


def test_append_responses_lost_under_load(tmp_path):
    with cells.running(tmp_path, TWO_PER_ZONE) as cell:
        with callers.Load(callers.port_lister(cell), repeatable=False) as load:
            for _ in range(10):
                cell.set_log_faults(lose_answers=3)
                time.sleep(0.5)
        cell.set_log_faults(lose_answers=0)
        check_results(cell, load.records)


def test_delayed_appends_across_a_failover(tmp_path):
    with cells.running(tmp_path, TWO_PER_ZONE) as cell:
        ports = callers.port_lister(cell, ['a-host1'])
        with callers.Load(ports, repeatable=False, timeout=40.0) as load:
            cell.set_log_faults(delay_appends=6, delay_s=4.0)
            time.sleep(0.5)
            cell.hosts['a-host0'].running.kill()
            cells.wait_until_owned(cell)
            time.sleep(3)
        cells.wait_idle(cell)
        # A start intent whose append is applied late has an unknown outcome.
        callers.check_outcomes(cell, load.records, unknown_ok=True)
        cells.check_workers(cell)
        assert load.outcomes()['succeeded'] > 5
        assert not load.outcomes()['']


def test_restarted_hosts_recover_from_a_trimmed_log(tmp_path):
    plan = cells.plan(zones=('a',), hosts_per_zone=2, timing=SNAPSHOTS)
    with cells.running(tmp_path, plan) as cell:
        ports = callers.port_lister(cell)
        done = [callers.new_request() for _ in range(6)]
        for one in done:
            callers.submit_until_final(ports, one, 20.0, durable=True)
        waiting = [callers.new_request(repeatable=False) for _ in range(3)]
        for one in waiting:
            callers.submit(ports()[0], one, 0.0, run_s=25.0)
        end = log_counters(cell)['end_offsets']['zone.a']
        cells.wait_for(
            lambda: log_counters(cell)['end_offsets']['zone.a'] > end + 8,
            15.0,
            'two sets of snapshots',
        )
        time.sleep(2.5)
        cell.set_log_faults(trim_before={'zone.a': end})
        for name in cell.hosts:
            cell.hosts[name].running.kill()
            cell.start_host(name)
            cells.wait_until_owned(cell)
        for one in done:
            callers.submit(ports()[0], one, 5.0, durable=True)
            assert one.outcome == 'succeeded', one
        for one in waiting:
            callers.submit(ports()[0], one, 0.0, run_s=25.0)
            assert one.outcome in ('', 'unknown', 'succeeded', 'failed'), one
            # The worker ends a run whose lease no owner renewed in time.
            assert one.outcome != 'failed' or 'lapsed' in one.detail, one
        started = cell.start_counts()
        assert all(started[f'{one.name}/0'] == 1 for one in done + waiting)
        assert cells.check_workers(cell)['repeated_starts'] == 0
