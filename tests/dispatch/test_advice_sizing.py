"""Check about how many endpoints the advice service is asked."""

from hibiscusslip.dispatch import advice_sizing
from hibiscusslip.dispatch import model
from tests.dispatch import support

# Of the grown deployment whose calls take longest: 0.56 s and 8 ms for each
# endpoint.
ADVICE = model.Advice(0.559, 0.00806, 2.0)


def make_bench(endpoints, **fields):
    bench = support.Bench(support.queue(advice=ADVICE, **fields))
    bench.engine.adviser_count = 8
    for number in range(endpoints):
        zone = f'z{number % 3}'
        bench.endpoint(f'e{number}', cpu=64000, memory=128000, zone=zone)
    return bench


def next_request(bench):
    bench.plan()
    (request,) = bench.engine.advice_requests
    bench.engine.advice_requests = []
    return request


def reply(bench, request, eligible, valid=2.0):
    tickets = {name: 't' for name in request.endpoints if name in eligible}
    bench.engine.handle_advice(request, tickets, bench.now + valid, bench.now)


def test_small_step_doesnt_ask_about_a_hundred_endpoints():
    bench = make_bench(150)
    bench.submit('j', support.step(2, cpu=6000))
    assert len(next_request(bench).endpoints) <= 20


def test_endpoints_of_one_zone_are_asked_about_if_they_suffice():
    bench = make_bench(150)
    bench.submit('j', support.step(20, cpu=18000, gang=True))
    request = next_request(bench)
    zones = {
        bench.engine.endpoints[name].entry.zone for name in request.endpoints
    }
    assert len(zones) == 1


def test_failed_task_asks_about_a_few_eligible_endpoints():
    bench = make_bench(150)
    bench.submit('j', support.step(25, cpu=7000))
    request = next_request(bench)
    eligible = set(request.endpoints[::2])
    reply(bench, request, eligible)
    starts = bench.plan()
    bench.confirm(starts)
    bench.now += 2.5
    bench.end(starts[0], 'failed')
    bench.now += 1.0
    again = next_request(bench)
    assert set(again.endpoints) & eligible
    assert len(again.endpoints) < len(request.endpoints)


def test_more_endpoints_are_asked_about_if_the_eligible_ones_are_full():
    """Tickets of the first call are kept, so both sets can be used."""
    bench = make_bench(60)
    bench.submit('j', support.step(9, cpu=30000))
    request = next_request(bench)
    few = set(request.endpoints[:2])
    reply(bench, request, few)
    assert len(bench.plan()) == 4
    bench.now += 0.3
    wider = next_request(bench)
    assert not set(wider.endpoints) & (set(request.endpoints) - few)
    reply(bench, wider, set(wider.endpoints))
    assert len(bench.plan()) == 5


def test_waiting_step_on_a_full_pool_renews_its_tickets_only_in_time():
    bench = make_bench(6)
    bench.submit('full', support.step(6, cpu=64000, estimate=60.0))
    request = next_request(bench)
    reply(bench, request, set(request.endpoints))
    assert len(bench.plan()) == 6
    bench.submit('j', support.step(2, cpu=64000))
    request = next_request(bench)
    reply(bench, request, set(request.endpoints))
    for _ in range(9):
        bench.now += 0.1
        bench.plan()
    assert bench.engine.advice_requests == []
    bench.now += 0.9
    bench.plan()
    assert len(bench.engine.advice_requests) == 1


def test_gang_asks_for_nothing_while_a_member_may_still_run_elsewhere():
    """Seen on the grown site: a call each 1.1 s for 20 s."""
    bench = make_bench(6)
    bench.submit('j', support.step(2, cpu=64000, gang=True))
    request = next_request(bench)
    reply(bench, request, set(request.endpoints))
    first, second = bench.plan()
    bench.confirm([first, second])
    bench.engine.mark_unresponsive(second.endpoint)
    bench.end(first, 'broken')
    bench.now += 2.0
    bench.plan()
    assert bench.engine.advice_requests == []


def test_share_of_eligible_endpoints_is_learned():
    share = advice_sizing.EligibleShare()
    before = share.share
    for _ in range(20):
        share.learn(100, 30)
    assert 0.29 < share.share < 0.35 < before


def test_gang_that_needs_the_whole_pool_asks_about_as_many_as_allowed():
    bench = make_bench(150)
    bench.submit('j', support.step(150, cpu=64000, gang=True))
    request = next_request(bench)
    assert len(request.endpoints) == advice_sizing.MAX_ENDPOINTS_PER_CALL
