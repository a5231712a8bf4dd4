"""Check that no task runs twice when the outcome of a start is unknown.

The outcome is unknown while a start isn't confirmed, or its endpoint doesn't
respond or has restarted.
"""

import curio

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import state
from hibiscusslip.host import recovery
from tests.dispatch import support
from tests.host import fakes


def start_on_e1(bench):
    bench.endpoint('e1', cpu=1000)
    bench.submit('j', support.step())
    (start,) = bench.plan()
    bench.endpoint('e2', cpu=1000)
    return start


def grant_lease(bench, seconds):
    """Grant e1 a lease of so many seconds on the endpoint's clock."""
    endpoint = bench.engine.endpoints['e1']
    endpoint.leased_until = endpoint.clock_now(bench.now) + seconds


def test_unresponsive_endpoint_keeps_its_runs_until_the_lease_has_expired():
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.confirm([start])
    grant_lease(bench, 5.0)
    bench.engine.mark_unresponsive('e1')
    began = bench.now
    bench.now = began + 5.1  # expired by an exact clock, but not by a slow one
    assert bench.plan() == []
    bench.now = began + 5.5
    assert [s.endpoint for s in bench.plan()] == ['e2']


def test_unconfirmed_start_isnt_sent_to_another_endpoint():
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.now += 0.5
    bench.report('e1', sent=bench.now - 0.1)
    assert bench.plan() == []
    assert start.task.status is state.Status.STARTING


def test_unconfirmed_start_expires_at_its_deadline():
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.now = bench.now + (start.deadline - bench.now) + 0.1
    bench.report('e1')
    assert bench.events('run_lost')[0]['reason'] == 'not listed'
    assert [s.run for s in bench.plan()] == [2]


def test_unconfirmed_start_that_is_reported_counts_as_started():
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.report('e1', running=[bench.running_run(start)])
    assert start.task.status is state.Status.RUNNING


def test_poll_sent_before_the_confirmation_doesnt_revert_the_start():
    bench = support.Bench()
    start = start_on_e1(bench)
    sent = bench.now
    bench.now += 0.01
    bench.confirm([start])
    bench.now += 0.01
    bench.report('e1', sent=sent)
    assert start.task.status is state.Status.RUNNING


def test_confirmed_run_missing_from_a_later_report_is_lost():
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.confirm([start])
    bench.now += 0.1
    bench.report('e1')
    assert bench.events('run_lost')


def test_restarted_endpoint_has_lost_its_runs():
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.confirm([start])
    bench.report('e1', born=2.0)
    assert [s.run for s in bench.plan()] == [2]


def test_run_of_a_new_incarnation_may_hold_the_longest_lease():
    """Its start told the end of its lease by the former, later clock."""
    bench = support.Bench(lease=5.0, max_lease=10.0)
    start = start_on_e1(bench)
    bench.confirm([start])
    bench.report('e1', running=[bench.running_run(start)], born=2.0)
    bench.engine.mark_unresponsive('e1')
    bench.now += 9.9
    bench.plan()
    assert not bench.events('run_lost')
    bench.now += 1.0
    bench.plan()
    assert bench.events('run_lost')


def test_lease_of_a_former_owner_outlasts_the_first_poll():
    """A shorter lease of the new owner doesn't shorten it."""
    bench = support.Bench(lease=5.0, max_lease=10.0)
    start = start_on_e1(bench)
    endpoint = bench.engine.endpoints['e1']
    endpoint.allocations[(start.task.name, 1)].recovered = True
    endpoint.polled = False
    endpoint.inherited_leases_until = bench.now + 20.0
    bench.report('e1', running=[bench.running_run(start)])
    bench.engine.mark_unresponsive('e1')
    bench.now += 9.9
    bench.plan()
    assert not bench.events('run_lost')
    bench.now += 1.0
    bench.plan()
    assert bench.events('run_lost')


def test_failed_run_of_a_new_incarnation_counts_as_an_attempt():
    """The report that shows the restart lists the end of a run since it."""
    bench = support.Bench(support.queue(max_attempts=1))
    start = start_on_e1(bench)
    bench.confirm([start])
    failed = model.RunOutcome.FAILED
    end = model.EndedRun(1, start.task.name, start.run, failed, '')
    bench.report('e1', ended=[end], born=2.0)
    assert start.task.failures == 1
    assert bench.plan() == []


def test_cursor_of_a_former_incarnation_acknowledges_nothing():
    """The endpoint restarts while a record is being written to the store.

    It numbers its ended runs anew. An acknowledgement up to the old number
    would make it drop ended runs that were never handled.
    """
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.confirm([start])
    bench.end(start, 'failed')
    cursors = bench.engine.handled_cursors()
    bench.report('e1', born=2.0)
    bench.engine.confirm_records({}, cursors)
    assert bench.engine.endpoints['e1'].acknowledged_cursor == 0


def end_run_on_e1(bench):
    """Have a run end on e1 and its record written; return the endpoint."""
    start = start_on_e1(bench)
    bench.confirm([start])
    bench.end(start)
    bench.commit()
    endpoint = bench.engine.endpoints['e1']
    assert endpoint.cursor_to_send() == 1
    return endpoint


def test_poll_after_an_unanswered_one_acknowledges_no_end():
    """The endpoint may have restarted and run something meanwhile."""
    bench = support.Bench()
    endpoint = end_run_on_e1(bench)
    bench.now += 0.8
    bench.engine.handle_no_response('e1', bench.now - 0.8, bench.now)
    assert endpoint.cursor_to_send() == 0
    bench.report('e1')
    assert endpoint.cursor_to_send() == 1


