"""Check where tasks go if the speeds of endpoints are considered."""

from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import preferences
from tests.dispatch import support

SPEEDS = policies.Policy(endpoint_speeds=True)


def make_bench(
    speeds, stretch=2.0, policy=SPEEDS, sizes=None, zones=None, advice=None
):
    """Return a cell that knows its endpoints' speeds well."""
    queue = support.queue(stretch=stretch, target_latency=0.25, advice=advice)
    bench = support.Bench(queue, policy=policy)
    for name, speed in speeds.items():
        cpu = (sizes or {}).get(name, 8000)
        zone = (zones or {}).get(name, 'z1')
        bench.endpoint(name, cpu=cpu, zone=zone)
        for number in range(24):
            bench.engine.estimates.speeds.learn(
                name, support.SERVICE, 'a', 1 / speed, str(number), bench.now
            )
    return bench


def endpoints(starts):
    return {start.endpoint for start in starts}


UNEVEN = {'e0': 1.0, 'e1': 0.55, 'e2': 1.0, 'e3': 1.4, 'e4': 1.0}


def test_step_with_short_slack_goes_to_the_fastest_endpoint():
    bench = make_bench(UNEVEN, stretch=1.2)
    bench.submit('j', support.step(2, estimate=2.0))
    assert endpoints(bench.plan()) == {'e3'}


def test_patient_step_leaves_the_fast_endpoints_to_others():
    bench = make_bench(UNEVEN, stretch=6.0)
    bench.submit('j', support.step(2, estimate=2.0))
    assert endpoints(bench.plan()) == {'e1'}


def test_step_avoids_endpoints_on_which_it_would_be_late():
    """Even if they are the only ones that fit all its tasks."""
    bench = make_bench(
        {'e0': 0.5, 'e1': 1.0, 'e2': 1.0, 'e3': 1.0},
        stretch=1.5,
        sizes={'e1': 2000, 'e2': 2000, 'e3': 2000},
    )
    bench.submit('j', support.step(4, estimate=4.0))
    assert 'e0' not in endpoints(bench.plan())


def test_late_step_still_uses_slow_endpoints_if_there_are_no_others():
    bench = make_bench({'e0': 0.5, 'e1': 1.0, 'e2': 1.0}, stretch=1.2)
    bench.submit('j', support.step(20, estimate=4.0))
    assert len(endpoints(bench.plan())) == 3


def test_gang_is_placed_on_members_of_equal_speed():
    bench = make_bench(
        {'e0': 1.0, 'e1': 0.55, 'e2': 0.55, 'e3': 1.0, 'e4': 1.0},
        stretch=9.0,
        sizes={'e1': 3000, 'e2': 6000, 'e0': 2000, 'e3': 6000, 'e4': 6000},
    )
    bench.submit('j', support.step(8, gang=True))
    starts = bench.plan()
    assert len(starts) == 8
    assert endpoints(starts) in ({'e1', 'e2'}, {'e3', 'e4'})


def test_gang_stays_in_one_zone_rather_than_on_equal_members():
    zones = {'e0': 'a', 'e1': 'a', 'e2': 'b', 'e3': 'c', 'e4': 'd'}
    bench = make_bench(
        {'e0': 0.55, 'e1': 1.0, 'e2': 1.0, 'e3': 1.0, 'e4': 1.0},
        stretch=9.0,
        zones=zones,
        sizes={name: 4000 for name in zones},
    )
    bench.submit('j', support.step(8, gang=True))
    assert endpoints(bench.plan()) == {'e0', 'e1'}


def test_tasks_of_a_job_stay_on_few_endpoints():
    bench = make_bench(
        UNEVEN, stretch=2.0, sizes={'e3': 1000, 'e0': 1000, 'e2': 1000}
    )
    bench.submit('j', support.step(4, estimate=4.0))
    assert endpoints(bench.plan()) == {'e4'}


def test_small_tasks_leave_room_for_large_ones():
    """A large task is active, so the whole endpoint is kept for the next."""
    speeds = {'big': 1.0, 'busy': 1.0, 'small': 1.0}
    sizes = {'big': 8000, 'busy': 8000, 'small': 9000}
    bench = make_bench(speeds, sizes=sizes)
    bench.submit('large', support.step(cpu=7000))
    (start,) = bench.plan()
    other = {'big', 'busy'} - {start.endpoint}
    bench.submit('j', support.step(2, cpu=1000))
    assert endpoints(bench.plan()) != other


def asked_about(bench):
    """Return the endpoints that the advice service is asked about first."""
    bench.engine.adviser_count = 8
    bench.submit('j', support.step(4, cpu=4000, estimate=2.0))
    bench.plan()
    (request,) = bench.engine.advice_requests
    return request.endpoints


def test_advice_is_asked_first_about_the_speed_that_suits_the_step():
    """Otherwise only few of the endpoints that may be used suit it."""
    speeds = {f'e{n}': (1.0, 0.5, 1.5)[n % 3] for n in range(60)}
    advice = model.Advice(0.02, 0.01, 2.0)
    urgent = asked_about(make_bench(speeds, 1.2, advice=advice))
    assert {speeds[name] for name in urgent} == {1.5}
    patient = asked_about(make_bench(speeds, 9.0, advice=advice))
    assert {speeds[name] for name in patient} == {0.5}


def test_advice_is_asked_by_capacity_only_without_speeds():
    speeds = {f'e{n}': (1.0, 0.5, 1.5)[n % 3] for n in range(60)}
    advice = model.Advice(0.02, 0.01, 2.0)
    off = policies.Policy()
    names = asked_about(make_bench(speeds, 1.2, off, advice=advice))
    assert names == tuple(speeds)[: len(names)]


def test_equal_endpoints_are_chosen_as_without_speeds():
    speeds = {f'e{number}': 1.0 for number in range(4)}
    chosen = []
    for policy in (policies.Policy(), SPEEDS):
        bench = make_bench(speeds, policy=policy)
        for number in range(4):
            bench.submit(f'j{number}', support.step(3, cpu=1500))
        starts = bench.plan()
        chosen.append([(s.task.name, s.endpoint) for s in starts])
    assert chosen[0] == chosen[1]


def test_uncertain_speeds_are_relied_on_little():
    """After one slow run an endpoint still counts as of ordinary speed."""
    bench = make_bench({'e0': 1.0, 'e1': 1.0, 'e2': 1.0})
    bench.endpoint('new')
    bench.engine.estimates.speeds.learn(
        'new', support.SERVICE, 'a', 2.0, 's', bench.now
    )
    bench.plan()
    factor = bench.engine.estimates.speed_factor(bench.engine.endpoints['new'])
    assert 0.8 < factor < 1.0


def test_room_is_used_up_only_where_a_large_task_still_fits():
    preference = preferences.Preference(room=model.Demand(6000, 100, 0))
    task = model.Demand(2000, 10, 0)
    for cpu, expected in ((5000, False), (7000, True), (9000, False)):
        left = candidate_pool.RemainingCapacity(cpu, 1000, 0)
        assert preference.uses_up_room(left, task, 1) is expected, cpu


def test_speeds_count_no_more_once_they_are_off():
    """Guards against candidates that keep their speeds between passes."""
    bench = make_bench(UNEVEN)
    bench.plan()
    bench.engine.configure(bench.engine.config, policies.Policy())
    bench.plan()
    candidates = bench.engine.candidates[support.SERVICE]
    assert {candidate.speed for candidate in candidates.all} == {1.0}
    assert {candidate.speed_band for candidate in candidates.all} == {0}
