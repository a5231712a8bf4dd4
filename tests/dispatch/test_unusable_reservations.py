"""Check that nothing is held back for tasks that can't use it.

A step that needs much of an endpoint has endpoints reserved. Each test has one
whose tasks can't start there, or not yet, and other work that could.
"""

import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state
from tests.dispatch import support

LARGE = '0' * 16
SMALL = '1' * 16


def make_bench(*queues, endpoints=2, **fields):
    queues = queues or (
        support.queue('large', priority=0),
        support.queue('small', priority=1),
    )
    bench = support.Bench(*queues)
    for number in range(endpoints):
        bench.endpoint(f'w{number}', **fields)
    return bench


def submit_large(bench, *steps, queue='large'):
    return bench.submit(LARGE, *steps, queue=queue)


def submit_small(bench, estimate=60.0, **fields):
    """Submit one task that would run for longer than any reservation."""
    small = support.step(1, cpu=500, estimate=estimate, **fields)
    return bench.submit(SMALL, small)


def started(bench, job_id=SMALL):
    """Return the endpoints on which a pass starts tasks of a job."""
    starts = bench.plan()
    bench.confirm(starts)
    return [s.endpoint for s in starts if s.task.name.startswith(job_id)]


@pytest.mark.parametrize('long_running', [True, False])
def test_endpoints_are_not_reserved_beyond_the_spread_of_a_step(long_running):
    """Its runs kept all other jobs off the endpoints that they were on."""
    bench = make_bench()
    wide = support.step(
        4, cpu=4000, spread=1, long_running=long_running, estimate=10.0
    )
    submit_large(bench, wide)
    assert len(started(bench, LARGE)) == 2
    submit_small(bench, estimate=1.0)
    assert started(bench)


def test_endpoint_is_reserved_from_when_the_spread_allows_the_next_task():
    """The tasks of the first wave end then; a task that is long would stay."""
    bench = make_bench(endpoints=1)
    wide = support.step(2, cpu=5000, spread=1, estimate=10.0)
    submit_large(bench, wide)
    assert started(bench, LARGE) == ['w0']
    long = support.step(1, cpu=3500, estimate=60.0)
    bench.submit(SMALL, long)
    assert started(bench) == []
    short = support.step(1, cpu=2000, estimate=2.0)
    bench.submit('2' * 16, short)
    assert started(bench, '2' * 16) == ['w0']


def test_spread_is_not_freed_by_stopping_the_runs_of_others():
    """Runs were stopped for a task that its own step kept off there."""
    bench = make_bench(endpoints=1)
    resumable = support.step(2, cpu=2200, estimate=60.0, checkpoints=True)
    bench.submit(SMALL, resumable)
    started(bench)
    wide = support.step(
        2, cpu=3500, spread=1, estimate=10.0, long_running=True
    )
    submit_large(bench, wide)
    bench.confirm(bench.plan())
    for _ in range(3):
        bench.now += 0.5
        bench.plan()
    assert bench.stops() == []


def delay(task):
    task.not_before = 1e9


def lose(task):
    losses = [state.UnexplainedLoss(n, f'x{n}', '', 1.0) for n in range(3)]
    task.unexplained = losses


@pytest.mark.parametrize('hold', [delay, lose])
def test_endpoints_are_not_reserved_for_tasks_that_may_not_start(hold):
    """They wait for news of a former run, not for capacity."""
    bench = make_bench()
    bench.submit('2' * 16, support.step(2, cpu=5000, estimate=20.0))
    assert len(started(bench, '2' * 16)) == 2
    job = submit_large(bench, support.step(2, cpu=8000, estimate=10.0))
    hold(job.steps()[0].tasks[1])
    submit_small(bench)
    assert started(bench)


