"""Check where work goes once endpoints leave calls without an answer.

The pattern: a zone is cut off while starts go on. The first calls that stay
unanswered keep work away from the whole zone until its endpoints answer.
"""

from tests.dispatch import support


def cell(bench):
    """Make two endpoints in one zone, and a smaller one in another."""
    bench.endpoint('a1', cpu=4000, zone='a')
    bench.endpoint('a2', cpu=4000, zone='a')
    bench.endpoint('a3', cpu=4000, zone='a')
    bench.endpoint('b1', cpu=4000, zone='b')
    bench.now += 0.1


def placed(bench, count):
    bench.submit(f'j{bench.now}', support.step(count))
    return {start.endpoint for start in bench.plan()}


def leave_unanswered(bench, *names):
    sent = bench.now
    bench.now += 0.15
    for name in names:
        bench.engine.handle_no_response(name, sent, bench.now)


def test_endpoint_that_left_a_call_unanswered_gets_nothing_new():
    bench = support.Bench()
    cell(bench)
    leave_unanswered(bench, 'a1')
    assert placed(bench, 16) == {'a2', 'a3', 'b1'}


def test_two_doubted_endpoints_speak_for_their_zone():
    bench = support.Bench()
    cell(bench)
    leave_unanswered(bench, 'a1', 'a2')
    assert placed(bench, 16) == {'b1'}


def test_an_answer_ends_the_doubt_about_an_endpoint():
    bench = support.Bench()
    cell(bench)
    leave_unanswered(bench, 'a1', 'a2')
    bench.now += 0.05
    bench.engine.handle_response('a1', bench.now)
    bench.report('a3')
    assert placed(bench, 16) == {'a1', 'a3', 'b1'}


def test_an_answer_after_the_call_was_sent_raises_no_doubt():
    """One order without an answer is no silence."""
    bench = support.Bench()
    cell(bench)
    sent = bench.now
    bench.now += 0.1
    bench.report('a1')
    bench.now += 0.05
    bench.engine.handle_no_response('a1', sent, bench.now)
    assert 'a1' in placed(bench, 16)
    assert not bench.events('endpoint_doubted')


def test_others_of_the_zone_are_used_again_after_a_while():
    """By then each of them was called itself."""
    bench = support.Bench()
    cell(bench)
    leave_unanswered(bench, 'a1', 'a2')
    bench.now += 2.1
    assert placed(bench, 16) == {'a3', 'b1'}
