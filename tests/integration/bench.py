"""Compare the path of a job with a bare server, per CPU second.

Run `python -m tests.integration.bench`: one availability zone, one entry
host, real processes on loopback. The bare server, based on curio and h11,
responds to a GET with `ok`. The entry host accepts a job, places it, starts
it on a worker over HTTP and responds with its result. Both are measured
alternately in one run.
"""

import json
import pathlib
import statistics
import tempfile
import time

import curio

from hibiscusslip.bench import http_server
from hibiscusslip.http import client
from hibiscusslip.http import limits
from tests.faults import cluster
from tests.faults import process
from tests.integration import cell as cells

CONNECTIONS = 64
ROUNDS = 3
SECONDS = 4.0
IDLE_SECONDS = 10.0
QUEUED_TASKS = 1000
TARGET_RATIO = 0.4
TARGET_IDLE_MB = 32.0
KIB_PER_MB = 1024
JOB = {
    'team': 'sales',
    'kind': 'quote',
    'cores': 0.1,
    'memory_gb': 0.1,
    'payload': json.dumps({'run_s': 0.0}),
}


async def submit_jobs(
    pool: client.Pool, until: float, body: bytes, counts: list[int]
) -> None:
    """Submit one job after the other until a time."""
    headers = {'content-type': 'application/json'}
    while time.perf_counter() < until:
        response = await pool.call(
            'POST',
            '/v1/jobs?wait=10',
            body=body,
            headers=headers,
            timeout=20.0,
        )
        state = json.loads(response.body)
        assert state['outcome'] == 'succeeded', state
        counts.append(1)


async def measure_whole_path(
    target: http_server.Target, seconds: float
) -> http_server.Rate:
    """Return the rate at which an entry host completes jobs."""
    pool = client.Pool('127.0.0.1', target.port, limits.DEFAULT, CONNECTIONS)
    counts: list[int] = []
    body = json.dumps(JOB).encode()
    start, cpu_start = time.perf_counter(), target.cpu_s()
    async with curio.TaskGroup() as group:
        for _ in range(CONNECTIONS):
            await group.spawn(submit_jobs, pool, start + seconds, body, counts)
    if group.exception is not None:
        raise group.exception
    took = time.perf_counter() - start
    rate = len(counts) / (target.cpu_s() - cpu_start)
    await pool.close()
    return http_server.Rate(len(counts) / took, rate)


async def queue_jobs(target: http_server.Target, count: int) -> None:
    """Submit tasks that stay queued for lack of capacity."""
    pool = client.Pool('127.0.0.1', target.port, limits.DEFAULT, 4)
    job = JOB | {'cores': 3.0, 'memory_gb': 12.0, 'durable': False}
    job['payload'] = json.dumps({'run_s': 600.0})
    headers = {'content-type': 'application/json'}
    for _ in range(count // 100):
        await pool.call(
            'POST',
            '/v1/jobs',
            body=json.dumps([job] * 100).encode(),
            headers=headers,
            timeout=30.0,
        )
    await pool.close()


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    [line] = [x for x in text.splitlines() if x.startswith('VmRSS')]
    return int(line.split()[1]) / KIB_PER_MB


def measure(directory: pathlib.Path) -> dict[str, object]:
    """Run both servers and return the measurements."""
    plan = cells.plan(zones=('a',), workers_per_zone=8, timing={})
    plan = cluster.Plan(**{**plan.__dict__, 'shards_per_zone': 1})
    args = ['-m', 'hibiscusslip.bench.http_server', 'serve', 'bare']
    bare_process = process.Process('bare', args, directory)
    try:
        with cells.running(directory, plan) as cell:
            line = ''
            while not line.endswith('\n'):
                time.sleep(0.1)
                line = bare_process.stdout_path.read_text()
            bare = http_server.Target(*map(int, line.split()))
            host = cell.hosts['a-host0']
            host.running.kill()
            args = ['-m', 'hibiscusslip.commands.entry', '--settings']
            args.append(str(directory / 'a-host0.toml'))
            started = process.Process('entry', args, directory)
            try:
                cells.wait_until_accepting(host.callers, 60.0)
                port = host.plan.callers_port
                entry = http_server.Target(port, started.pid)
                return compare(bare, entry)
            finally:
                started.close()
    finally:
        bare_process.close()


def compare(
    bare: http_server.Target, entry: http_server.Target
) -> dict[str, object]:
    """Measure memory, then both rates alternately."""
    time.sleep(2.0)
    idle_mb = read_resident_mb(entry.pid)
    cpu = entry.cpu_s()
    time.sleep(IDLE_SECONDS)
    idle_cpu = (entry.cpu_s() - cpu) / IDLE_SECONDS
    pairs = [
        (
            curio.run(http_server.measure, bare, SECONDS),
            curio.run(measure_whole_path, entry, SECONDS),
        )
        for _ in range(ROUNDS)
    ]
    loaded_mb = read_resident_mb(entry.pid)
    curio.run(queue_jobs, entry, QUEUED_TASKS)
    time.sleep(1.0)
    ratios = [
        entry_rate.per_cpu_s / bare_rate.per_cpu_s
        for bare_rate, entry_rate in pairs
    ]
    return {
        'bare_per_cpu_s': [
            round(bare_rate.per_cpu_s) for bare_rate, _ in pairs
        ],
        'whole_path_per_cpu_s': [
            round(entry_rate.per_cpu_s) for _, entry_rate in pairs
        ],
        'whole_path_per_s': [
            round(entry_rate.per_s) for _, entry_rate in pairs
        ],
        'ratio': round(statistics.median(ratios), 3),
        'ratio_target': TARGET_RATIO,
        'idle_mb': round(idle_mb, 1),
        'idle_mb_target': TARGET_IDLE_MB,
        'idle_core_percent': round(100 * idle_cpu, 2),
        'after_load_mb': round(loaded_mb, 1),
        'mb_per_1000_held': round(read_resident_mb(entry.pid) - loaded_mb, 2),
    }


def main() -> None:
    """Print the measurements as JSON."""
    with tempfile.TemporaryDirectory() as name:
        print(json.dumps(measure(pathlib.Path(name)), indent=1))


if __name__ == '__main__':
    main()
