"""Check that patient runs are preempted for urgent work, once each.

Replays a third of the planning load with the urgent queue at 2.5 times its
usual rate from 3 s to 7 s, which exceeds the pool by half.
"""

import dataclasses

import pytest

from hibiscusslip.bench import dispatch_loads
from hibiscusslip.bench import dispatching
from hibiscusslip.dispatch import policy
from tests.dispatch import support
from tests.dispatch import test_replay

BURST = (dispatch_loads.Burst('timetable', 2.5, 3.0, 7.0),)
SEEDS = (1, 2, 3)
MIN_ON_TIME = 0.86  # of the urgent jobs
ON = policy.Policy(urgent_preemption=True)


def replay(seed, policies):
    events = []

    def note(event, **fields):
        events.append((event, fields))

    run = dispatching.Replay(seed, test_replay.LOAD, BURST, policies, note)
    return run.run(12.0), events


@pytest.fixture(scope='module')
def replays():
    return {
        on: [replay(seed, ON if on else policy.Policy()) for seed in SEEDS]
        for on in (False, True)
    }


def on_time(results, kind):
    counts = [report.kinds[kind] for report, _ in results]
    return sum(c.on_time for c in counts) / sum(c.submitted for c in counts)


def test_urgent_jobs_of_a_burst_start_in_time(replays):
    assert on_time(replays[False], 'timetable') < MIN_ON_TIME
    assert on_time(replays[True], 'timetable') >= MIN_ON_TIME


def test_preempted_jobs_stay_on_time(replays):
    for kind in ('reflow', 'layout', 'art'):
        assert on_time(replays[True], kind) >= on_time(replays[False], kind)


def test_no_task_is_preempted_twice(replays):
    for _, events in replays[True]:
        tasks = [f['task'] for event, f in events if event == 'run_preempted']
        assert tasks
        assert len(tasks) == len(set(tasks))


def test_nothing_is_preempted_by_default(replays):
    for _, events in replays[False]:
        assert not [e for e, _ in events if e == 'run_preempted']


def fill(**patient):
    """Return a bench whose only endpoint is filled by a patient job."""
    bench = support.Bench(
        support.queue('urgent', priority=0, target_latency=2.0),
        support.queue('patient', priority=2, target_latency=60.0),
    )
    bench.engine.policy = ON
    bench.endpoint('e1')
    patient.setdefault('checkpoints', True)
    step = support.step(8, estimate=5.0, **patient)
    bench.submit('long', step, queue='patient')
    bench.confirm(bench.plan())
    return bench


def submit_urgent(bench, job_id, count):
    bench.now += 1.0
    step = support.step(count, estimate=1.0)
    bench.submit(job_id, step, queue='urgent')
    bench.plan()
    return bench.stops()


def test_only_the_missing_cpu_is_freed():
    bench = fill()
    assert len(submit_urgent(bench, 'first', 2)) == 2
    assert len(submit_urgent(bench, 'second', 1)) == 1  # 2 are under way


def test_work_without_checkpoints_is_not_preempted():
    assert not submit_urgent(fill(checkpoints=False), 'first', 2)


def test_work_without_slack_is_not_preempted():
    bench = fill()
    bench.now += 62.0
    assert not submit_urgent(bench, 'first', 2)


@pytest.mark.parametrize(
    ('option', 'organisations', 'expected'),
    [
        (policy.Scope.OFF, {}, False),
        (policy.Scope.ORGANISATIONS, None, False),
        (policy.Scope.ORGANISATIONS, {}, True),
        (policy.Scope.ON, None, True),
    ],
)
def test_option_decides_whether_runs_are_preempted(
    option, organisations, expected
):
    bench = fill()
    config = dataclasses.replace(
        bench.engine.config, organisations=organisations
    )
    options = policy.Options(urgent_preemption=option)
    bench.engine.configure(config, options.policy_under(config))
    assert bool(submit_urgent(bench, 'first', 2)) is expected
