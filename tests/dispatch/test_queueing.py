"""Check the order of steps, advice calls, reservations and stalled runs."""

import dataclasses

from hibiscusslip.dispatch import advice_sizing
from hibiscusslip.dispatch import estimates
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import ordering
from hibiscusslip.dispatch import state
from tests.dispatch import support

ADVICE = model.Advice(decision=0.02, per_endpoint=0.001, valid=2.0)
LONG_ADVICE = model.Advice(decision=0.6, per_endpoint=0.01, valid=2.0)


def rank_of(job_id, now, submitted=0.0, priority=0, estimate=1.0):
    spec = model.JobSpec('', (support.step(estimate=estimate),))
    job = state.Job(job_id, 'q', 's', spec, submitted)
    step = state.StepState(job, 0, 0, spec.steps[0])
    queue = support.queue(stretch=2.0, target_latency=1.0)
    estimator = estimates.Estimates()
    objective = estimator.objective(job, queue)
    return ordering.rank(step, objective, estimate, priority, now)


def test_rank_orders_by_priority_then_on_time_then_late_and_expired_last():
    on_time = rank_of('a', 0.0)
    late = rank_of('b', 4.0)
    expired = rank_of('c', 30.0)
    second = rank_of('d', 0.0, priority=1)
    assert sorted([expired, second, late, on_time]) == [
        on_time,
        late,
        second,
        expired,
    ]


def test_least_slack_goes_first():
    assert rank_of('a', 1.0, submitted=0.0) < rank_of('b', 1.0, submitted=0.5)


def test_objective_is_derived_from_the_critical_path():
    steps = (
        support.step(estimate=1.0),
        support.step(estimate=2.0, after=(0,)),
        support.step(estimate=5.0),
    )
    job = state.Job('j', 'q', 's', model.JobSpec('', steps), 10.0)
    estimator = estimates.Estimates()
    assert estimator.critical_path(job) == 5.0
    assert estimator.critical_path(job, 1) == 2.0
    objective = estimator.objective(
        job, support.queue(stretch=2.0, target_latency=1.0)
    )
    assert (objective.on_time_until, objective.useful_until) == (21.0, 43.0)


def test_run_times_are_learned_for_each_queue():
    estimator = estimates.Estimates()
    for _ in range(100):
        estimator.learn('q', 1.0, 2.0)
    spec = model.JobSpec('', (support.step(estimate=1.0),))
    step = state.StepState(
        state.Job('j', 'q', 's', spec, 0.0), 0, 0, spec.steps[0]
    )
    assert 1.9 < estimator.run_time(step) <= 2.0


def test_small_urgent_task_starts_before_long_ones():
    bench = support.Bench(
        support.queue('small', priority=0), support.queue('big', priority=2)
    )
    bench.submit('b', support.step(4, estimate=5.0), queue='big')
    bench.submit('s', support.step(2, estimate=0.5))
    bench.endpoint('e1', cpu=2000)
    assert {start.task.step.job.job_id for start in bench.plan()} == {'s'}


def test_headroom_is_kept_for_urgent_queues():
    bench = support.Bench(
        support.queue('small', priority=0), support.queue('big', priority=2)
    )
    bench.endpoint('e1', cpu=10000)
    for number in range(60):
        bench.submit(f's{number}', support.step(4, estimate=0.5))
        started = bench.plan()
        bench.confirm(started)
        bench.now += 0.25
        bench.plan()
        bench.now += 0.25
        for start in started:
            bench.end(start)
    bench.submit('b', support.step(20, estimate=5.0), queue='big')
    started = bench.plan()
    assert 5 <= len(started) < 10
    bench.submit('s', support.step(2, estimate=0.5))
    assert len(bench.plan()) == 2


def full_endpoint(bench, name):
    """List an endpoint that has room for a task once its run has ended."""
    endpoint = bench.endpoint(name, cpu=1000)
    run = state.Allocation(None, 1, model.Demand(500), bench.now)
    endpoint.allocate('other', run)
    return endpoint


def give_tickets(bench, names, valid=2.0):
    (request,) = bench.engine.advice_requests
    bench.engine.advice_requests = []
    tickets = {name: f't-{name}' for name in names}
    bench.engine.handle_advice(request, tickets, bench.now + valid, bench.now)
    return request


def test_start_carries_a_ticket_of_an_eligible_endpoint():
    bench = support.Bench(support.queue(advice=ADVICE))
    bench.endpoint('e1')
    bench.endpoint('e2')
    bench.submit('j', support.step())
    assert bench.plan() == []
    assert set(give_tickets(bench, ['e2']).endpoints) == {'e1', 'e2'}
    (start,) = bench.plan()
    assert (start.endpoint, start.ticket) == ('e2', 't-e2')


