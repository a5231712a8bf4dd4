"""Check where work is placed once endpoints leave calls unanswered.

While a zone is partitioned, starts go on. The first unanswered calls must
keep work off the whole zone until its endpoints respond; otherwise tasks
would wait there for starts that nobody confirms.
"""

from tests.dispatch import support


def add_endpoints(bench):
    """Add three endpoints in zone a and one in zone b."""
    bench.endpoint('a1', cpu=4000, zone='a')
    bench.endpoint('a2', cpu=4000, zone='a')
    bench.endpoint('a3', cpu=4000, zone='a')
    bench.endpoint('b1', cpu=4000, zone='b')
    bench.now += 0.1


def endpoints_of_new_job(bench, count):
    bench.submit(f'j{bench.now}', support.step(count))
    return {start.endpoint for start in bench.plan()}


def leave_unanswered(bench, *names):
    sent = bench.now
    bench.now += 0.15
    for name in names:
        bench.engine.handle_no_response(name, sent, bench.now)


def test_endpoint_that_left_a_call_unanswered_gets_no_starts():
    bench = support.Bench()
    add_endpoints(bench)
    leave_unanswered(bench, 'a1')
    assert endpoints_of_new_job(bench, 16) == {'a2', 'a3', 'b1'}


def test_two_suspected_endpoints_make_their_zone_suspected():
    bench = support.Bench()
    add_endpoints(bench)
    leave_unanswered(bench, 'a1', 'a2')
    assert endpoints_of_new_job(bench, 16) == {'b1'}


def test_response_clears_the_suspicion_of_an_endpoint():
    bench = support.Bench()
    add_endpoints(bench)
    leave_unanswered(bench, 'a1', 'a2')
    bench.now += 0.05
    bench.engine.handle_response('a1', bench.now)
    bench.report('a3')
    assert endpoints_of_new_job(bench, 16) == {'a1', 'a3', 'b1'}


def test_endpoint_that_responded_after_the_call_was_sent_isnt_suspected():
    """It is reachable: only this call or its reply was lost."""
    bench = support.Bench()
    add_endpoints(bench)
    sent = bench.now
    bench.now += 0.1
    bench.report('a1')
    bench.now += 0.05
    bench.engine.handle_no_response('a1', sent, bench.now)
    assert 'a1' in endpoints_of_new_job(bench, 16)
    assert not bench.events('endpoint_doubted')


def test_other_endpoints_of_a_suspected_zone_are_used_again_later():
    """By then each of them has been called itself."""
    bench = support.Bench()
    add_endpoints(bench)
    leave_unanswered(bench, 'a1', 'a2')
    bench.now += 2.1
    assert endpoints_of_new_job(bench, 16) == {'a3', 'b1'}
