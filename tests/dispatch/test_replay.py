"""Check that a burst of one kind of work doesn't starve the other kinds.

Replays a third of the arrivals and endpoints of ptp-hq-grown, with one kind
2.5 times as frequent from 3 s to 6 s. The bound is the share of jobs that the
deployment aims to serve on days with faults. The other kinds have to reach it
on time, as without a burst; the kind in the burst, which exceeds the capacity
of its pool, on time or late.
"""

import dataclasses

import pytest

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import dispatching

TARGET = 0.86
SEEDS = (1, 2, 3, 4)
PLANNING = dispatch_loads.LOADS['planning']
LOAD = dispatch_loads.Load(
    kinds=tuple(
        dataclasses.replace(kind, arrivals_per_s=kind.arrivals_per_s / 3)
        for kind in PLANNING.kinds
    ),
    pools=(
        dispatch_loads.Pool('planner', 42, 64),
        dispatch_loads.Pool('print', 17, 128, 8),
    ),
)


def replay(kind, seed):
    burst = dispatch_loads.Burst(kind, 2.5, 3.0, 6.0)
    return dispatching.Replay(seed, LOAD, (burst,)).run(10.0)


@pytest.mark.parametrize('kind', [kind.name for kind in LOAD.kinds])
def test_burst_of_one_kind_keeps_all_kinds_above_the_target(kind):
    reports = [replay(kind, seed) for seed in SEEDS]
    for name in reports[0].kinds:
        counts = [report.kinds[name] for report in reports]
        submitted = sum(item.submitted for item in counts)
        assert submitted >= 3 * len(SEEDS), name
        served = sum(item.on_time for item in counts)
        if name == kind:
            served += sum(item.late for item in counts)
        assert served >= TARGET * submitted, (name, counts)


def test_same_seed_gives_the_same_report():
    first, second = replay('timetable', 1), replay('timetable', 1)
    assert first.kinds == second.kinds