def test_eligible_endpoint_that_is_listed_again_is_asked_about_again():
    """A partitioned zone has its endpoints unlisted for some seconds."""
    bench = support.Bench(support.queue(advice=ADVICE))
    absent_entry = full_endpoint(bench, 'e1').entry
    bench.submit('j', support.step())
    bench.plan()
    give_tickets(bench, ['e1'])
    bench.engine.unregister_endpoint('e1', bench.now)
    bench.endpoint('e2')
    bench.now += 2.5
    bench.plan()
    assert give_tickets(bench, []).endpoints == ('e2',)
    bench.engine.register_endpoint(
        dataclasses.replace(absent_entry, seq=9), bench.now
    )
    bench.report('e1')
    bench.now += 2.0
    bench.plan()
    assert give_tickets(bench, ['e1']).endpoints == ('e1',)


def test_only_eligible_endpoints_are_asked_about_again():
    bench = support.Bench(support.queue(advice=ADVICE))
    full_endpoint(bench, 'e1')
    full_endpoint(bench, 'e2')
    bench.submit('j', support.step())
    bench.plan()
    give_tickets(bench, ['e2'])
    bench.plan()
    assert bench.engine.advice_requests == []
    bench.now += 1.9
    bench.plan()
    assert [request.endpoints for request in bench.engine.advice_requests] == [
        ('e2',)
    ]


def test_expired_ticket_is_never_sent():
    bench = support.Bench(support.queue(advice=ADVICE))
    bench.submit('j', support.step())
    full_endpoint(bench, 'e1')
    bench.plan()
    give_tickets(bench, ['e1'])
    bench.now += 1.9
    bench.endpoint('e1', cpu=2000, seq=2)
    assert bench.plan() == []


def test_refused_ticket_is_renewed():
    bench = support.Bench(support.queue(advice=ADVICE))
    bench.endpoint('e1')
    bench.submit('j', support.step())
    bench.plan()
    give_tickets(bench, ['e1'])
    (start,) = bench.plan()
    bench.engine.revert_start(start, 'ticket', bench.now)
    assert bench.plan() == []
    assert len(bench.engine.advice_requests) == 1


def test_tickets_are_requested_before_the_dependency_completes():
    bench = support.Bench(support.queue(advice=ADVICE))
    bench.endpoint('e1')
    bench.submit('j', support.step(estimate=1.0), support.step(after=(0,)))
    bench.plan()
    give_tickets(bench, ['e1'])
    bench.confirm(bench.plan())
    assert bench.engine.advice_requests == []
    bench.now += 0.9
    bench.plan()
    assert [request.step.name for request in bench.engine.advice_requests] == [
        'j.0.1'
    ]


def test_long_calls_leave_hosts_for_short_ones():
    bench = support.Bench(
        support.queue('wide', advice=LONG_ADVICE),
        support.queue('small', advice=ADVICE),
    )
    bench.engine.adviser_count = 4
    bench.endpoint('e1')
    for number in range(6):
        bench.submit(f'w{number}', support.step(), queue='wide')
    bench.submit('s', support.step())
    bench.plan()
    asked = [
        request.step.job.queue for request in bench.engine.advice_requests
    ]
    assert asked.count('wide') == 2
    assert asked.count('small') == 1


def gpu_bench():
    bench = support.Bench(
        support.queue('gang', priority=1, stretch=9.0),
        support.queue('single', priority=2, stretch=9.0),
    )
    bench.endpoint('e1', cpu=64000, memory=64000, accelerators=8)
    return bench


def gpu_step(count, **fields):
    return support.step(count, accelerators=1, estimate=4.0, **fields)


def test_endpoints_with_free_capacity_of_a_large_pool_are_asked_about():
    bench = support.Bench(support.queue(advice=ADVICE))
    full_count = advice_sizing.MAX_ENDPOINTS_PER_CALL
    for number in range(full_count):
        bench.endpoint(f'full{number}')
    bench.submit('first', support.step(full_count, cpu=8000))
    bench.plan()
    (request,) = bench.engine.advice_requests
    bench.engine.advice_requests = []
    tickets = dict.fromkeys(request.endpoints, 't')
    bench.engine.handle_advice(request, tickets, bench.now + 2.0, bench.now)
    assert len(bench.plan()) == full_count
    free = {f'free{number}' for number in range(20)}
    for name in free:
        bench.endpoint(name)
    bench.submit('second', support.step(20, cpu=8000))
    bench.plan()
    (request,) = bench.engine.advice_requests
    assert len(request.endpoints) <= advice_sizing.MAX_ENDPOINTS_PER_CALL
    assert set(request.endpoints[:20]) == free


