"""Check that a restarted endpoint gets no work by its former entry."""

from hibiscusslip.dispatch import _reports
from tests.dispatch import support


def restarted_bench():
    """Return a cell whose endpoint has restarted, and a task for it."""
    bench = support.Bench()
    bench.endpoint('e1', labels=('gpu', 'r1'))
    bench.report('e1', born=2.0)
    bench.submit('j', support.step(label='gpu'))
    return bench


def test_former_label_of_a_restarted_endpoint_admits_no_task():
    # Failure: a worker that came back as another kind got tasks that require
    # the label of its former one.
    bench = restarted_bench()
    assert not bench.plan()
    bench.now += 0.25
    bench.list_again('e1', born=2.0, labels=('cpu', 'r1'))
    assert not bench.plan()
    assert len(bench.events('entry_outdated')) == 1


def test_restarted_endpoint_is_used_as_soon_as_its_entry_is_read():
    bench = restarted_bench()
    assert not bench.plan()
    bench.list_again('e1', born=2.0)
    assert [start.endpoint for start in bench.plan()] == ['e1']


def test_repeated_former_entry_doesnt_admit_a_task():
    bench = restarted_bench()
    bench.list_again('e1', seq=2)
    assert not bench.plan()


def test_entry_that_was_read_before_the_restart_was_seen_admits_tasks():
    bench = support.Bench()
    bench.endpoint('e1', labels=('cpu', 'r1'))
    bench.list_again('e1', born=2.0, labels=('gpu', 'r1'))
    bench.report('e1', born=2.0)
    bench.submit('j', support.step(label='gpu'))
    assert len(bench.plan()) == 1


def test_new_owner_waits_for_the_entry_of_the_incarnation_that_it_polls():
    # Failure: as the first, for an owner that polls before the list is new.
    bench = support.Bench()
    entry = support.entry('e1', labels=('gpu', 'r1'))
    bench.engine.register_endpoint(entry, bench.now)
    bench.report('e1', born=2.0)
    bench.submit('j', support.step(label='gpu'))
    assert not bench.plan()


def test_host_that_cant_read_the_list_uses_a_restarted_endpoint():
    bench = restarted_bench()
    assert not bench.plan()
    bench.now += _reports.ENTRY_LAG_S
    bench.report('e1', born=2.0)
    assert len(bench.plan()) == 1
