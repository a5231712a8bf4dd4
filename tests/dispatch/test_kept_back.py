"""Check that free capacity isn't kept back for long from work that is owed.

A task that lasts must run, however full its service is, and a job must have
something running while half of the service is free, if there is room twice.
"""

import pytest

from hibiscusslip.dispatch import _kept_back
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state
from tests.dispatch import support

URGENT = support.queue('urgent', priority=0)
PATIENT = support.queue('patient', priority=1)
LASTS = {'long_running': True}
CORE = 1000


def busy_cell(urgent_cores, endpoints=4, cores=10):
    """Return a cell with headroom for urgent tasks of so many cores."""
    bench = support.Bench(URGENT, PATIENT)
    for number in range(endpoints):
        bench.endpoint(f'e{number}', cpu=cores * CORE, memory=10**6)
    bench.submit('u', support.step(urgent_cores, cpu=CORE), queue='urgent')
    bench.confirm(bench.plan())
    keep_headroom(bench)
    return bench


def keep_headroom(bench):
    """Have the urgent queues count as if they had used much for long."""
    service = bench.engine.headroom[support.SERVICE]
    service.use, service.updated_at = 1e9, 1e18


def submit(bench, count=1, cpu=2 * CORE, job_id='p', **fields):
    step = support.step(count, cpu=cpu, memory=1, **fields)
    return bench.submit(job_id, step, queue='patient')


def wait(bench, seconds=_kept_back.MAX_KEPT_BACK_S):
    """Plan for a time; return all starts."""
    starts = []
    for _ in range(12):
        starts += bench.plan()
        bench.now += seconds / 10
        for name in bench.engine.endpoints:
            bench.engine.handle_response(name, bench.now)
    bench.confirm(starts)
    return starts


def test_lasting_tasks_use_the_headroom():
    """Guards against services that stay away beside free capacity (review/9).

    34 of 40 cores are in use, and 10 are kept free for urgent tasks.
    """
    bench = busy_cell(34)
    submit(bench, 2, **LASTS)
    assert len(bench.plan()) == 2


def test_lasting_tasks_use_the_headroom_under_a_new_owner():
    bench = busy_cell(34)
    bench.engine.headroom = {}
    bench.plan()
    keep_headroom(bench)
    submit(bench, 1, **LASTS)
    assert len(bench.plan()) == 1


def test_lasting_tasks_beyond_an_entitlement_use_the_headroom():
    bench = busy_cell(34)
    submit(bench, 2, **LASTS).within_entitlement = False
    assert len(bench.plan()) == 2


def test_patient_work_that_ends_leaves_the_headroom():
    bench = busy_cell(34)
    submit(bench, 2)
    assert wait(bench, 5.0) == []


def half_free_cell():
    """Return a cell whose free CPU is mostly on endpoints it can't use.

    12 of 40 cores are in use. Of the 20 that can be used 5 are kept free.
    """
    bench = support.Bench(URGENT, PATIENT)
    for number in range(4):
        bench.endpoint(f'e{number}', cpu=10 * CORE, memory=10**6)
    bench.engine.endpoints['e0'].withheld = True
    bench.engine.endpoints['e1'].withheld = True
    bench.submit('u', support.step(12, cpu=CORE), queue='urgent')
    bench.confirm(bench.plan())
    keep_headroom(bench)
    return bench


@pytest.mark.parametrize('within', [True, False])
def test_job_without_a_run_uses_the_headroom_of_a_half_free_service(within):
    """Guards against a wait without end, as the urgent load goes on."""
    bench = half_free_cell()
    job = submit(bench, 3, cpu=4 * CORE)
    job.within_entitlement = within
    assert bench.plan() == []
    (start,) = wait(bench)
    assert start.task.step.job is job
    (note,) = bench.events('keeping_ended')
    assert note['tasks'] == 1 and note['beyond'] is not within


