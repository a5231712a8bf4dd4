"""Check the life cycle of jobs from submission to completion."""

import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state
from hibiscusslip.dispatch import summary
from tests.dispatch import support


def names(starts):
    return sorted(start.task.name for start in starts)


def test_durable_state_changes_only_once_the_record_is_written():
    bench = support.Bench()
    bench.endpoint('e1')
    job = bench.submit('j', support.step())
    (start,) = bench.plan()
    bench.confirm([start])
    bench.end(start)
    assert job.state is model.JobState.COMPLETED
    assert job.durable_state is model.JobState.QUEUED
    bench.commit()
    assert job.durable_state is model.JobState.COMPLETED


def test_ended_run_is_acknowledged_only_once_its_record_is_written():
    bench = support.Bench()
    endpoint = bench.endpoint('e1')
    bench.submit('j', support.step())
    (start,) = bench.plan()
    bench.end(start)
    assert (endpoint.handled_cursor, endpoint.acknowledged_cursor) == (1, 0)
    bench.commit()
    assert endpoint.acknowledged_cursor == 1


def test_submitting_a_job_is_idempotent():
    bench = support.Bench()
    bench.endpoint('e1')
    first = bench.submit('j', support.step())
    assert bench.submit('j', support.step()) is first
    assert len(bench.plan()) == 1


def test_step_waits_for_its_dependencies():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.submit('j', support.step(2), support.step(after=(0,)))
    first, second = bench.plan()
    bench.end(first)
    assert bench.plan() == []
    bench.end(second)
    assert names(bench.plan()) == ['j.0.1.0']


def test_no_endpoint_is_allocated_beyond_its_capacity():
    bench = support.Bench()
    endpoint = bench.endpoint('e1', cpu=3500)
    bench.submit('j', support.step(9))
    assert len(bench.plan()) == 3
    assert endpoint.used.cpu == 3000


def test_allocation_of_a_stopped_run_is_released_when_its_end_is_reported():
    bench = support.Bench()
    endpoint = bench.endpoint('e1')
    bench.submit('j', support.step())
    (start,) = bench.plan()
    bench.confirm([start])
    bench.engine.cancel('j', bench.now)
    assert [s.task for s in bench.stops()] == ['j.0.0.0']
    assert endpoint.used.cpu == 1000
    bench.end(start, 'stopped')
    assert endpoint.used.cpu == 0


def test_cancelled_job_starts_no_more_tasks():
    bench = support.Bench()
    bench.endpoint('e1', cpu=1000)
    bench.submit('j', support.step(2))
    (start,) = bench.plan()
    bench.engine.cancel('j', bench.now)
    bench.end(start, 'stopped')
    assert bench.plan() == []
    assert bench.engine.jobs['j'].state is model.JobState.CANCELLED


def test_failed_run_is_retried_up_to_max_attempts():
    bench = support.Bench(support.queue(max_attempts=2))
    bench.endpoint('e1')
    job = bench.submit('j', support.step())
    (start,) = bench.plan()
    bench.end(start, 'failed')
    (second,) = bench.plan()
    assert second.run == 2
    bench.end(second, 'failed')
    assert bench.plan() == []
    assert job.state is model.JobState.FAILED


@pytest.mark.parametrize('how', ['stopped', 'lapsed', 'broken', 'alone'])
def test_other_outcomes_dont_count_as_attempts(how):
    bench = support.Bench(support.queue(max_attempts=1))
    bench.endpoint('e1')
    job = bench.submit('j', support.step())
    for number in range(1, 4):
        (start,) = bench.plan()
        assert start.run == number
        bench.end(start, how)
    assert job.state is not model.JobState.FAILED


def test_checkpoint_of_the_last_run_is_passed_to_the_next():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.submit('j', support.step(checkpoints=True))
    (start,) = bench.plan()
    bench.end(start, 'stopped', checkpoint='c7')
    (second,) = bench.plan()
    assert second.checkpoint == 'c7'


def test_gang_starts_as_a_whole_or_not_at_all():
    bench = support.Bench()
    bench.endpoint('e1', cpu=2000)
    bench.submit('j', support.step(3, gang=True))
    assert bench.plan() == []
    bench.endpoint('e2', cpu=1000)
    starts = bench.plan()
    assert len(starts) == 3
    assert {start.run for start in starts} == {1}


def test_gang_restarts_only_when_all_its_members_have_ended():
    bench = support.Bench()
    bench.endpoint('e1', cpu=1000)
    bench.endpoint('e2', cpu=1000)
    bench.submit('j', support.step(2, gang=True))
    first, second = bench.plan()
    bench.end(first, 'failed')
    assert bench.plan() == []
    bench.end(second, 'broken')
    assert {start.run for start in bench.plan()} == {2}


def test_one_done_member_completes_its_gang():
    bench = support.Bench()
    bench.endpoint('e1', cpu=1000)
    bench.endpoint('e2', cpu=1000)
    job = bench.submit('j', support.step(2, gang=True))
    first, _ = bench.plan()
    bench.end(first)
    assert job.state is model.JobState.COMPLETED


