"""Check that stragglers get a copy, and what becomes of the two runs."""

import curio
import msgspec
import pytest

from hibiscusslip.dispatch import copies
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import policy
from hibiscusslip.dispatch import records
from hibiscusslip.dispatch import state
from hibiscusslip.host import recovery
from tests.dispatch import support
from tests.host import fakes

COPIES = policy.Policy(copies=True)
SPECULATIVE = support.step(speculative=True)
ADVICE = model.Advice(0.02, 0.0001, 2.0)


def make_bench(**fields):
    """Return a bench with copies, and an endpoint in each of two zones."""
    fields.setdefault('max_attempts', 3)
    bench = support.Bench(support.queue(**fields), policy=COPIES)
    bench.endpoint('e1', cpu=2000)
    bench.endpoint('e2', cpu=2000, zone='z2')
    return bench


def running(start, percent=60):
    return model.RunningRun(start.task.name, start.run, '', percent, 0.0)


def start_run(bench, step=SPECULATIVE):
    """Start a run that was seen at work, and return its start."""
    bench.submit('j', step)
    (start,) = bench.plan()
    bench.confirm([start])
    bench.now += 0.6
    bench.report(start.endpoint, running=[running(start)])
    return start


def overdue(bench, step=SPECULATIVE):
    """Return the start of a run that takes longer than expected."""
    start = start_run(bench, step)
    bench.now += 1.6
    return start


def copied(bench):
    """Return the starts of a run and of its copy."""
    original = overdue(bench)
    (copy,) = bench.plan()
    return original, copy


def suspect(bench, name):
    bench.now += 0.1
    bench.engine.handle_no_response(name, bench.now, bench.now)
    assert bench.engine.endpoints[name].suspected_at


def used_cpu(bench):
    return {e.name: e.used.cpu for e in bench.engine.endpoints.values()}


def test_straggler_isnt_copied_to_another_zone():
    bench = make_bench()
    bench.endpoint('e0', zone=bench.engine.endpoints['e1'].zone)
    original, copy = copied(bench)
    zones = [bench.engine.endpoints[s.endpoint].zone for s in (original, copy)]
    assert len(set(zones)) == 2
    assert (copy.task, copy.run) == (original.task, 2)
    (event,) = bench.events('copy_started')
    assert event['reason'] == 'overdue' and event['job'] == 'j'
    assert bench.plan() == []  # one copy only


def test_run_on_a_suspected_endpoint_isnt_copied():
    bench = make_bench(stretch=1.0)
    original = start_run(bench)
    suspect(bench, original.endpoint)
    bench.now += 0.4
    assert bench.plan() == []
    bench.now += 0.2
    (copy,) = bench.plan()
    assert copy.endpoint != original.endpoint


@pytest.mark.parametrize(
    'step',
    [
        support.step(),
        support.step(speculative=True, gang=True),
        support.step(speculative=True, long_running=True),
        support.step(speculative=True, fills=True),
    ],
)
def test_task_that_allows_no_copies_runs_twice(step):
    bench = make_bench()
    overdue(bench, step)
    assert bench.plan() == []


def test_copies_are_started_although_they_arent_enabled():
    bench = support.Bench()
    bench.endpoint('e1')
    bench.endpoint('e2', zone='z2')
    overdue(bench)
    assert bench.plan() == []


def test_failure_of_a_copy_may_end_a_job_with_one_attempt():
    bench = make_bench(max_attempts=1)
    overdue(bench)
    assert bench.plan() == []


def test_copy_takes_capacity_that_a_waiting_step_needs():
    bench = make_bench()
    overdue(bench)
    bench.submit('k', support.step(4))
    starts = bench.plan()
    assert {start.task.step.job.job_id for start in starts} == {'k'}


def test_work_of_no_use_is_copied():
    bench = make_bench()
    start_run(bench)
    bench.now += 60.0
    assert bench.plan() == []


def test_work_beyond_the_entitlement_is_copied():
    bench = make_bench()
    start = overdue(bench)
    start.task.step.job.within_entitlement = False
    assert bench.plan() == []


def test_run_that_may_crash_endpoints_is_copied():
    bench = make_bench(stretch=1.0)
    bench.submit('j', SPECULATIVE)
    (start,) = bench.plan()
    bench.confirm([start])
    bench.now += 0.3
    bench.report(start.endpoint, running=[running(start)])
    suspect(bench, start.endpoint)
    bench.now += 0.7
    assert bench.plan() == []


