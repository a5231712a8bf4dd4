"""Check how many jobs a zone that is cut off, or a bad endpoint, harms.

The pattern: three zones of endpoints, three quarters full; jobs of ten small
tasks come, and tasks end here and there; then a zone is cut off.
"""

import random

from tests.dispatch import support

ZONES = ('a', 'b', 'c')
JOBS = 60
ROOM = 120  # tasks that fit into all endpoints together


def cell(bench):
    for zone in ZONES:
        for number in range(4):
            bench.endpoint(f'{zone}{number}', cpu=64000, zone=zone)


def zones_of(starts):
    return {start.endpoint[0] for start in starts}


def test_cut_zone_harms_no_more_jobs_than_it_has_of_the_endpoints():
    bench = support.Bench()
    cell(bench)
    rng = random.Random(1)
    running = []
    harmed = 0
    for number in range(JOBS):
        bench.submit(f'j{number}', support.step(10, cpu=6000, memory=1))
        starts = bench.plan()
        assert len(starts) == 10
        bench.confirm(starts)
        running += starts
        harmed += 'a' in zones_of(starts)
        while len(running) > ROOM * 3 // 4 - 10:
            bench.end(running.pop(rng.randrange(len(running))))
    # A third of the endpoints are in the zone; 0.15 for jobs that don't fit.
    assert harmed / JOBS <= 1 / len(ZONES) + 0.15


def endpoints_of_jobs(rng):
    """Return on how many endpoints each of many jobs was placed."""
    bench = support.Bench()
    cell(bench)
    running = []
    counts = []
    for number in range(JOBS):
        bench.submit(f'j{number}', support.step(4, cpu=6000, memory=1))
        starts = bench.plan()
        bench.confirm(starts)
        counts.append(len({start.endpoint for start in starts}))
        running += starts
        while len(running) > ROOM * 3 // 4 - 4:
            bench.end(running.pop(rng.randrange(len(running))))
    return counts


def test_bad_endpoint_harms_few_jobs():
    """Jobs of four tasks are on two endpoints at most, on average."""
    counts = endpoints_of_jobs(random.Random(1))
    assert sum(counts) / len(counts) <= 2.0


def test_job_that_fits_into_no_zone_uses_several():
    bench = support.Bench()
    cell(bench)
    bench.submit('j', support.step(90, cpu=6000, memory=1))
    assert len(bench.plan()) == 90


def test_next_step_stays_where_the_job_was():
    bench = support.Bench()
    cell(bench)
    first = support.step(3, cpu=6000, memory=1)
    second = support.step(3, cpu=6000, memory=1, after=(0,))
    bench.submit('j', first, second)
    starts = bench.plan()
    bench.confirm(starts)
    for start in starts:
        bench.end(start)
    again = bench.plan()
    assert len(again) == 3
    assert zones_of(again) == zones_of(starts)


def test_tasks_that_last_are_spread_by_room_only():
    bench = support.Bench()
    for zone in ZONES:
        bench.endpoint(f'{zone}0', cpu=20000 + ord(zone) * 10, zone=zone)
    bench.submit('j', support.step(2, cpu=6000, memory=1, long_running=True))
    (first, second) = bench.plan()
    assert first.endpoint == second.endpoint == 'a0'  # the fullest