def test_poll_after_a_start_on_a_younger_clock_acknowledges_no_end():
    """Only the start's confirmation shows that the endpoint restarted."""
    bench = support.Bench()
    endpoint = end_run_on_e1(bench)
    bench.submit('k', support.step())
    (start,) = bench.plan()
    bench.engine.confirm_start(start, bench.now, clock=0.1)
    assert endpoint.cursor_to_send() == 0


def test_task_waits_for_an_unconfirmed_start_to_a_restarted_endpoint():
    bench = support.Bench()
    start = start_on_e1(bench)  # unconfirmed: it may take effect 12 s later
    bench.now += 0.2
    bench.report('e1', born=2.0)
    assert bench.plan() == []
    bench.now += 12.5
    bench.report('e1', born=2.0)
    assert [s.task for s in bench.plan()] == [start.task]


def test_task_waits_for_an_unanswered_start_whose_repeat_was_confirmed():
    """Guards against a second run beside the late first one (review/10)."""
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.engine.note_unanswered(start)
    bench.confirm([start])
    bench.now += 2.0
    bench.report('e1', born=2.0)
    assert bench.events('run_lost')[0]['reason'] == 'restarted'
    assert bench.plan() == []
    late = bench.running_run(start)
    bench.now += 4.0
    bench.report('e1', [late], born=2.0)
    assert start.task.status is state.Status.RUNNING
    assert bench.plan() == []


def test_new_owner_waits_for_an_unconfirmed_start_of_the_former_one():
    """A restarted endpoint knows no fence, so it may carry out the start."""
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.now += 0.2
    bench.report('e1', born=2.0)
    job = start.task.step.job
    record = records.encode_job(job, now=bench.now)
    other = support.Bench()
    other.now = 7.0  # hosts share no clock
    other.submit('j', support.step())
    ctx = fakes.make_context(fakes.FakeStore())
    curio.run(
        recovery.restore_all, ctx, other.engine, {'j': record}, other.now
    )
    other.endpoint('e2')
    other.now += 12.2
    other.report('e2')
    assert other.plan() == []
    other.now += 0.2
    other.report('e2')
    assert [s.run for s in other.plan()] == [start.run + 1]
    assert records.decode_job(records.encode_job(job, now=200.0)).delays == []


def test_run_of_a_waiting_task_is_adopted_and_not_started_again():
    bench = support.Bench()
    endpoint = bench.endpoint('e1')
    job = bench.submit('j', support.step())
    unknown_run = model.RunningRun('j.0.0.0', 7, '', 10, 0.0)
    bench.report('e1', running=[unknown_run])
    assert bench.plan() == []
    assert bench.stops() == []
    assert endpoint.used.cpu == 1000
    (task,) = job.occurrences[0][0].tasks
    assert (task.status, task.run) == (state.Status.RUNNING, 7)
    done = model.EndedRun(1, 'j.0.0.0', 7, model.RunOutcome.DONE, '')
    bench.report('e1', ended=[done])
    assert job.state is model.JobState.COMPLETED


def test_unexpected_run_is_allocated_and_stopped():
    bench = support.Bench()
    endpoint = bench.endpoint('e1', cpu=1000)
    bench.submit('j', support.step())
    bench.engine.cancel('j', bench.now)
    bench.submit('k', support.step())
    unexpected = model.RunningRun('j.0.0.0', 7, '', 10, 0.0)
    bench.report('e1', running=[unexpected])
    assert [(s.task, s.run) for s in bench.stops()] == [('j.0.0.0', 7)]
    assert endpoint.used.cpu == 1000
    assert bench.plan() == []


def test_duplicate_run_on_another_endpoint_is_stopped():
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


def test_late_completion_of_an_earlier_run_counts_and_stops_the_later():
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.confirm([start])
    grant_lease(bench, 1.0)
    bench.engine.mark_unresponsive('e1')
    bench.now += 2
    (second_start,) = bench.plan()
    bench.confirm([second_start])
    bench.end(start)
    assert bench.engine.jobs['j'].state is model.JobState.COMPLETED
    assert [(s.task, s.run) for s in bench.stops()] == [('j.0.0.0', 2)]


def test_replaced_endpoint_loses_its_runs_at_once():
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.confirm([start])
    bench.engine.handle_replacement('e1', bench.now)
    assert [s.endpoint for s in bench.plan()] == ['e2']


def test_refused_start_is_retried_with_a_new_run_number():
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.engine.revert_start(start, 'old', bench.now)
    assert [s.run for s in bench.plan()] == [2]


def test_refused_member_stops_the_rest_of_its_gang():
    bench = support.Bench()
    bench.endpoint('e1', cpu=1000)
    bench.endpoint('e2', cpu=1000)
    bench.submit('j', support.step(2, gang=True))
    first, second = bench.plan()
    bench.confirm([first])
    bench.engine.revert_start(second, 'ticket', bench.now)
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
    bench.confirm([first])  # the other start is never confirmed
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


def test_unresponsive_endpoint_gets_no_starts():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.engine.mark_unresponsive('e1')
    bench.submit('j', support.step())
    assert bench.plan() == []
    bench.report('e1')
    assert len(bench.plan()) == 1


def test_unlisted_endpoint_gets_no_starts_and_keeps_its_runs():
    bench = support.Bench()
    start = start_on_e1(bench)
    bench.confirm([start])
    bench.engine.unregister_endpoint('e1', bench.now)
    assert 'e1' in bench.engine.endpoints
    assert bench.plan() == []
    assert start.task.status is state.Status.RUNNING