def test_copy_starts_without_a_ticket():
    bench = make_bench(advice=ADVICE)
    engine = bench.engine
    bench.submit('j', SPECULATIVE)
    bench.plan()
    (request,) = engine.advice_requests
    engine.advice_requests = []
    tickets = dict.fromkeys(request.endpoints, 't1')
    engine.handle_advice(request, tickets, bench.now + 2.0, bench.now)
    (start,) = bench.plan()
    bench.confirm([start])
    bench.now += 0.6
    bench.report(start.endpoint, running=[running(start)])
    bench.now += 1.6
    assert bench.plan() == []  # the tickets have expired
    (request,) = engine.advice_requests
    assert request.endpoints and start.endpoint not in request.endpoints
    tickets = dict.fromkeys(request.endpoints, 't2')
    engine.handle_advice(request, tickets, bench.now + 2.0, bench.now)
    (copy,) = bench.plan()
    assert copy.ticket == 't2'


def test_copy_whose_answer_is_lost_is_stopped():
    bench = make_bench()
    original, copy = copied(bench)
    bench.now += 0.5
    bench.report(copy.endpoint, running=[running(copy)])
    bench.report(original.endpoint, running=[running(original, 30)])
    assert bench.stops() == []
    bench.end(copy)
    assert bench.engine.jobs['j'].state is model.JobState.COMPLETED
    assert [s.run for s in bench.stops()] == [original.run]
    assert bench.events('copy_won')


def test_copy_that_never_started_is_awaited_forever():
    bench = make_bench()
    original, copy = copied(bench)
    bench.now += 3.0  # the start request has expired
    bench.report(copy.endpoint)
    bench.report(original.endpoint, running=[running(original, 30)])
    task = original.task
    assert (task.run, task.second) == (original.run, None)
    assert used_cpu(bench)[copy.endpoint] == 0
    assert bench.plan() == [] and bench.stops() == []
    bench.end(original)
    assert bench.engine.jobs['j'].state is model.JobState.COMPLETED


def test_refused_copy_takes_the_originals_place():
    bench = make_bench()
    original, copy = copied(bench)
    bench.engine.revert_start(copy, 'room', bench.now)
    task = original.task
    assert (task.run, task.second) == (original.run, None)
    assert (task.status, task.endpoint) == (
        state.Status.RUNNING,
        original.endpoint,
    )


def hand_over(bench):
    """Return a bench with a new owner, which has read the records."""
    job = bench.engine.jobs['j']
    other = make_bench()
    other.now = bench.now
    other.submit('j', *job.spec.steps)
    ctx = fakes.make_context(fakes.FakeStore())
    progress = {'j': records.encode_job(job, now=bench.now)}
    curio.run(recovery.restore_all, ctx, other.engine, progress, other.now)
    return other


def test_new_owner_takes_one_of_two_runs_for_a_leftover():
    bench = make_bench()
    original, copy = copied(bench)
    bench.confirm([copy])
    other = hand_over(bench)
    assert used_cpu(other) == {'e1': 1000, 'e2': 1000}
    other.report(original.endpoint, running=[running(original)])
    other.report(copy.endpoint, running=[running(copy)])
    assert other.stops() == [] and other.plan() == []
    other.end(copy)
    assert other.engine.jobs['j'].state is model.JobState.COMPLETED
    stops = other.stops()
    assert {(s.endpoint, s.run) for s in stops} == {(original.endpoint, 1)}


def test_new_owner_starts_a_task_whose_copy_still_runs():
    bench = make_bench()
    original, copy = copied(bench)
    other = hand_over(bench)
    other.report(copy.endpoint, running=[running(copy)])
    other.report(original.endpoint)  # the original isn't there any more
    assert other.plan() == []
    (task,) = other.engine.jobs['j'].occurrences[0][0].tasks
    assert (task.run, task.endpoint) == (copy.run, copy.endpoint)
    other.end(copy, 'stopped')
    (start,) = other.plan()
    assert start.run == 3


def test_run_number_is_used_again_after_a_copy():
    bench = make_bench()
    original, copy = copied(bench)
    bench.end(copy, 'stopped')
    other = hand_over(bench)
    other.report(original.endpoint, running=[running(original)])
    other.now += 1.0
    assert other.plan() == []  # a task has one copy at most
    other.end(original, 'stopped')
    (start,) = other.plan()
    assert start.run == copy.run + 1