def test_job_with_a_run_goes_on_leaving_the_headroom():
    bench = half_free_cell()
    job = submit(bench, 3, cpu=2 * CORE)
    job.steps()[0].tasks[0].status = state.Status.RUNNING
    assert len(wait(bench)) == 1  # within what isn't kept free
    assert not bench.events('keeping_ended')


def reserve_all(bench, count):
    """Have a gang reserve all endpoints, which waits for a lost member."""
    bench.submit(
        'g', support.step(count, cpu=9 * CORE, gang=True), queue='urgent'
    )


def test_lasting_task_doesnt_wait_for_what_is_reserved():
    """Guards against a wait for as long as a large gang waits.

    The gang needs all four endpoints, one of which is taken by a long run.
    """
    bench = support.Bench(URGENT, PATIENT)
    for number in range(4):
        bench.endpoint(f'e{number}', cpu=10 * CORE, memory=10**6)
    bench.submit(
        'r', support.step(1, cpu=6 * CORE, estimate=600.0), queue='urgent'
    )
    bench.confirm(bench.plan())
    reserve_all(bench, 4)
    submit(bench, 1, cpu=3 * CORE, **LASTS)
    assert len(wait(bench)) == 1
    (note,) = bench.events('keeping_ended') or [{'tasks': 1}]
    assert note['tasks'] == 1


@pytest.mark.parametrize('reason', ['quarantined_until', 'full_until'])
def test_lasting_task_doesnt_wait_for_the_end_of_a_quarantine(reason):
    """Guards against quarantines that follow one another everywhere."""
    bench = support.Bench(URGENT, PATIENT)
    for number in range(2):
        endpoint = bench.endpoint(f'e{number}', cpu=10 * CORE, memory=10**6)
        setattr(endpoint, reason, bench.now + 60.0)
    submit(bench, 1, **LASTS)
    assert bench.plan() == []
    assert len(wait(bench)) == 1
    (note,) = bench.events('keeping_ended')
    assert note['distrusted'] == 1


def test_silent_endpoint_gets_no_start_however_long_a_task_waits():
    bench = support.Bench(URGENT, PATIENT)
    bench.endpoint('e1', cpu=10 * CORE, memory=10**6)
    bench.engine.endpoints['e1'].responsive = False
    submit(bench, 1, **LASTS)
    assert wait(bench, 10.0) == []


def test_step_for_one_rack_starts_in_part_rather_than_never():
    """Guards against a step that waits until all its tasks fit (review/4)."""
    bench = support.Bench(URGENT, PATIENT)
    bench.endpoint('e1', cpu=10 * CORE, memory=10**6)
    bench.endpoint('e2', cpu=10 * CORE, memory=10**6)
    step = support.step(30, cpu=2 * CORE, memory=1, same_rack=True)
    bench.submit('p', step, queue='urgent')
    assert bench.plan() == []
    assert len(wait(bench)) == 1


def test_task_beyond_the_spread_of_its_step_isnt_kept_back():
    bench = support.Bench(URGENT, PATIENT)
    bench.endpoint('e1', cpu=10 * CORE, memory=10**6)
    submit(bench, 2, spread=1, **LASTS)
    assert len(wait(bench, 5.0)) == 1
    job = bench.engine.jobs['p']
    waiting = [t for t in job.steps()[0].tasks if t.status.placed]
    assert len(waiting) == 1 and not job.steps()[0].kept_back_since
    assert state.Status.WAITING in {t.status for t in job.steps()[0].tasks}
    assert job.state is model.JobState.QUEUED


def test_gang_with_a_member_on_trial_isnt_started_in_part():
    bench = support.Bench(URGENT, PATIENT)
    for number in range(2):
        endpoint = bench.endpoint(f'e{number}', cpu=10 * CORE, memory=10**6)
        endpoint.quarantined_until = bench.now + 60.0
    job = submit(bench, 2, gang=True, **LASTS)
    job.steps()[0].tasks[0].crashes = state.Crashes(1, 0, 0)
    assert wait(bench) == []
    job.steps()[0].tasks[0].crashes = state.Crashes()
    assert len(wait(bench)) == 2
