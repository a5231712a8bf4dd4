"""Check that no task runs twice when endpoints or orders are in doubt."""

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state
from tests.dispatch import support


def placed(bench):
    bench.endpoint('e1', cpu=1000)
    bench.submit('j', support.step())
    (start,) = bench.plan()
    bench.endpoint('e2', cpu=1000)
    return start


def hold(bench, seconds):
    """Give a lease that ends in so many seconds on the endpoint's clock."""
    endpoint = bench.engine.endpoints['e1']
    endpoint.granted = endpoint.clock_now(bench.now) + seconds


def test_silent_endpoint_keeps_its_runs_until_the_lease_is_surely_over():
    bench = support.Bench()
    start = placed(bench)
    bench.confirm([start])
    hold(bench, 5.0)
    bench.engine.mark_unresponsive('e1')
    began = bench.now
    bench.now = began + 5.1  # over by a true clock, not by a slow one
    assert bench.plan() == []
    bench.now = began + 5.5
    assert [s.endpoint for s in bench.plan()] == ['e2']


def test_unanswered_start_isnt_given_to_another_endpoint():
    bench = support.Bench()
    start = placed(bench)
    bench.now += 0.5
    bench.report('e1', sent=bench.now - 0.1)
    assert bench.plan() == []
    assert start.task.status is state.Status.STARTING


def test_unanswered_start_is_void_after_its_deadline():
    bench = support.Bench()
    start = placed(bench)
    bench.now = bench.now + (start.deadline - bench.now) + 0.1
    bench.report('e1')
    assert bench.events('run_lost')[0]['reason'] == 'not listed'
    assert [s.run for s in bench.plan()] == [2]


def test_unanswered_start_that_is_listed_counts_as_started():
    bench = support.Bench()
    start = placed(bench)
    bench.report('e1', running=[bench.run_of(start)])
    assert start.task.status is state.Status.RUNNING


def test_look_sent_before_the_answer_says_nothing_of_the_start():
    bench = support.Bench()
    start = placed(bench)
    sent = bench.now
    bench.now += 0.01
    bench.confirm([start])
    bench.now += 0.01
    bench.report('e1', sent=sent)
    assert start.task.status is state.Status.RUNNING


def test_confirmed_run_that_isnt_listed_later_is_lost():
    bench = support.Bench()
    start = placed(bench)
    bench.confirm([start])
    bench.now += 0.1
    bench.report('e1')
    assert bench.events('run_lost')


def test_restarted_endpoint_has_lost_its_runs():
    bench = support.Bench()
    start = placed(bench)
    bench.confirm([start])
    bench.report('e1', born=2.0)
    assert [s.run for s in bench.plan()] == [2]


def test_record_of_a_life_before_acknowledges_no_end_of_the_next():
    """A record is on its way to the store while the endpoint restarts.

    Its ends are numbered anew: to acknowledge up to the old number would
    have it forget ends that were never seen.
    """
    bench = support.Bench()
    start = placed(bench)
    bench.confirm([start])
    bench.end(start, 'failed')
    on_its_way = bench.engine.handled()
    bench.report('e1', born=2.0)
    bench.engine.committed({}, on_its_way)
    assert bench.engine.endpoints['e1'].acknowledged == 0


def test_order_on_its_way_to_a_restarted_endpoint_is_waited_for():
    bench = support.Bench()
    start = placed(bench)  # never answered: it may come 12 s later
    bench.now += 0.2
    bench.report('e1', born=2.0)
    assert bench.plan() == []
    bench.now += 12.5
    bench.report('e1', born=2.0)
    assert [s.task for s in bench.plan()] == [start.task]


def test_run_of_a_waiting_task_is_adopted_and_not_started_again():
    bench = support.Bench()
    endpoint = bench.endpoint('e1')
    job = bench.submit('j', support.step())
    unrecorded = model.RunningRun('j.0.0.0', 7, '', 10, 0.0)
    bench.report('e1', running=[unrecorded])
    assert bench.plan() == []
    assert bench.stops() == []
    assert endpoint.used.cpu == 1000
    (task,) = job.occurrences[0][0].tasks
    assert (task.status, task.run) == (state.Status.RUNNING, 7)
    done = model.EndedRun(1, 'j.0.0.0', 7, model.RunOutcome.DONE, '')
    bench.report('e1', ended=[done])
    assert job.state is model.JobState.COMPLETED


