"""Check that an owner decides nothing final by a queue it doesn't know.

Its configuration is missing, or without the queue, and the job was accepted by
a former release, which recorded no settings of the queue.
"""

import curio
import pytest

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy as policies
from hibiscusslip.dispatch import records
from hibiscusslip.host import recovery
from tests.dispatch import support
from tests.host import fakes

FAILED = model.JobState.FAILED
JOB = '0' * 16
OTHER = support.config(support.queue('other'), version=2)


def make_bench(config, endpoints=1):
    bench = support.Bench()
    bench.engine.config = config
    for number in range(endpoints):
        bench.endpoint(f'w{number}')
    return bench


def fail_once(bench):
    """Start all that may start and have it fail; return the starts."""
    starts = bench.plan()
    bench.confirm(starts)
    for start in starts:
        bench.end(start, 'failed')
        bench.now += 4.0  # beyond the quarantine of the endpoint
    bench.commit()
    return starts


def test_job_keeps_its_attempts_when_its_queue_is_removed():
    """The queue was removed while the job's first run was at work."""
    queue = support.queue(max_attempts=3)
    bench = make_bench(support.config(queue))
    job = bench.submit(JOB, support.step())
    starts = bench.plan()
    bench.confirm(starts)
    bench.engine.configure(OTHER, policies.Policy())
    bench.end(starts[0], 'failed')
    assert not job.state.final
    bench.now += 4.0
    assert len(bench.plan()) == 1


@pytest.mark.parametrize('gang', [False, True])
def test_failed_task_waits_while_its_attempts_are_unknown(gang):
    """A start after the last attempt can't be taken back either."""
    bench = make_bench(None)
    job = bench.submit(JOB, support.step(gang=gang))
    assert len(fail_once(bench)) == 1
    assert bench.plan() == []
    assert not job.state.final
    (held,) = bench.events('retry_held')
    assert held['task'] == job.steps()[0].tasks[0].name
    queue = support.queue(max_attempts=2)
    bench.engine.configure(support.config(queue), policies.Policy())
    assert len(bench.plan()) == 1
    assert not bench.engine.held_tasks


@pytest.mark.parametrize('gang', [False, True])
def test_held_task_ends_its_job_if_it_had_no_attempt_left(gang):
    bench = make_bench(None)
    job = bench.submit(JOB, support.step(gang=gang))
    fail_once(bench)
    assert bench.plan() == []
    queue = support.queue(max_attempts=1)
    bench.engine.configure(support.config(queue), policies.Policy())
    assert bench.plan() == []
    assert job.state is FAILED


def test_tasks_that_havent_failed_start_beside_a_held_one():
    bench = make_bench(None)
    bench.submit(JOB, support.step(2))
    starts = bench.plan()
    bench.confirm(starts)
    bench.end(starts[0], 'failed')
    bench.end(starts[1], 'stopped')
    bench.now += 4.0
    assert [s.task for s in bench.plan()] == [starts[1].task]


@pytest.mark.parametrize('max_attempts', [1, 2])
def test_next_owner_decides_about_a_task_that_its_former_one_held(
    max_attempts,
):
    """Of a held task the record tells that it failed, and that it waits."""
    bench = make_bench(None)
    job = bench.submit(JOB, support.step())
    fail_once(bench)
    bench.plan()
    record = records.encode_job(job, now=bench.now)
    queue = support.queue(max_attempts=max_attempts)
    successor = make_bench(support.config(queue))
    again = successor.submit(JOB, support.step())
    ctx = fakes.make_context(fakes.FakeStore())
    curio.run(recovery.restore_all, ctx, successor.engine, {JOB: record}, 0.0)
    starts = successor.plan()
    successor.plan()
    assert len(starts) == max_attempts - 1
    assert (again.state is FAILED) == (max_attempts == 1)


def test_job_of_a_removed_queue_preempts_nothing_by_a_default_priority():
    """It isn't known that it is more urgent than what it would stop."""
    urgent = support.queue('urgent', priority=1)
    patient = support.queue('patient', priority=2)
    bench = make_bench(support.config(urgent, patient))
    bench.engine.policy = policies.Policy(urgent_preemption=True)
    long = support.step(8, estimate=60.0, checkpoints=True)
    bench.submit('1' * 16, long, queue='patient')
    bench.confirm(bench.plan())
    bench.submit(JOB, support.step(1, cpu=8000), queue='removed')
    bench.plan()
    assert bench.stops() == []
