"""Check that a job's progress is restored from its record."""

import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import state
from tests.dispatch import support


def restored_copy(bench, job_id):
    """Return the job as another engine restores it from its record."""
    other = support.Bench()
    steps = bench.engine.jobs[job_id].spec.steps
    job = other.submit(job_id, *steps)
    row = records.decode_job(records.encode_job(bench.engine.jobs[job_id]))
    records.restore(job, row)
    return job


def test_progress_of_tasks_is_restored():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.submit('j', support.step(3, checkpoints=True))
    first, second, third = bench.plan()
    bench.end(first)
    bench.end(second, 'failed', checkpoint='c1')
    tasks = restored_copy(bench, 'j').occurrences[0][0].tasks
    assert [task.status for task in tasks] == [
        state.Status.DONE,
        state.Status.WAITING,
        state.Status.STARTING,
    ]
    assert (tasks[1].run, tasks[1].failures, tasks[1].checkpoint) == (
        1,
        1,
        'c1',
    )
    assert tasks[2].endpoint == third.endpoint


def test_run_numbers_are_restored():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.submit('j', support.step())
    for _ in range(3):
        (start,) = bench.plan()
        bench.end(start, 'stopped')
    (task,) = restored_copy(bench, 'j').occurrences[0][0].tasks
    assert task.run == 3


def test_failures_of_a_gang_are_restored():
    bench = support.Bench(support.queue(max_attempts=3))
    bench.endpoint('e1')
    bench.submit('j', support.step(2, gang=True))
    for start in bench.plan():
        bench.end(start, 'failed', checkpoint='c2')
    (step,) = restored_copy(bench, 'j').occurrences[0]
    assert (step.failures, step.failed_run, step.checkpoint) == (1, 1, 'c2')


def test_record_of_a_final_job_contains_no_tasks():
    bench = support.Bench()
    bench.endpoint('e1')
    job = bench.submit('j', support.step(50, cpu=1))
    for start in bench.plan():
        bench.end(start)
    assert job.state is model.JobState.COMPLETED
    assert len(records.encode_job(job)) < 40


@pytest.mark.parametrize('data', [b'', b'\xc1', b'\x93\x01', b'{}'])
def test_unreadable_records_raise(data):
    with pytest.raises(records.Unreadable):
        records.decode_job(data)
    with pytest.raises(records.Unreadable):
        records.decode_submission(data)
