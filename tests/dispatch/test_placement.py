"""Check how many jobs a partitioned zone or a faulty endpoint affects.

A job waits for all its tasks, so jobs that are spread over zones or endpoints
all wait for the faulty one. The endpoints of three zones are three quarters
full here; jobs of small tasks arrive, and tasks complete at random.
"""

import random

from tests.dispatch import support

ZONES = ('a', 'b', 'c')
JOBS = 60
CAPACITY_TASKS = 120  # that fit on all endpoints together


def add_endpoints(bench):
    for zone in ZONES:
        for number in range(4):
            bench.endpoint(f'{zone}{number}', cpu=64000, zone=zone)


def zones_of(starts):
    return {start.endpoint[0] for start in starts}


def test_partitioned_zone_affects_no_more_than_its_share_of_jobs():
    bench = support.Bench()
    add_endpoints(bench)
    rng = random.Random(1)
    running = []
    affected = 0
    for number in range(JOBS):
        bench.submit(f'j{number}', support.step(10, cpu=6000, memory=1))
        starts = bench.plan()
        assert len(starts) == 10
        bench.confirm(starts)
        running += starts
        affected += 'a' in zones_of(starts)
        while len(running) > CAPACITY_TASKS * 3 // 4 - 10:
            bench.end(running.pop(rng.randrange(len(running))))
    # A third of the endpoints are in the zone; 0.15 for jobs that don't fit.
    assert affected / JOBS <= 1 / len(ZONES) + 0.15


def endpoint_counts_of_jobs(rng):
    """Return for each job on how many endpoints it was placed."""
    bench = support.Bench()
    add_endpoints(bench)
    running = []
    counts = []
    for number in range(JOBS):
        bench.submit(f'j{number}', support.step(4, cpu=6000, memory=1))
        starts = bench.plan()
        bench.confirm(starts)
        counts.append(len({start.endpoint for start in starts}))
        running += starts
        while len(running) > CAPACITY_TASKS * 3 // 4 - 4:
            bench.end(running.pop(rng.randrange(len(running))))
    return counts


def test_faulty_endpoint_affects_few_jobs():
    """On average a job of four tasks uses two endpoints at most."""
    counts = endpoint_counts_of_jobs(random.Random(1))
    assert sum(counts) / len(counts) <= 2.0


def test_job_that_fits_in_no_zone_uses_several():
    bench = support.Bench()
    add_endpoints(bench)
    bench.submit('j', support.step(90, cpu=6000, memory=1))
    assert len(bench.plan()) == 90


def test_next_step_stays_in_the_zone_of_the_job():
    bench = support.Bench()
    add_endpoints(bench)
    first = support.step(3, cpu=6000, memory=1)
    second = support.step(3, cpu=6000, memory=1, after=(0,))
    bench.submit('j', first, second)
    starts = bench.plan()
    bench.confirm(starts)
    for start in starts:
        bench.end(start)
    later_starts = bench.plan()
    assert len(later_starts) == 3
    assert zones_of(later_starts) == zones_of(starts)


def test_long_running_tasks_are_placed_by_best_fit_over_all_zones():
    bench = support.Bench()
    for zone in ZONES:
        bench.endpoint(f'{zone}0', cpu=20000 + ord(zone) * 10, zone=zone)
    bench.submit('j', support.step(2, cpu=6000, memory=1, long_running=True))
    (first, second) = bench.plan()
    # The one with the least free capacity.
    assert first.endpoint == second.endpoint == 'a0'