def test_gang_does_not_keep_an_endpoint_idle_while_it_awaits_another():
    """Its members start together, so none can use the first one before."""
    bench = make_bench()
    bench.submit('2' * 16, support.step(1, cpu=8000, estimate=20.0))
    (busy,) = started(bench, '2' * 16)
    submit_large(bench, support.step(2, cpu=8000, estimate=5.0, gang=True))
    bench.plan()
    submit_small(bench, estimate=2.0)
    assert started(bench) not in ([], [busy])
    bench.submit('3' * 16, support.step(1, cpu=500, estimate=60.0))
    assert started(bench, '3' * 16) == []


def test_no_run_is_stopped_for_a_gang_that_starts_no_sooner_by_it():
    """It still waits for a run that can't be stopped."""
    bench = make_bench()
    bench.submit('2' * 16, support.step(1, cpu=8000, estimate=20.0))
    started(bench, '2' * 16)
    bench.submit(
        '3' * 16,
        support.step(1, cpu=8000, estimate=20.0, checkpoints=True),
    )
    started(bench, '3' * 16)
    submit_large(bench, support.step(2, cpu=8000, estimate=5.0, gang=True))
    bench.plan()
    assert bench.stops() == []


def test_step_for_one_rack_that_never_fits_reserves_nothing():
    """Its tasks are placed together or not at all, as those of a gang."""
    bench = make_bench()
    wide = support.step(3, cpu=8000, estimate=5.0, same_rack=True)
    submit_large(bench, wide)
    assert started(bench, LARGE) == []
    submit_small(bench)
    assert started(bench)


def test_endpoints_are_not_reserved_while_the_advice_service_is_away():
    """Nobody knows when the step gets tickets to start there."""
    advice = model.Advice(0.2, 0.01, 2.0)
    bench = make_bench(
        support.queue('large', priority=0, advice=advice),
        support.queue('small', priority=1),
        endpoints=1,
    )
    job = submit_large(bench, support.step(1, cpu=8000, estimate=10.0))
    step = job.steps()[0]
    step.eligible = {'w0'}
    step.tickets = {'w0': state.Ticket('t', bench.now + 0.3)}
    step.advice_pending = True
    bench.now += 0.5  # expired; a renewal may come soon
    submit_small(bench)
    assert started(bench) == []
    bench.now += 5.0
    assert started(bench) == ['w0']


def make_waiting_gang():
    """Return a bench where a gang has room on one endpoint of two."""
    bench = make_bench()
    bench.submit('2' * 16, support.step(1, cpu=8000, estimate=20.0))
    (busy,) = started(bench, '2' * 16)
    submit_large(bench, support.step(2, cpu=6000, estimate=5.0, gang=True))
    assert started(bench, LARGE) == []
    return bench, {'w0': 'w1', 'w1': 'w0'}[busy]


def test_task_that_fits_beside_a_reservation_is_not_kept_off():
    """The whole endpoint was reserved for a part of its capacity."""
    bench, free = make_waiting_gang()
    bench.submit(SMALL, support.step(1, cpu=1000, estimate=60.0))
    assert started(bench) == [free]


def test_reservation_is_not_used_up_by_tasks_that_fit_beside_it():
    bench, free = make_waiting_gang()
    bench.submit(SMALL, support.step(5, cpu=1000, estimate=60.0))
    assert started(bench) == [free] * 2
    for _ in range(3):
        bench.now += 0.1
        assert started(bench) == []


def test_headroom_is_not_reserved_for_a_step_that_may_not_use_it():
    """Steps of other resources, which may use it, were kept off."""
    bench = make_bench(
        support.queue('urgent', priority=0),
        support.queue('large', priority=1),
        support.queue('small', priority=2),
        endpoints=1,
        accelerators=1,
    )
    bench.engine.headroom = {}
    bench.plan()
    headroom = bench.engine.headroom[support.SERVICE]
    headroom.use, headroom.updated_at = 1e6, 1e9
    submit_large(bench, support.step(1, cpu=7000, estimate=10.0))
    bench.submit(
        SMALL, support.step(1, cpu=2000, accelerators=1, estimate=60.0)
    )
    assert started(bench) == ['w0']
