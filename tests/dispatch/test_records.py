"""Check that a job's progress is restored from its record."""

import zlib

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
    row = records.decode_job(
        records.encode_job(bench.engine.jobs[job_id], now=0.0)
    )
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
    assert len(records.encode_job(job, now=0.0)) < 40


def test_compact_record_of_a_periodic_job_outgrows_no_limit():
    bench = support.Bench()
    bench.endpoint('e1', cpu=10**6, memory=10**6)
    steps = [support.step(), support.step(after=(0,))]
    job = bench.submit('j', *steps, times=3000, first_due=support.WALL_TIME)
    for _ in range(4):
        for start in bench.plan():
            bench.end(start)
    open_tasks = [s for s in job.steps() if not s.complete]
    assert job.created > 1000 and open_tasks
    row = records.decode_job(records.encode_job(job, compact=True, now=0.0))
    assert row.completed and len(row.tasks) < 2 * len(open_tasks)
    copy = restored_periodic(job, row)
    second = records.decode_job(records.encode_job(copy, now=0.0))
    assert states_of(copy) == states_of(job)
    assert states_of(restored_periodic(job, second)) == states_of(job)


def restored_periodic(job, row):
    """Return a periodic job as a new owner restores it from a record."""
    bench = support.Bench()
    spec = job.spec
    copy = bench.submit(
        'j', *spec.steps, times=spec.times, first_due=spec.first_due
    )
    bench.engine.restore_occurrences(copy, row, bench.now)
    records.restore(copy, row)
    return copy


def states_of(job):
    return {task.name: task.status for s in job.steps() for task in s.tasks}


def test_compressed_record_is_read_like_a_plain_one():
    bench = support.Bench()
    bench.endpoint('e1', cpu=10**6, memory=10**6)
    job = bench.submit('j', support.step(300, cpu=1))
    bench.plan()
    plain = records.encode_job(job, 1, 2, now=0.0)
    compressed = records.encode_job(job, 1, 2, compressed=True, now=0.0)
    assert len(compressed) < len(plain) / 4
    assert records.decode_job(compressed) == records.decode_job(plain)
    newer = records.encode_job(job, 1, 3, now=0.0)
    assert records.newest_of([newer, compressed]) == newer


def test_record_that_expands_without_bound_is_unreadable():
    # Failure: one odd record took all memory of each owner.
    zeros = zlib.compress(bytes(10 * records.MAX_EXPANDED_BYTES))
    with pytest.raises(records.Unreadable):
        records.decode_job(zeros)


COMPRESSED = zlib.compress(b'\x93\x01')


@pytest.mark.parametrize(
    'data',
    [b'', b'\xc1', b'\x93\x01', b'{}', b'x', COMPRESSED, COMPRESSED[:-3]],
)
def test_unreadable_records_raise(data):
    with pytest.raises(records.Unreadable):
        records.decode_job(data)
    with pytest.raises(records.Unreadable):
        records.decode_submission(data)
