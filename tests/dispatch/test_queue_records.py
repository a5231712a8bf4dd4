"""Check that jobs keep the settings of the queue that accepted them."""

import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import queue_records
from hibiscusslip.dispatch import records
from tests.dispatch import support

JOB = '0' * 16
OTHER = support.config(support.queue('other'), version=2)


def submit(bench, queue, *steps):
    """Submit a job with the settings of its queue."""
    submission = records.Submission(
        queue.name,
        queue.service,
        support.WALL_TIME,
        b'',
        queue_row=queue_records.encode(queue),
    )
    spec = model.JobSpec('payload', steps)
    return bench.engine.submit(
        JOB, submission, spec, bench.now, support.WALL_TIME
    )


@pytest.mark.parametrize('config', [None, OTHER])
@pytest.mark.parametrize('gang', [False, True])
def test_job_of_an_unknown_queue_has_the_attempts_it_was_accepted_with(
    config, gang
):
    """All hosts were killed, and the configuration couldn't be read."""
    bench = support.Bench()
    bench.engine.config = config
    bench.endpoint('w1')
    job = submit(bench, support.queue(max_attempts=3), support.step(gang=gang))
    for left in (2, 1, 0):
        (start,) = bench.plan()
        bench.end(start, 'failed')
        bench.now += 4.0  # beyond the quarantine of the endpoint
        assert (job.state is model.JobState.FAILED) == (not left)


def test_configured_settings_replace_those_of_the_acceptance():
    bench = support.Bench(support.queue(max_attempts=1))
    bench.endpoint('w1')
    job = submit(bench, support.queue(max_attempts=3), support.step())
    (start,) = bench.plan()
    bench.end(start, 'failed')
    assert job.state is model.JobState.FAILED


def test_queue_settings_survive_their_record():
    advice = model.Advice(0.2, 0.01, 2.0)
    queue = support.queue(
        priority=2, target_latency=0.25, advice=advice, public=True
    )
    row = queue_records.encode(queue)
    submission = records.Submission('small', 's', 1.0, b'', 'o', row)
    value = records.encode_submission(submission)
    assert records.decode_submission(value) == submission
    decoded = queue_records.decode(row, queue.name, queue.service)
    assert queue_records.encode(decoded) == row


def test_submission_of_a_former_release_is_read():
    """Hosts of both releases read the inbox during an upgrade."""
    value = records.encode_submission(
        records.Submission('small', 's', 1.0, b'', 'o')
    )
    row = records.decode_submission(value)
    assert row.queue_row is None
    assert row.organisation == 'o'
