"""Test that an idempotency key identifies one job across host failures."""

import concurrent.futures
import time

from tests.integration import callers
from tests.integration import cell as cells

PLAN = cells.plan(hosts_per_zone=2)
KEYS = 8


def test_same_key_on_all_hosts_across_a_failover(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.port_lister(cell)
        copies = []
        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            calls = []
            for _ in range(KEYS):
                first = callers.new_request(repeatable=False)
                for offset in range(4):
                    same = callers.RequestRecord(first.name, first.key, False)
                    copies.append(same)

                    def rotated(by: int = offset) -> list[int]:
                        listed = ports()
                        by %= len(listed)
                        return listed[by:] + listed[:by]

                    calls.append(
                        pool.submit(
                            callers.submit_until_final,
                            rotated,
                            same,
                            40.0,
                            run_s=1.5,
                        )
                    )
            time.sleep(0.7)
            cell.hosts['a-host0'].running.kill()
            for call in calls:
                call.result()
        cells.wait_until_owned(cell)
        cells.wait_idle(cell)
        callers.check_outcomes(cell, copies, unknown_ok=True)
        results_by_key = {}
        for one in copies:
            results_by_key.setdefault(one.key, set()).add(
                (one.job_id, one.outcome)
            )
        assert all(len(answers) == 1 for answers in results_by_key.values()), (
            results_by_key
        )
        assert all(one.outcome for one in copies)
        cells.check_workers(cell)


def test_key_whose_home_shard_has_no_endpoint(tmp_path):
    # With four shards and two workers, some shards have no worker.
    plan = cells.plan(zones=('a',), workers_per_zone=2, shards_per_zone=4)
    with cells.running(tmp_path, plan) as cell:
        ports = callers.port_lister(cell)
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            records = [callers.new_request() for _ in range(12)]
            for one in records:
                pool.submit(callers.submit_until_final, ports, one, 15.0)
        outcomes = [one.outcome for one in records]
        assert outcomes == ['succeeded'] * len(records), outcomes
        cells.check_workers(cell)


def test_host_crashes_never_repeat_not_repeatable_jobs(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.port_lister(cell)
        with callers.Load(
            ports, threads=8, repeatable=False, run_s=0.5, timeout=60.0
        ) as load:
            for name in cell.hosts:
                time.sleep(0.9)
                cell.hosts[name].running.kill()
                cell.start_host(name)
                cells.wait_until_owned(cell)
        cells.wait_idle(cell)
        callers.check_outcomes(cell, load.records, unknown_ok=True)
        outcomes = load.outcomes()
        assert set(outcomes) <= {'succeeded', 'unknown', 'failed'}, outcomes
        assert outcomes['succeeded'] > 20
        cells.check_workers(cell)
