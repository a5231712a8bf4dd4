"""Print what faults cost; run `python -m tests.integration.measure PART`."""

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
def running(made: cluster.Plan):
    """Run a cell in a directory of its own."""
    with tempfile.TemporaryDirectory() as name:
        with cells.running(pathlib.Path(name), made) as cell:
            yield cell


def kill() -> dict:
    """Measure the seconds without service after kill -9 of an owner.

    One zone with one shard and two hosts, default timings.
    """
    gaps = []
    plan = cells.plan(zones=('a',), hosts_per_zone=2, timing={})
    plan = cluster.Plan(**{**plan.__dict__, 'shards_per_zone': 1})
    for _ in range(ROUNDS):
        with running(plan) as cell:
            owner = next(n for n in cell.hosts if cells.shards(cell, n))
            other = next(n for n in cell.hosts if n != owner)
            port = cell.hosts[other].callers
            cells.wait_taken(port)
            began = time.monotonic()
            cell.hosts[owner].running.kill()
            cells.wait_taken(port, 120.0)
            gaps.append(round(time.monotonic() - began, 2))
    return {'gaps_s': gaps}


def appends() -> dict:
    """Measure log appends for 1,000 starts, without those of idle hosts."""
    found = {}
    with running(cells.plan(timing={})) as cell:

        def appended() -> int:
            return web.call_json(cell.log, 'GET', '/counters')['appends']

        before, began = appended(), time.monotonic()
        time.sleep(10)
        idle = (appended() - before) / (time.monotonic() - began)
        for repeatable in (True, False):
            before, began = appended(), time.monotonic()
            with callers.Load(
                callers.ports_of(cell), 16, repeatable, run_s=0.05
            ) as load:
                while len(load.seen) < STARTS:
                    time.sleep(0.02)
            took = time.monotonic() - began
            used = appended() - before - idle * took
            name = 'repeatable' if repeatable else 'not_repeatable'
            found[name] = round(1000 * used / len(load.seen))
            found[f'{name}_rate'] = round(len(load.seen) / took)
    return {'idle_per_s': round(idle, 2), 'per_1000_starts': found}


def waits(load: callers.Load) -> dict:
    """Return the waiting times of a load, in ms."""
    took = sorted(1000 * one.took for one in load.seen if one.outcome)
    return {
        'requests': len(load.seen),
        'p50_ms': round(statistics.median(took)),
        'p99_ms': round(took[int(len(took) * 0.99) - 1]),
        'max_ms': round(took[-1]),
        'outcomes': dict(load.outcomes()),
    }


def replace() -> dict:
    """Measure waits while all hosts are replaced, with default timings."""
    with running(cells.plan(hosts_per_zone=2, timing={})) as cell:
        with callers.Load(callers.ports_of(cell), 4, run_s=0.0) as still:
            time.sleep(10)
        with callers.Load(callers.ports_of(cell), 4, run_s=0.0) as load:
            began = time.monotonic()
            for name in cell.hosts:
                stopping = cell.hosts[name].running
                stopping.terminate()
                stopping.wait(60)
                cell.start_host(name)
                cells.wait_served(cell)
            took = round(time.monotonic() - began, 1)
        return {'steady': waits(still), 'replacing': waits(load), 's': took}


def in_force() -> dict:
    """Measure the time to in-force on 9 hosts, with default timings."""
    plan = cells.plan(zones=('a', 'b', 'c'), hosts_per_zone=3, timing={})
    found = []
    with running(plan) as cell:
        for version in range(1, 11):
            began = time.monotonic()
            cells.publish(cell, 'a-host0', version)
            while any(cells.version(cell, n) <= version for n in cell.hosts):
                time.sleep(0.01)
            found.append(round(time.monotonic() - began, 3))
    return {'seconds': sorted(found)}


def main() -> None:
    """Run the parts that the arguments name."""
    parts = {f.__name__: f for f in (kill, appends, replace, in_force)}
    for name in sys.argv[1:] or parts:
        print(name, json.dumps(parts[name]()), flush=True)


if __name__ == '__main__':
    main()