def test_failed_gang_counts_as_one_attempt():
    bench = support.Bench(support.queue(max_attempts=2))
    bench.endpoint('e1')
    job = bench.submit('j', support.step(2, gang=True))
    for start in bench.plan():
        bench.end(start, 'failed')
    assert not job.state.final
    for start in bench.plan():
        bench.end(start, 'failed')
    assert job.state is model.JobState.FAILED


def test_long_running_task_is_restarted_whatever_its_outcome():
    bench = support.Bench(support.queue(max_attempts=1))
    bench.endpoint('e1')
    bench.submit('j', support.step(long_running=True))
    for how in ('failed', 'done', 'lapsed', 'failed'):
        (start,) = bench.plan()
        bench.end(start, how)
    assert len(bench.plan()) == 1


def test_spread_limits_the_tasks_of_a_step_on_an_endpoint():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.submit('j', support.step(4, spread=1))
    assert len(bench.plan()) == 1
    bench.endpoint('e2')
    assert [start.endpoint for start in bench.plan()] == ['e2']


def test_label_is_required():
    bench = support.Bench()
    bench.endpoint('e1', labels=('a', 'r1'))
    bench.submit('j', support.step(label='b'))
    assert bench.plan() == []
    bench.endpoint('e2', labels=('b', 'r1'))
    assert [start.endpoint for start in bench.plan()] == ['e2']


def test_draining_endpoint_gets_no_starts():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.engine.register_endpoint(
        support.entry('e1', draining=True, seq=2), bench.now
    )
    bench.submit('j', support.step())
    assert bench.plan() == []


def test_older_entry_doesnt_replace_a_newer_one():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.engine.register_endpoint(
        support.entry('e1', draining=True, seq=5), bench.now
    )
    bench.engine.register_endpoint(support.entry('e1', seq=4), bench.now)
    assert bench.engine.endpoints['e1'].entry.draining


def test_occurrences_start_when_they_are_due():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.submit(
        'j',
        support.step(),
        times=2,
        first_due=support.WALL_TIME + 10,
        interval=5.0,
    )
    assert bench.plan(support.WALL_TIME + 9.9) == []
    assert names(bench.plan(support.WALL_TIME + 10)) == ['j.0.0.0']
    assert bench.plan(support.WALL_TIME + 14.9) == []
    assert names(bench.plan(support.WALL_TIME + 15)) == ['j.1.0.0']


def test_best_effort_tasks_are_allocated_no_cpu():
    bench = support.Bench()
    endpoint = bench.endpoint('e1', cpu=1000)
    bench.submit('j', support.step(5, cpu=4000, fills=True))
    assert len(bench.plan()) == 5
    assert endpoint.used.cpu == 0


def test_failing_endpoint_is_quarantined():
    bench = support.Bench(support.queue(max_attempts=9))
    bench.endpoint('e1')
    for number in range(3):
        bench.submit(f'j{number}', support.step())
    for start in bench.plan():
        bench.end(start, 'failed')
    assert bench.events('endpoint_distrusted')
    assert bench.plan() == []
    bench.now += 4
    assert len(bench.plan()) == 3


def test_jobs_of_a_removed_queue_still_run():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.submit('j', support.step(), queue='dropped')
    assert len(bench.plan()) == 1


def test_pending_counts_jobs_that_havent_started():
    bench = support.Bench()
    bench.endpoint('e1', cpu=1000)
    bench.submit('a', support.step())
    bench.submit('b', support.step())
    bench.plan()
    assert summary.count_pending(bench.engine) == {'small': 1}


def test_ended_jobs_are_found_after_the_retention_time():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.submit('j', support.step())
    (start,) = bench.plan()
    bench.end(start)
    bench.commit()
    assert bench.engine.find_ended_before(bench.now) == []
    (job,) = bench.engine.find_ended_before(bench.now + 1)
    assert job.job_id == 'j'


def test_new_task_is_waiting():
    bench = support.Bench()
    job = bench.submit('j', support.step())
    (task,) = job.occurrences[0][0].tasks
    assert task.status is state.Status.WAITING
    assert not task.status.placed


def test_occurrences_that_are_all_due_at_once_fill_the_memory():
    bench = support.Bench()
    bench.endpoint('e1', cpu=100_000, memory=100_000)
    job = bench.submit(
        'j', support.step(1000), times=10_000, first_due=0.0, interval=0.001
    )
    for start in bench.plan():
        bench.end(start)
    bench.plan()
    tasks = sum(len(step.tasks) for step in job.steps())
    assert tasks <= 10_000  # as many as a job may have at once


def test_failed_run_turns_a_cancelled_job_into_a_failed_one():
    """A run may fail before the request to stop it arrives."""
    bench = support.Bench(support.queue(max_attempts=1))
    bench.endpoint('e1')
    job = bench.submit('j1', support.step())
    (start,) = bench.plan()
    bench.confirm([start])
    bench.engine.cancel('j1', bench.now)
    bench.end(start, 'failed')
    assert job.state is model.JobState.CANCELLED
