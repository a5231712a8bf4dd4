"""Test that allocations never exceed the capacity of an endpoint."""

import dataclasses

import pytest

from hibiscusslip.model import places
from hibiscusslip.model import work
from hibiscusslip.scheduler import base
from tests.scheduler import samples

DIMENSIONS = [f.name for f in dataclasses.fields(samples.amount())]


def decide_starts(sched, now=0.0):
    return [d for d in sched.decide(now) if isinstance(d, base.Start)]


@pytest.mark.parametrize('dimension', DIMENSIONS)
def test_each_dimension_bounds_what_starts(dimension):
    capacity = samples.amount(20, 20, 20, 20, 20)
    capacity = dataclasses.replace(capacity, **{dimension: 5})
    sched = samples.build(shares={'a': (1.0, 1.0)})
    for name in ('e0', 'e1'):
        info = samples.endpoint(name, capacity=capacity)
        sched.set_endpoint(info, 0.0)
    need = samples.amount(2, 2, 2, 2, 2)
    for i in range(9):
        sched.submit(samples.job(f'j{i}', demand=need), 0.0)
    assert len(decide_starts(sched)) == 4


def test_adopted_runs_may_exceed_capacity_and_block_new_starts():
    sched = samples.build()
    sched.set_endpoint(samples.endpoint('e0'), 0.0)
    big = samples.job('x', demand=samples.amount(9000))
    sched.adopt(big, 'x/0', 'e0', 0.0)
    sched.submit(samples.job('j', demand=samples.amount(0, 1)), 0.0)
    decisions = sched.decide(0.0)
    assert [type(d) for d in decisions] == [base.Preempt]
    assert decisions[0].method is base.ReclaimMethod.THROTTLE
    sched.ended('x/0', base.RunOutcome.SUCCEEDED, 1.0)
    assert [s.task for s in decide_starts(sched, 1.0)] == ['j/0']


def test_a_run_on_an_unknown_endpoint_is_counted_once_it_is_known():
    sched = samples.build()
    spec = samples.job('x', demand=samples.amount(8000))
    sched.adopt(spec, 'x/0', 'e0', 0.0)
    sched.set_endpoint(samples.endpoint('e0'), 0.0)
    sched.submit(samples.job('j'), 0.0)
    assert decide_starts(sched) == []


@pytest.mark.parametrize(
    'state', [places.EndpointState.LEAVING, places.EndpointState.GONE]
)
def test_nothing_starts_on_an_endpoint_that_is_leaving_or_gone(state):
    sched = samples.build()
    sched.set_endpoint(samples.endpoint('e0'), 0.0)
    sched.submit(samples.job('j'), 0.0)
    sched.set_endpoint(samples.endpoint('e0', state=state), 0.0)
    assert decide_starts(sched) == []


def test_services_spread_over_racks():
    sched = samples.build()
    samples.add_endpoints(sched, 6, per_rack=2)
    spec = samples.job('s', form=work.Form.SERVICE, tasks=3)
    sched.submit(spec, 0.0)
    racks = {int(s.endpoint[1:]) // 2 for s in decide_starts(sched)}
    assert racks == {0, 1, 2}


def test_learned_usage_raises_allocations_and_never_lowers_them():
    sched = samples.build(shares={'a': (1.0, 1.0)})
    sched.set_endpoint(samples.endpoint('e0'), 0.0)
    for i in range(5):
        sched.submit(samples.job(f'j{i}', workload='w'), 0.0)
    for start in decide_starts(sched):
        sched.observe(start.task, samples.amount(4000, 1), 0.0)
        sched.ended(start.task, base.RunOutcome.SUCCEEDED, 1.0)
    for i in range(4):
        sched.submit(samples.job(f'k{i}', workload='w'), 2.0)
    assert len(decide_starts(sched, 2.0)) == 2
    assert sched.summary(2.0).kinds[0].held.memory_mb == 2048


def test_capacity_beside_free_accelerators_stays_reserved():
    capacity = samples.amount(8000, 8192, 4, 4, 64)
    sched = samples.build(shares={'a': (0.5, 1.0), 'b': (0.5, 1.0)})
    sched.set_endpoint(samples.endpoint('e0', capacity=capacity), 0.0)
    one = samples.amount(1000, 512, 1)
    sched.submit(samples.job('r0', kind='b', demand=one), 0.0)
    assert len(decide_starts(sched)) == 1
    for i in range(4):
        sched.submit(samples.job(f'j{i}'), 1.0)
    assert decide_starts(sched, 1.0) == []
    for i in range(1, 4):
        sched.submit(samples.job(f'r{i}', kind='b', demand=one), 2.0)
    assert len(decide_starts(sched, 2.0)) == 3
