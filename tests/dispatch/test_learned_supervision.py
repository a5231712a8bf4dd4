"""Check the supervision of runs by learned run times and speeds."""

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import progress
from hibiscusslip.dispatch import run_times
from tests.dispatch import support

OFF = policies.Policy()
BOTH = policies.Policy(learned_run_times=True, endpoint_speeds=True)


def make_bench(policy, run_time=4.0, slow=0.5):
    """Return a cell with a slow endpoint whose run times are known well."""
    queues = (
        support.queue(stretch=9.0),
        support.queue('urgent', priority=0),
        support.queue('fresh', priority=1),
    )
    bench = support.Bench(*queues, policy=policy)
    estimates = bench.engine.estimates
    for number in range(60):
        for queue in ('small', 'urgent'):
            work = run_times.Work(queue, '', '', 1.0)
            estimates.run_times.learn(work, run_time, str(number), bench.now)
        for name in ('e0', 'e1', 'e2'):
            ratio = 1 / slow if name == 'e0' else 1.0
            estimates.speeds.learn(
                name, support.SERVICE, 'a', ratio, str(number), bench.now
            )
    estimates.speeds.refresh(bench.now)
    return bench


def start_on(bench, name, **fields):
    bench.endpoint(name, cpu=1000)
    bench.submit('j', support.step(**fields))
    (start,) = bench.plan()
    bench.confirm([start])
    return start


def watch(bench, start, elapsed, percent):
    """Report a run's progress once a tenth of a second up to a time."""
    began = bench.now
    while bench.now < began + elapsed:
        bench.now += 0.1
        row = model.RunningRun(
            start.task.name, start.run, '', percent(bench.now - began), 0.0
        )
        bench.report(start.endpoint, running=[row])


def test_slow_endpoint_is_judged_against_its_own_speed():
    """Its runs take 8 s, as always, while the declared time is 1 s."""
    slow = {}
    for policy in (OFF, BOTH):
        bench = make_bench(policy)
        start = start_on(bench, 'e0')
        watch(bench, start, 4.0, lambda elapsed: int(elapsed / 8.0 * 100))
        endpoint = bench.engine.endpoints['e0']
        slow[policy] = progress.is_slow(endpoint, bench.now)
    assert slow == {OFF: True, BOTH: False}


def test_endpoint_that_gets_slower_than_its_own_speed_is_detected():
    bench = make_bench(BOTH)
    start = start_on(bench, 'e1')
    watch(bench, start, 5.0, lambda elapsed: int(elapsed / 16.0 * 100))
    assert progress.is_slow(bench.engine.endpoints['e1'], bench.now)


def test_slow_progress_on_a_slow_endpoint_is_no_stall():
    """The percentage changes every 2 s there, which a fast one wouldn't do."""
    stalls = {}
    for policy in (OFF, BOTH):
        bench = make_bench(policy)
        start = start_on(bench, 'e0')
        watch(bench, start, 6.0, lambda elapsed: int(elapsed / 2.0) + 1)
        stalls[policy] = len(bench.events('run_stands_still'))
    assert stalls[OFF] > 0 and stalls[BOTH] == 0


def test_run_that_stands_still_is_stopped_on_a_slow_endpoint_too():
    bench = make_bench(BOTH)
    start = start_on(bench, 'e0')
    watch(bench, start, 6.0, lambda elapsed: 10)
    assert len(bench.events('run_stands_still')) > 0


def test_draining_endpoint_moves_a_run_that_takes_long_there():
    """4 s at ordinary speed are 8 s there; the declared time is 1 s."""
    moved = {}
    for policy in (OFF, BOTH):
        bench = make_bench(policy)
        start_on(bench, 'e0', checkpoints=True)
        bench.now += 4.5
        item = support.entry('e0', cpu=1000, draining=True, seq=2)
        bench.engine.register_endpoint(item, bench.now)
        bench.plan()
        moved[policy] = len(bench.stops())
    assert moved == {OFF: 0, BOTH: 1}


def reserved_bench(policy):
    """Return a cell in which a large step waits for two endpoints.

    The run on one of them takes longer than declared.
    """
    bench = make_bench(policy, run_time=4.0)
    for name in ('e1', 'e2'):
        bench.endpoint(name, cpu=8000)
    bench.submit('first', support.step(cpu=6000, estimate=1.0))
    bench.confirm(bench.plan())
    bench.submit('gang', support.step(2, cpu=8000, gang=True, estimate=1.0))
    bench.now += 0.1
    return bench


def test_short_task_starts_on_a_reserved_endpoint_until_its_run_ends():
    """The run that the gang waits for has 3.9 s left, not 0.9 s."""
    started = {}
    for policy in (OFF, BOTH):
        bench = reserved_bench(policy)
        step = support.step(2, cpu=1000, estimate=2.0)
        bench.submit('fill', step, queue='fresh')
        started[policy] = len(bench.plan())
    assert started == {OFF: 0, BOTH: 2}


def test_run_past_its_high_quantile_isnt_expected_to_end_at_once():
    bench = make_bench(BOTH)
    start = start_on(bench, 'e1')
    endpoint = bench.engine.endpoints['e1']
    began = bench.now
    ends = [
        bench.engine.estimates.expected_end(start.task, endpoint, began, now)
        for now in (began, began + 4.0, began + 20.0)
    ]
    assert 3.5 < ends[0] - began < 4.5
    assert ends[2] - began > 25.0


def test_slack_follows_from_learned_run_times():
    """A step of 4 s that declares 1 s has to start before one of 1 s."""
    bench = make_bench(BOTH)
    bench.engine.config = support.config(
        support.queue(stretch=2.0), support.queue('other', stretch=2.0)
    )
    lengths = [
        bench.engine.estimates.critical_path(
            bench.submit(name, support.step(), queue=name)
        )
        for name in ('small', 'other')
    ]
    assert 3.5 < lengths[0] < 4.5
    assert lengths[1] == 1.0
