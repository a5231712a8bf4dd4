"""Check that nothing is done for tasks that the pool can never run."""

import pytest

from hibiscusslip.dispatch import _copy_planning
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from tests.dispatch import support

URGENT = '0' * 16
PATIENT = '1' * 16
OTHER = '2' * 16
ADVICE = model.Advice(0.2, 0.01, 2.0)
HOPELESS = {
    'large': {'cpu': 9000},
    'label': {'cpu': 2000, 'label': 'b'},
    'spread': {'cpu': 3000, 'spread': 1, 'long_running': True},
}


def make_bench(advice=None, endpoints=2, **fields):
    bench = support.Bench(
        support.queue('urgent', priority=0, advice=advice),
        support.queue('small', priority=1),
        **fields,
    )
    for number in range(endpoints):
        bench.endpoint(f'w{number}')
    return bench


def hopeless_step(kind):
    """Return a step of which at most the first two tasks can run."""
    return support.step(5, estimate=5.0, **HOPELESS[kind])


@pytest.mark.parametrize('kind', HOPELESS)
def test_no_run_is_stopped_for_an_urgent_step_that_can_never_start(kind):
    """Each task that checkpoints was stopped for it once."""
    bench = make_bench(policy=policies.Policy(urgent_preemption=True))
    bench.submit(URGENT, hopeless_step(kind), queue='urgent')
    bench.confirm(bench.plan())
    patient = support.step(16, estimate=60.0, checkpoints=True)
    bench.submit(PATIENT, patient)
    bench.engine.headroom = {}
    bench.confirm(bench.plan())
    for _ in range(5):
        bench.now += 0.2
        bench.plan()
    assert bench.stops() == []


@pytest.mark.parametrize('kind', HOPELESS)
def test_advice_is_not_asked_for_a_step_that_can_never_start(kind):
    """Its renewals took calls from steps that could."""
    bench = make_bench(ADVICE)
    bench.submit(URGENT, hopeless_step(kind), queue='urgent')
    for _ in range(3):
        bench.plan()
        requests, bench.engine.advice_requests = (
            bench.engine.advice_requests,
            [],
        )
        for request in requests:
            tickets = dict.fromkeys(request.endpoints, 't')
            bench.engine.handle_advice(
                request, tickets, bench.now + 2.0, bench.now
            )
        bench.now += 1.0
    bench.confirm(bench.plan())
    bench.engine.advice_requests = []
    bench.now += 20.0  # all tickets have expired
    bench.plan()
    assert bench.engine.advice_requests == []
    assert bench.events('step_hopeless')


def test_hopeless_step_asks_again_once_an_endpoint_is_large_enough():
    bench = make_bench(ADVICE)
    bench.submit(URGENT, hopeless_step('large'), queue='urgent')
    bench.plan()
    assert bench.engine.advice_requests == []
    bench.endpoint('w2', cpu=16000)
    bench.now += 0.5
    bench.plan()
    assert len(bench.engine.advice_requests) == 1


def test_step_is_not_hopeless_while_an_endpoint_is_silent():
    """It may be the one that has the label, and come back."""
    bench = make_bench(ADVICE)
    bench.endpoint('w2', labels=('b', 'r1'))
    bench.engine.mark_unresponsive('w2')
    bench.submit(URGENT, hopeless_step('label'), queue='urgent')
    bench.plan()
    assert not bench.events('step_hopeless')


def test_hopeless_step_keeps_no_reservation_from_a_step_beyond():
    """A step within its entitlement did, although it could use nothing."""
    bench = make_bench(endpoints=4)
    bench.submit(OTHER, support.step(4, cpu=5000, estimate=20.0))
    bench.confirm(bench.plan())
    bench.submit(URGENT, hopeless_step('large'), queue='urgent')
    large = bench.submit(
        PATIENT, support.step(4, cpu=8000, estimate=5.0), queue='urgent'
    )
    small = bench.submit('3' * 16, support.step(1, cpu=1000, estimate=60.0))
    large.within_entitlement = small.within_entitlement = False
    assert bench.plan() == []


def test_copies_are_not_kept_back_for_a_hopeless_step():
    bench = make_bench()
    job = bench.submit(URGENT, hopeless_step('large'), queue='urgent')
    bench.plan()
    budget = _copy_planning.Budget(
        bench.engine.pools()[support.SERVICE],
        bench.engine.candidates[support.SERVICE],
        job.steps(),
    )
    assert budget.admits(model.Demand(1000, 100))


def test_no_job_is_rejected_because_a_hopeless_step_waits():
    """The hosts were told that new jobs wait for it."""
    bench = make_bench()
    config = bench.engine.config
    organisations = {'a': model.Organisation('a')}
    bench.engine.config = model.Configuration(
        1, config.queues, config.services, 0, organisations
    )
    bench.submit(
        URGENT, support.step(9, cpu=9000, estimate=90.0), queue='urgent'
    )
    bench.plan()
    prediction = bench.engine.shares.forecast.predictions['small']
    assert prediction.within == 0
