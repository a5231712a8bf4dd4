"""Check what is concluded from a report that may leave out ended runs."""

import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state
from tests.dispatch import support

PAGE = 2
LEASE_S = 5.0


def placed(count, **fields):
    """Return an engine with so many confirmed runs on one endpoint."""
    bench = support.Bench(lease=LEASE_S)
    bench.endpoint('e1', cpu=1000 * count)
    bench.submit('j', support.step(count, **fields))
    starts = bench.plan()
    bench.confirm(starts)
    bench.now += 1.0
    return bench, starts


def recover(bench):
    """Have all runs count as those of a former owner's records."""
    endpoint = bench.engine.endpoints['e1']
    endpoint.polled = False
    endpoint.inherited_leases_until = bench.now + LEASE_S
    for allocation in endpoint.allocations.values():
        allocation.recovered = True
        allocation.confirmed_at = allocation.deadline = 0.0


def ends(starts, first=1):
    return [
        model.EndedRun(
            first + place, s.task.name, s.run, model.RunOutcome.DONE, ''
        )
        for place, s in enumerate(starts)
    ]


def report_partly(bench, starts, first=1, **fields):
    bench.report(
        'e1', ended=ends(starts[:PAGE], first), ends_complete=False, **fields
    )


@pytest.mark.parametrize('known_as', ['recovered', 'confirmed', 'expired'])
def test_runs_whose_ends_are_on_the_next_page_arent_started_again(known_as):
    """Guards against a second run of tasks that are done, as in review/7."""
    bench, starts = placed(5)
    if known_as == 'recovered':
        recover(bench)
    elif known_as == 'expired':
        for allocation in bench.engine.endpoints['e1'].allocations.values():
            allocation.confirmed_at = 0.0
            allocation.deadline = bench.now - 0.5
    report_partly(bench, starts)
    assert bench.plan() == [] and not bench.events('run_lost')
    bench.report('e1', ended=ends(starts))
    assert bench.engine.jobs['j'].state is model.JobState.COMPLETED


def test_runs_missing_from_the_last_page_are_started_again():
    bench, starts = placed(5)
    report_partly(bench, starts)
    bench.report('e1', ended=ends(starts[PAGE:4], 1 + PAGE))
    assert [lost['run'] for lost in bench.events('run_lost')] == [1]
    (again,) = bench.plan()
    assert (again.task, again.run) == (starts[4].task, 2)


def test_runs_of_an_endpoint_lost_between_two_pages_wait_for_its_lease():
    """Guards against taking an endpoint without runs for one without lease.

    Its unlisted runs may have ended as done; only a lapsed lease voids that.
    """
    bench, starts = placed(5)
    recover(bench)
    report_partly(bench, starts)
    bench.engine.mark_unresponsive('e1')
    bench.endpoint('e2')
    bench.now += LEASE_S / 2
    assert bench.plan() == []
    bench.now += LEASE_S
    assert len(bench.plan()) == 3


def test_runs_that_a_restarted_endpoint_may_have_done_arent_lost():
    """Guards against abandoning runs that the new incarnation has ended."""
    bench, starts = placed(5)
    report_partly(bench, starts, born=2.0)
    assert bench.plan() == [] and not bench.events('run_lost')
    bench.report('e1', ended=ends(starts[PAGE:4], 1 + PAGE), born=2.0)
    bench.list_again('e1', born=2.0)
    (lost,) = bench.events('run_lost')
    assert (lost['task'], lost['reason']) == ('j.0.0.4', 'restarted')
    assert [start.task.name for start in bench.plan()] == ['j.0.0.4']


def test_run_confirmed_after_the_poll_was_sent_outlives_a_restart():
    """Guards against a second run: the poll was answered before the start."""
    bench, _ = placed(1)
    sent = bench.now - 2.0  # the start was confirmed a second later
    bench.report('e1', born=2.0, sent=sent)
    bench.list_again('e1', born=2.0)
    assert bench.plan() == [] and not bench.events('run_lost')
    bench.report('e1', born=2.0)
    assert len(bench.plan()) == 1


def test_crash_isnt_blamed_on_runs_that_are_done_on_a_later_page():
    bench, starts = placed(3)
    report_partly(bench, starts, born=2.0)
    bench.report('e1', ended=ends(starts[PAGE:], 1 + PAGE), born=2.0)
    assert not bench.events('crash_suspected')
    assert all(s.task.status is state.Status.DONE for s in starts)


def test_partial_report_is_logged_once():
    bench, starts = placed(5)
    report_partly(bench, starts)
    report_partly(bench, starts)
    (note,) = bench.events('ends_partial')
    assert note == {'endpoint': 'e1', 'listed': PAGE, 'unlisted': 3}
    bench.report('e1', ended=ends(starts))
    assert not bench.engine.endpoints['e1'].ends_partial
