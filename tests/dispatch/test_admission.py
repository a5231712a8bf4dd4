"""Check predicted waits, rejections, and what is known of the senders."""

import dataclasses

from hibiscusslip.dispatch import admission
from hibiscusslip.dispatch import arrivals
from hibiscusslip.dispatch import model
from tests.dispatch import support
from tests.dispatch import test_shares

SPEC = model.JobSpec('', (support.step(estimate=1.0),))
QUEUE = support.queue('small', stretch=2.0, target_latency=1.0)
IDS = [f'{number:016x}' for number in range(400)]


def decide(job_id, within=0.0, beyond=0.0, percent=0, spec=SPEC):
    prediction = admission.Prediction(within, beyond)
    return admission.decide(job_id, spec, QUEUE, prediction, percent)


def test_job_is_rejected_once_it_would_be_of_no_use():
    """It is of use until 3 * (2 * 1 s + 1 s), and takes 1 s."""
    assert admission.useful_wait(SPEC, QUEUE) == 8.0
    assert decide(IDS[0], within=8.0) is None
    rejection = decide(IDS[0], within=8.1)
    assert rejection.within and rejection.useful_wait == 8.0


def test_jobs_without_a_deadline_are_never_rejected():
    step = support.step(long_running=True)
    lasting = model.JobSpec('', (step,))
    periodic = dataclasses.replace(SPEC, times=3, interval=60.0)
    assert decide(IDS[0], 500.0, 500.0, 95, lasting) is None
    assert decide(IDS[0], 500.0, 500.0, 95, periodic) is None


def test_share_of_the_jobs_of_a_sender_is_rejected_by_id():
    rejected = [i for i in IDS if decide(i, beyond=60.0, percent=70)]
    assert 0.6 * len(IDS) < len(rejected) < 0.8 * len(IDS)
    assert rejected == [i for i in IDS if decide(i, beyond=60.0, percent=70)]
    assert not any(decide(i, beyond=60.0) for i in IDS)


def test_retries_of_rejected_jobs_are_spread():
    times = {
        rejection.retry_after
        for i in IDS
        if (rejection := decide(i, beyond=20.0, percent=70))
    }
    assert times == set(range(1, 21))


def test_wait_counts_the_work_that_goes_first():
    bench = test_shares.Bench({'a': 1.0, 'b': 4.0})
    bench.endpoint('e1', cpu=2000)
    for number in range(9):
        bench.take(f'a{number}', 'a', support.step(estimate=4.0))
    bench.take('b0', 'b', support.step(estimate=6.0), queue='low')
    bench.plan()
    predictions = bench.engine.shares.forecast.predictions
    # One of `a` and the one of `b` run; 8 * 4 s wait beyond the entitlement.
    assert predictions['small'].within == 0.0
    assert predictions['low'].within == 0.0
    assert predictions['small'].beyond > 16.0
    assert predictions['low'].beyond == predictions['small'].beyond


def test_nothing_is_predicted_without_organisations():
    bench = support.Bench()
    bench.endpoint('e1', cpu=1000)
    for number in range(9):
        bench.submit(f'j{number}', support.step(estimate=60.0))
    bench.plan()
    assert bench.engine.shares.forecast.predictions == {}


def test_no_listed_endpoint_means_no_prediction():
    """A new owner that doesn't know the endpoints must not reject all."""
    bench = test_shares.Bench({'a': 1.0})
    bench.take('a0', 'a', support.step(estimate=60.0))
    bench.plan()
    prediction = bench.engine.shares.forecast.predictions['small']
    assert prediction == admission.Prediction()


def test_measured_surplus_stays_while_it_is_rejected():
    """Hosts would accept all again, as the owner sees accepted jobs only."""
    average = arrivals.Arrivals()
    percent, seen = 0, []
    sent = accepted = 0
    for number in range(3000):
        now = number / 60
        sent += 1
        if decide(f'{number:016x}', beyond=60.0, percent=percent):
            continue
        accepted += 1
        average.add_job('a', 100 / (100 - percent), now)
        percent = average.beyond_percents({'a': 10.0}, now).get('a', 0)
        seen.append(percent)
    assert min(seen[400:]) > 60
    assert 0.15 < accepted / sent < 0.4


def test_work_of_queues_is_forgotten_once_it_is_nothing():
    """Else each forecast would add up all queues that ever had a job."""
    average = arrivals.Arrivals()
    for number in range(100):
        average.add_work(f'q{number}', False, (4.0, 0.0), 40.0 * number)
    kept = average.work(4000.0)
    assert ('q99', False) in kept and ('q7', False) in kept
    assert all(cores > 0.0 for cores, _ in kept.values())
    assert ('q6', False) not in kept
    average.add_work('q6', False, (4.0, 0.0), 4000.0)
    assert average.work(4000.0) == kept | {('q6', False): (0.8, 0.0)}


def test_sender_at_its_rate_is_rarely_reported():
    average = arrivals.Arrivals()
    for number in range(300):
        average.add_job('a', 1.0, number / 10)
        assert average.beyond_percents({'a': 10.0}, number / 10) == {}


def test_heartbeat_names_a_bounded_number_of_organisations():
    average = arrivals.Arrivals()
    names = [f'o{number}' for number in range(260)]
    for name in names:
        for _ in range(60):
            average.add_job(name, 1.0, 1.0)
    weights = dict.fromkeys(names, 1.0)
    reported = average.beyond_percents(weights, 1.0)
    assert len(reported) == arrivals.MAX_REPORTED