def test_run_that_isnt_expected_is_booked_and_stopped():
    bench = support.Bench()
    endpoint = bench.endpoint('e1', cpu=1000)
    bench.submit('j', support.step())
    bench.engine.cancel('j', bench.now)
    bench.submit('k', support.step())
    stray = model.RunningRun('j.0.0.0', 7, '', 10, 0.0)
    bench.report('e1', running=[stray])
    assert [(s.task, s.run) for s in bench.stops()] == [('j.0.0.0', 7)]
    assert endpoint.used.cpu == 1000
    assert bench.plan() == []


def test_run_beside_the_one_that_is_expected_is_stopped():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.endpoint('e2')
    bench.submit('j', support.step())
    (start,) = bench.plan()
    bench.confirm([start])
    other = {'e1': 'e2', 'e2': 'e1'}[start.endpoint]
    late = model.RunningRun('j.0.0.0', 9, '', 10, 0.0)
    bench.report(other, running=[late])
    assert [(s.endpoint, s.run) for s in bench.stops()] == [(other, 9)]


def test_late_done_of_an_earlier_run_is_kept_and_the_other_stopped():
    bench = support.Bench()
    start = placed(bench)
    bench.confirm([start])
    hold(bench, 1.0)
    bench.engine.mark_unresponsive('e1')
    bench.now += 2
    (again,) = bench.plan()
    bench.confirm([again])
    bench.end(start)
    assert bench.engine.jobs['j'].state is model.JobState.COMPLETED
    assert [(s.task, s.run) for s in bench.stops()] == [('j.0.0.0', 2)]


def test_replaced_endpoint_has_lost_its_runs_at_once():
    bench = support.Bench()
    start = placed(bench)
    bench.confirm([start])
    bench.engine.handle_replacement('e1', bench.now)
    assert [s.endpoint for s in bench.plan()] == ['e2']


def test_refused_start_is_tried_again_with_a_new_run_number():
    bench = support.Bench()
    start = placed(bench)
    bench.engine.not_started(start, 'old', bench.now)
    assert [s.run for s in bench.plan()] == [2]


def test_refused_member_stops_the_rest_of_its_gang():
    bench = support.Bench()
    bench.endpoint('e1', cpu=1000)
    bench.endpoint('e2', cpu=1000)
    bench.submit('j', support.step(2, gang=True))
    first, second = bench.plan()
    bench.confirm([first])
    bench.engine.not_started(second, 'ticket', bench.now)
    assert [s.task for s in bench.stops()] == [first.task.name]
    assert bench.plan() == []
    bench.end(first, 'stopped')
    assert {s.run for s in bench.plan()} == {2}


def gang_of_two(bench):
    bench.endpoint('e1', cpu=1000)
    bench.endpoint('e2', cpu=1000)
    bench.submit('j', support.step(2, gang=True))
    return bench.plan()


def test_member_that_never_ran_stops_the_rest_of_its_gang():
    bench = support.Bench()
    first, second = gang_of_two(bench)
    bench.confirm([first])  # the other start is never answered
    bench.now += second.deadline - bench.now + 0.1
    bench.report(second.endpoint)
    assert [s.task for s in bench.stops()] == [first.task.name]
    bench.end(first, 'stopped')
    assert {s.run for s in bench.plan()} == {2}


def test_member_lost_with_its_endpoint_stops_the_rest_of_its_gang():
    bench = support.Bench()
    first, second = gang_of_two(bench)
    bench.confirm([first, second])
    bench.report(second.endpoint, born=2.0)
    assert [s.task for s in bench.stops()] == [first.task.name]


def test_endpoint_is_unusable_while_it_doesnt_answer():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.engine.mark_unresponsive('e1')
    bench.submit('j', support.step())
    assert bench.plan() == []
    bench.report('e1')
    assert len(bench.plan()) == 1


def test_unlisted_endpoint_gets_nothing_new_and_is_still_held():
    bench = support.Bench()
    start = placed(bench)
    bench.confirm([start])
    bench.engine.unregister_endpoint('e1', bench.now)
    assert 'e1' in bench.engine.endpoints
    assert bench.plan() == []
    assert start.task.status is state.Status.RUNNING
