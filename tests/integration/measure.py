"""Measure the cost of faults.

Run `python -m tests.integration.measure PART`; the parts are kill, appends,
replace and in_force.
"""

import contextlib
import json
import pathlib
import statistics
import sys
import tempfile
import time

from tests.faults import cluster
from tests.faults import web
from tests.integration import callers
from tests.integration import cell as cells

STARTS = 300
ROUNDS = 3


@contextlib.contextmanager
def running(plan: cluster.Plan):
    """Run a cell in a temporary directory."""
    with tempfile.TemporaryDirectory() as name:
        with cells.running(pathlib.Path(name), plan) as cell:
            yield cell


def kill() -> dict:
    """Measure the outage in seconds after kill -9 of an owner.

    The cell has one zone with one shard and two hosts, and default timings.
    """
    outages_s = []
    plan = cells.plan(zones=('a',), hosts_per_zone=2, timing={})
    plan = cluster.Plan(**{**plan.__dict__, 'shards_per_zone': 1})
    for _ in range(ROUNDS):
        with running(plan) as cell:
            owner = next(n for n in cell.hosts if cells.shards(cell, n))
            other = next(n for n in cell.hosts if n != owner)
            port = cell.hosts[other].callers
            cells.wait_until_accepting(port)
            started_at = time.monotonic()
            cell.hosts[owner].running.kill()
            cells.wait_until_accepting(port, 120.0)
            outages_s.append(round(time.monotonic() - started_at, 2))
    return {'gaps_s': outages_s}


def appends() -> dict:
    """Measure log appends per 1,000 starts, net of those while idle."""
    per_1000_starts = {}
    with running(cells.plan(timing={})) as cell:

        def appended() -> int:
            return web.call_json(cell.log_port, 'GET', '/counters')['appends']

        before, started_at = appended(), time.monotonic()
        time.sleep(10)
        idle = (appended() - before) / (time.monotonic() - started_at)
        for repeatable in (True, False):
            before, started_at = appended(), time.monotonic()
            with callers.Load(
                callers.port_lister(cell), 16, repeatable, run_s=0.05
            ) as load:
                while len(load.records) < STARTS:
                    time.sleep(0.02)
            duration_s = time.monotonic() - started_at
            appends_used = appended() - before - idle * duration_s
            name = 'repeatable' if repeatable else 'not_repeatable'
            per_1000_starts[name] = round(
                1000 * appends_used / len(load.records)
            )
            per_1000_starts[f'{name}_rate'] = round(
                len(load.records) / duration_s
            )
    return {'idle_per_s': round(idle, 2), 'per_1000_starts': per_1000_starts}


def summarize_waits(load: callers.Load) -> dict:
    """Return the percentiles of the waiting times, in ms, and the outcomes."""
    waits_ms = sorted(
        1000 * one.duration_s for one in load.records if one.outcome
    )
    return {
        'requests': len(load.records),
        'p50_ms': round(statistics.median(waits_ms)),
        'p99_ms': round(waits_ms[int(len(waits_ms) * 0.99) - 1]),
        'max_ms': round(waits_ms[-1]),
        'outcomes': dict(load.outcomes()),
    }


def replace() -> dict:
    """Measure waiting times during a rolling replacement of all hosts.

    Timings are the defaults.
    """
    with running(cells.plan(hosts_per_zone=2, timing={})) as cell:
        with callers.Load(callers.port_lister(cell), 4, run_s=0.0) as baseline:
            time.sleep(10)
        with callers.Load(callers.port_lister(cell), 4, run_s=0.0) as load:
            started_at = time.monotonic()
            for name in cell.hosts:
                stopping = cell.hosts[name].running
                stopping.terminate()
                stopping.wait(60)
                cell.start_host(name)
                cells.wait_until_owned(cell)
            duration_s = round(time.monotonic() - started_at, 1)
        return {
            'steady': summarize_waits(baseline),
            'replacing': summarize_waits(load),
            's': duration_s,
        }


def in_force() -> dict:
    """Measure the propagation time of a configuration to 9 hosts.

    Timings are the defaults.
    """
    plan = cells.plan(zones=('a', 'b', 'c'), hosts_per_zone=3, timing={})
    durations_s = []
    with running(plan) as cell:
        for version in range(1, 11):
            started_at = time.monotonic()
            cells.publish(cell, 'a-host0', version)
            while any(cells.version(cell, n) <= version for n in cell.hosts):
                time.sleep(0.01)
            durations_s.append(round(time.monotonic() - started_at, 3))
    return {'seconds': sorted(durations_s)}


def main() -> None:
    """Run the parts given as arguments, or all."""
    parts = {f.__name__: f for f in (kill, appends, replace, in_force)}
    for name in sys.argv[1:] or parts:
        print(name, json.dumps(parts[name]()), flush=True)


if __name__ == '__main__':
    main()
