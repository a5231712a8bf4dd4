"""Check what makes room for a burst of urgent work, and what doesn't.

The pattern over time is replayed in test_replay.py.
"""

from hibiscusslip.dispatch import _yielding
from hibiscusslip.dispatch import model
from tests.dispatch import support


def filled(**step):
    """Return a bench whose pool is filled by work of a later priority."""
    bench = support.Bench(
        support.queue('small', priority=0), support.queue('big', priority=2)
    )
    for number in range(10):
        bench.endpoint(f'e{number}', cpu=10000)
    fields = {'checkpoints': True, 'estimate': 9.0, **step}
    bench.submit('big', support.step(20, cpu=5000, **fields), queue='big')
    starts = bench.plan()
    assert len(starts) == 20
    bench.confirm(starts)
    pass_time(bench, _yielding.LEAST_RUN_S + 0.1)
    return bench


def pass_time(bench, seconds):
    """Go on, with all runs still listed."""
    bench.now += seconds
    for endpoint in bench.engine.endpoints.values():
        running = [
            model.RunningRun(task, run, '', int(bench.now * 7) % 99, 0)
            for task, run in endpoint.bookings
        ]
        bench.look(endpoint.name, running=running)


def urgent(bench, count=2):
    bench.submit('s', support.step(count, cpu=1000, estimate=1.0))
    bench.plan()


def test_work_that_checkpoints_yields_after_a_moment():
    bench = filled()
    urgent(bench)
    assert bench.stops() == []
    bench.now += _yielding.PATIENCE_S + 0.01
    bench.plan()
    (stop,) = bench.stops()
    assert stop.reason == 'yields to urgent work'
    bench.now += 0.05
    bench.plan()
    assert bench.stops() == []


def test_no_more_than_a_share_of_the_pool_yields_at_a_time():
    bench = filled()
    urgent(bench, 60)
    bench.now += _yielding.PATIENCE_S + 0.01
    bench.plan()
    assert len(bench.stops()) == 2


def test_work_that_would_lose_much_goes_on():
    for fields in ({'checkpoints': False}, {'gang': True}):
        bench = filled(**fields)
        urgent(bench)
        bench.now += _yielding.PATIENCE_S + 0.01
        bench.plan()
        assert bench.stops() == []


def test_nothing_yields_to_urgent_work_that_is_late():
    bench = filled()
    urgent(bench)
    pass_time(bench, 3.0)
    bench.plan()
    assert bench.stops() == []


def test_nothing_yields_to_work_of_its_own_priority():
    bench = filled()
    bench.submit('b2', support.step(2, cpu=1000), queue='big')
    bench.plan()
    bench.now += _yielding.PATIENCE_S + 0.01
    bench.plan()
    assert bench.stops() == []