def test_eligible_endpoints_of_a_large_pool_are_asked_about_again():
    bench = support.Bench(support.queue(advice=ADVICE))
    for number in range(2 * advice_sizing.MAX_ENDPOINTS_PER_CALL):
        full_endpoint(bench, f'e{number}')
    bench.submit('j', support.step(100))
    bench.plan()
    eligible = {f'e{number}' for number in range(60)}
    give_tickets(bench, sorted(eligible))
    for number in range(advice_sizing.MAX_ENDPOINTS_PER_CALL):
        bench.endpoint(f'later{number}', cpu=900)
    bench.now += 1.9
    bench.plan()
    (request,) = bench.engine.advice_requests
    assert eligible <= set(request.endpoints)
    assert len(request.endpoints) == advice_sizing.MAX_ENDPOINTS_PER_CALL


def test_capacity_is_reserved_for_a_gang_against_small_tasks():
    bench = gpu_bench()
    bench.submit('s', gpu_step(8), queue='single')
    first = bench.plan()
    bench.confirm(first)
    wide = support.step(1, accelerators=8, gang=True)
    bench.submit('g', wide, queue='gang')
    longer = support.step(4, accelerators=1, estimate=5.0)
    bench.submit('t', longer, queue='single')
    for start in first[:4]:
        bench.end(start)
    assert bench.plan() == []
    for start in first[4:]:
        bench.end(start)
    assert [s.task.step.job.job_id for s in bench.plan()] == ['g']


def test_short_tasks_use_the_reserved_capacity_meanwhile():
    bench = gpu_bench()
    bench.submit('s', gpu_step(8), queue='single')
    first = bench.plan()
    bench.confirm(first)
    bench.submit('g', support.step(1, accelerators=8, gang=True), queue='gang')
    short = support.step(1, accelerators=1, estimate=0.5)
    bench.submit('t', short, queue='single')
    bench.end(first[0])
    assert [s.task.step.job.job_id for s in bench.plan()] == ['t']


def test_checkpointing_tasks_are_preempted():
    bench = gpu_bench()
    bench.submit('s', gpu_step(8, checkpoints=True), queue='single')
    first = bench.plan()
    bench.confirm(first)
    bench.submit('g', support.step(1, accelerators=8, gang=True), queue='gang')
    bench.plan()
    assert len(bench.stops()) == 8
    for start in first:
        bench.end(start, 'stopped', checkpoint='c1')
    assert [s.task.step.job.job_id for s in bench.plan()] == ['g']


def test_tasks_that_would_lose_work_arent_preempted():
    bench = gpu_bench()
    bench.submit('s', gpu_step(8), queue='single')
    bench.confirm(bench.plan())
    bench.submit('g', support.step(1, accelerators=8, gang=True), queue='gang')
    bench.plan()
    assert bench.stops() == []


def test_stalled_run_is_stopped_and_its_endpoint_quarantined():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.submit('j', support.step(estimate=1.0))
    (start,) = bench.plan()
    bench.confirm([start])
    for _ in range(4):
        bench.now += 0.5
        bench.report('e1', running=[bench.running_run(start)])
    assert [(s.task, s.reason) for s in bench.stops()] == [
        (start.task.name, 'stands still')
    ]
    assert not bench.engine.endpoints['e1'].usable(bench.now)


def test_other_endpoint_is_preferred_to_a_slow_one():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.submit('j', support.step(estimate=1.0))
    (start,) = bench.plan()
    bench.confirm([start])
    bench.now += 8
    bench.end(start)
    bench.endpoint('e2', cpu=16000)
    bench.submit('k', support.step(estimate=1.0))
    assert [s.endpoint for s in bench.plan()] == ['e2']


def test_stall_limit_grows_for_a_task_that_stalls_everywhere():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.submit('j', support.step(estimate=1.0))
    stopped = []
    for _ in range(4):
        began = bench.now
        (start,) = bench.plan()
        bench.confirm([start])
        while not bench.stops():
            bench.now += 0.5
            bench.report('e1', running=[bench.running_run(start)])
        stopped.append(bench.now - began)
        bench.end(start, 'stopped')
        bench.now += 5
    assert all(b > 2 * a for a, b in zip(stopped, stopped[1:], strict=False))
