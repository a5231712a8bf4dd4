"""Check that a key stands for one job on all hosts, whatever dies."""

import concurrent.futures
import time

from tests.integration import callers
from tests.integration import cell as cells

PLAN = cells.plan(hosts_per_zone=2)
KEYS = 8


def test_same_key_on_all_hosts_across_a_take_over(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.ports_of(cell)
        copies = []
        with concurrent.futures.ThreadPoolExecutor(32) as pool:
            calls = []
            for _ in range(KEYS):
                first = callers.request(repeatable=False)
                for offset in range(4):
                    same = callers.Seen(first.name, first.key, False)
                    copies.append(same)

                    def rotated(by: int = offset) -> list[int]:
                        listed = ports()
                        by %= len(listed)
                        return listed[by:] + listed[:by]

                    calls.append(
                        pool.submit(
                            callers.see_through, rotated, same, 40.0, run_s=1.5
                        )
                    )
            time.sleep(0.7)
            cell.hosts['a-host0'].running.kill()
            for call in calls:
                call.result()
        cells.wait_served(cell)
        cells.wait_idle(cell)
        callers.check_truth(cell, copies, unknown_ok=True)
        told = {}
        for one in copies:
            told.setdefault(one.key, set()).add((one.job_id, one.outcome))
        assert all(len(answers) == 1 for answers in told.values()), told
        assert all(one.outcome for one in copies)
        cells.check_workers(cell)


def test_key_whose_home_has_no_endpoint(tmp_path):
    # Four shards for two workers: some of the shards have none.
    plan = cells.plan(zones=('a',), workers_per_zone=2, shards_per_zone=4)
    with cells.running(tmp_path, plan) as cell:
        ports = callers.ports_of(cell)
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            seen = [callers.request() for _ in range(12)]
            for one in seen:
                pool.submit(callers.see_through, ports, one, 15.0)
        outcomes = [one.outcome for one in seen]
        assert outcomes == ['succeeded'] * len(seen), outcomes
        cells.check_workers(cell)


def test_kills_at_any_moment_never_repeat_not_repeatable_work(tmp_path):
    with cells.running(tmp_path, PLAN) as cell:
        ports = callers.ports_of(cell)
        with callers.Load(
            ports, threads=8, repeatable=False, run_s=0.5, timeout=60.0
        ) as load:
            for name in cell.hosts:
                time.sleep(0.9)
                cell.hosts[name].running.kill()
                cell.start_host(name)
                cells.wait_served(cell)
        cells.wait_idle(cell)
        callers.check_truth(cell, load.seen, unknown_ok=True)
        outcomes = load.outcomes()
        assert set(outcomes) <= {'succeeded', 'unknown', 'failed'}, outcomes
        assert outcomes['succeeded'] > 20
        cells.check_workers(cell)
