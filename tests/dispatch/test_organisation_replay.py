"""Check that organisations that send too much harm no other one.

Two of 20 organisations, or 20 of 260, send 4 to 6 times their usual load
beside a burst of the urgent queue. The jobs of the others that are within
their entitlement have to be on time as often, within TOLERANCE, as under the
same load without the surplus. The load is a third of a deployment's, with a
third of its endpoints, so that a run takes seconds; `python -m
hibiscusslip.bench.organisations` replays the full sizes.
"""

import pytest

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import organisations
from tests.dispatch import test_replay

TOLERANCE = 0.05
MIN_JOBS = 20  # of an organisation that is judged by itself
SEEDS = (1, 2, 3, 4, 5)
BURST = dispatch_loads.Burst('timetable', 1.5, 3.0, 6.0)


def replay(seed, count, surging, factor, window):
    names = tuple(f'o{rank}' for rank in range(1, 1 + surging))
    surges = (organisations.Surge(names, factor, 2.0, 7.0),) if names else ()
    run = organisations.OrganisationReplay(
        seed,
        test_replay.LOAD,
        count,
        (BURST,),
        surges,
        entitlement_window=window,
    )
    run.run(8.0)
    assert run.all_ended, 'a job beyond its entitlement has starved'
    return run


def on_time(runs, names):
    """Return the on-time jobs and all jobs of organisations."""
    counts = [run.counts[name] for run in runs for name in names]
    served = sum(item.on_time for item in counts)
    return served, sum(item.submitted for item in counts)


def lost_share(usual, loaded, names):
    """Return which share of the jobs isn't on time because of the surplus."""
    served, total = on_time(usual, names)
    loaded_served, loaded_total = on_time(loaded, names)
    assert loaded_total == total
    return (served - loaded_served) / total


@pytest.mark.parametrize('window', [1.0, 5.0])
@pytest.mark.parametrize(
    ('count', 'surging', 'factor'), [(20, 2, 6.0), (260, 20, 4.0)]
)
def test_surplus_of_some_organisations_harms_no_other(
    count, surging, factor, window
):
    usual = [replay(seed, count, 0, 1.0, window) for seed in SEEDS]
    loaded = [replay(seed, count, surging, factor, window) for seed in SEEDS]
    names = list(usual[0].rates)
    others = [names[0], *names[1 + surging :]]
    small = others[len(others) // 2 :]
    single = [n for n in others if on_time(usual, [n])[1] >= MIN_JOBS]
    assert len(single) >= 1
    for group in (others, small):
        assert lost_share(usual, loaded, group) <= TOLERANCE, group
    for name in single:  # of one with few jobs, one job may be more
        total = on_time(usual, [name])[1]
        lost = lost_share(usual, loaded, [name])
        assert lost <= TOLERANCE + 1 / total, name
    rejected = [run.rejected[name] for run in loaded for name in others]
    assert sum(rejected) == 0


def test_memory_for_an_organisation_is_bounded():
    size = organisations.bytes_per_organisation(260, ('planner', 'print'))
    assert size < 4096