def test_record_of_the_former_version_is_unreadable():
    bench = make_bench()
    original, copy = copied(bench)
    data = records.encode_job(bench.engine.jobs['j'], now=bench.now)
    number = records.JobRow.__struct_fields__.index('copies')
    fields = msgspec.msgpack.decode(data)
    fields, rows = fields[:number], fields[number]
    assert [row[3:6] for row in rows] == [[2, 2, copy.endpoint]]
    former = records.decode_job(msgspec.msgpack.encode(fields))
    assert former.copies == []
    assert former.tasks[0].run == original.run


def test_pool_has_copies_without_bound():
    bench = make_bench()
    bench.endpoint('e3', cpu=9000, zone='z3')
    bench.endpoint('e4', cpu=9000, zone='z4')
    bench.submit('j', support.step(6, speculative=True))
    starts = bench.plan()
    bench.confirm(starts)
    bench.now += 0.6
    for name in {start.endpoint for start in starts}:
        runs = [running(s) for s in starts if s.endpoint == name]
        bench.report(name, running=runs)
    bench.now += 1.6
    assert len(bench.plan()) == copies.MIN_COPIES
    assert bench.plan() == []


def test_cancel_leaves_a_run_of_two():
    bench = make_bench()
    original, copy = copied(bench)
    bench.confirm([copy])
    bench.engine.cancel('j', bench.now)
    stops = {(s.endpoint, s.run) for s in bench.stops()}
    assert stops == {(original.endpoint, 1), (copy.endpoint, 2)}
    assert used_cpu(bench) == {'e1': 1000, 'e2': 1000}  # until they have ended
    bench.end(copy, 'stopped')
    bench.end(original, 'done')
    assert used_cpu(bench) == {'e1': 0, 'e2': 0}
    assert bench.engine.jobs['j'].state is model.JobState.CANCELLED
    assert bench.plan() == []


@pytest.mark.parametrize('first', ['original', 'copy'])
def test_both_done_at_once_count_twice(first):
    bench = make_bench()
    original, copy = copied(bench)
    bench.confirm([copy])
    pair = (original, copy) if first == 'original' else (copy, original)
    for start in pair:
        bench.end(start)
    step = bench.engine.jobs['j'].occurrences[0][0]
    assert step.done_count == 1
    assert step.tasks[0].second is None
    assert bench.engine.jobs['j'].state is model.JobState.COMPLETED
    assert used_cpu(bench) == {'e1': 0, 'e2': 0}


@pytest.mark.parametrize('first', ['original', 'copy'])
def test_failure_of_one_run_ends_the_other(first):
    bench = make_bench()
    original, copy = copied(bench)
    bench.confirm([copy])
    failing, other = (
        (original, copy) if first == 'original' else (copy, original)
    )
    bench.end(failing, 'failed')
    task = original.task
    assert (task.failures, task.run, task.second) == (1, other.run, None)
    assert bench.plan() == [] and bench.stops() == []
    bench.end(other)
    assert bench.engine.jobs['j'].state is model.JobState.COMPLETED


def test_failures_of_both_runs_count_once_in_all():
    bench = make_bench(max_attempts=2)
    original, copy = copied(bench)
    bench.confirm([copy])
    bench.end(original, 'failed')
    assert bench.engine.jobs['j'].state is model.JobState.QUEUED
    bench.end(copy, 'failed')
    assert original.task.failures == 2
    assert bench.engine.jobs['j'].state is model.JobState.FAILED


def test_last_failure_leaves_the_other_run():
    bench = make_bench(max_attempts=2)
    original, copy = copied(bench)
    bench.confirm([copy])
    original.task.failures = 1
    bench.end(copy, 'failed')
    assert bench.engine.jobs['j'].state is model.JobState.FAILED
    assert [(s.endpoint, s.run) for s in bench.stops()] == [
        (original.endpoint, original.run)
    ]


def test_lost_original_is_started_again_beside_its_copy():
    bench = make_bench()
    original, copy = copied(bench)
    bench.confirm([copy])
    bench.engine.handle_replacement(original.endpoint, bench.now)
    assert bench.plan() == []
    assert (original.task.run, original.task.second) == (copy.run, None)
    assert bench.events('copy_promoted')
