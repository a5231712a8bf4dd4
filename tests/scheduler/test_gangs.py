"""Test gangs, holds, endpoint quarantine and service restarts."""

import itertools

import pytest

from hibiscusslip.model import work
from hibiscusslip.scheduler import _holds
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import limits
from tests.scheduler import samples

GANG = work.Form.GANG
ONE_KIND = {'a': (1.0, 1.0)}


def build_with_full_endpoint(endpoints=2):
    """Return a scheduler with one endpoint full of long-running work."""
    sched = samples.build(shares=ONE_KIND)
    samples.add_endpoints(sched, endpoints)
    for i in range(8):
        sched.submit(samples.job(f'long{i}', run_time=100.0), 0.0)
    sched.decide(0.0)
    return sched


def test_a_gang_starts_whole_or_not_at_all():
    sched = build_with_full_endpoint()
    sched.submit(samples.job('g', form=GANG, tasks=9), 0.0)
    assert sched.decide(0.0) == []
    sched.ended('long0/0', base.RunOutcome.SUCCEEDED, 1.0)
    (start,) = sched.decide(1.0)
    assert len(start.placements) == 9


def test_only_short_work_starts_while_a_kind_accumulates_for_a_gang():
    sched = build_with_full_endpoint()
    sched.submit(samples.job('g', form=GANG, tasks=9), 0.0)
    sched.decide(3.0)
    sched.submit(samples.job('slow', run_time=500.0), 3.0)
    sched.submit(samples.job('quick', run_time=5.0), 3.0)
    assert [d.task for d in sched.decide(3.0)] == ['quick/0']


def test_endpoints_reserved_for_a_gang_run_only_short_work():
    sched = samples.build(shares=ONE_KIND)
    samples.add_endpoints(sched, 3, per_rack=1)
    sched.submit(samples.job('s', spread=True, tasks=3, run_time=100.0), 0.0)
    endpoint_by_task = {d.task: d.endpoint for d in sched.decide(0.0)}
    assert len(set(endpoint_by_task.values())) == 3
    whole = samples.amount(8000)
    gang = samples.job('g', form=GANG, tasks=2, demand=whole)
    sched.submit(gang, 1.0)
    assert sched.decide(1.0) == []
    assert 'gathers 2 endpoints' in sched.explain('g', 1.0).reasons[0]
    sched.submit(samples.job('slow', tasks=8, run_time=500.0), 1.0)
    slow = [d.endpoint for d in sched.decide(1.0)]
    assert len(slow) == 7
    sched.submit(samples.job('quick', run_time=5.0), 1.0)
    (quick,) = sched.decide(1.0)
    assert quick.endpoint not in slow
    sched.ended('quick/0', base.RunOutcome.SUCCEEDED, 6.0)
    for task, endpoint in endpoint_by_task.items():
        if endpoint not in slow:
            sched.ended(task, base.RunOutcome.SUCCEEDED, 90.0)
    starts = [d for d in sched.decide(90.0) if isinstance(d, base.GangStart)]
    assert len(starts[0].placements) == 2


def test_two_gangs_that_exclude_each_other_both_run():
    sched = build_with_full_endpoint()
    for name in ('g', 'h'):
        sched.submit(samples.job(name, form=GANG, tasks=12), 0.0)
    sched.decide(0.0)
    for i in range(8):
        sched.ended(f'long{i}/0', base.RunOutcome.SUCCEEDED, 1.0)
    (first,) = sched.decide(1.0)
    for start in first.placements:
        sched.ended(start.task, base.RunOutcome.SUCCEEDED, 2.0)
    (second,) = sched.decide(2.0)
    assert {first.job_id, second.job_id} == {'g', 'h'}


def test_a_gang_too_large_for_the_shard_requests_remote_capacity():
    sched = samples.build(shares=ONE_KIND)
    samples.add_endpoints(sched, 1)
    sched.submit(samples.job('g', form=GANG, tasks=10), 0.0)
    (request,) = sched.decide(0.0)
    assert (len(request.local), request.missing) == (8, [8, 9])
    assert not sched.commit_hold('g', request.expires)
    assert sched.summary(20.0).kinds[0].running == 0
    (again,) = sched.decide(request.expires + 10.0)
    assert sched.commit_hold('g', again.expires - 1.0)
    assert sched.decide(again.expires + 1.0) == []
    assert sched.summary(60.0).kinds[0].running == 8
    sched.requeue('g/9', 60.0)
    assert 'g/9' not in sched.cancel('g', 61.0)


def test_a_foreign_hold_expires_by_itself_and_commits_once():
    sched = samples.build(shares=ONE_KIND)
    samples.add_endpoints(sched, 1)
    spec = samples.job('f', form=GANG, tasks=4)
    first = sched.hold('h1', spec, [0, 1], until=5.0)
    assert sched.hold('h1', spec, [0, 1], until=5.0) == first
    assert len(first) == 2
    assert not sched.commit_hold('h1', 5.0)
    assert len(sched.hold('h2', spec, [0, 1], until=9.0)) == 2
    assert sched.commit_hold('h2', 8.0)
    assert sched.commit_hold('h2', 8.5)
    sched.decide(20.0)
    assert sched.summary(20.0).kinds[0].running == 2


def test_an_endpoint_that_fails_all_runs_is_quarantined_and_readmitted():
    sched = samples.build(shares=ONE_KIND)
    samples.add_endpoints(sched, 3)
    good = samples.job('good', workload='w')
    sched.adopt(good, 'good/0', 'e1', 0.0)
    sched.ended('good/0', base.RunOutcome.SUCCEEDED, 0.5)
    bad, now, runs = 'e0', 0.0, []
    for i in range(140):
        now += 1.0
        sched.submit(samples.job(f'j{i}', workload='w', tasks=2), now)
        for start in sched.decide(now):
            runs.append((now, start.endpoint))
            broken = start.endpoint == bad and now < 40.0
            outcome = (
                base.RunOutcome.FAILED if broken else base.RunOutcome.SUCCEEDED
            )
            sched.ended(start.task, outcome, now + 0.1)
    on_bad = [when for when, endpoint in runs if endpoint == bad]
    assert len([when for when in on_bad if when < 30.0]) <= 4
    probes = [when for when in on_bad if 30.0 <= when < 90.0]
    assert len(probes) == 1
    assert len([when for when in on_bad if when >= 90.0]) > 20


def test_work_that_fails_everywhere_quarantines_no_endpoint():
    sched = samples.build(shares=ONE_KIND)
    samples.add_endpoints(sched, 3)
    for i in range(9):
        sched.submit(samples.job(f'j{i}', workload='faulty'), float(i))
        for start in sched.decide(float(i)):
            sched.ended(start.task, base.RunOutcome.FAILED, i + 0.1)
    assert sched.summary(9.0).free.slots == 24


def test_a_failing_service_restarts_with_exponential_backoff():
    sched = samples.build(shares=ONE_KIND)
    samples.add_endpoints(sched, 2)
    sched.submit(samples.job('s', form=work.Form.SERVICE), 0.0)
    now, waits = 0.0, []
    for _ in range(4):
        assert sched.decide(now)
        sched.ended('s/0', base.RunOutcome.FAILED, now)
        sched.requeue('s/0', now)
        waits.append(sched._delays.next_time() - now)
        now += waits[-1]
    assert waits == [1.0, 2.0, 4.0, 8.0]


def request_times(sched, until, shard_busy=lambda now: True):
    """Return the times of requests for remote capacity, by job.

    They fail at once while `shard_busy` says so.
    """
    times = {}
    now = 0.0
    while now < until:
        for decision in sched.decide(now):
            if isinstance(decision, base.RemoteHoldRequest):
                times.setdefault(decision.job_id, []).append(now)
                if shard_busy(now):
                    sched.release_hold(decision.job_id, now)
                else:
                    assert sched.commit_hold(decision.job_id, now)
        now = max(now + 0.01, sched.next_wakeup(now) or now)
    return times


def test_a_lone_gang_is_not_kept_from_free_remote_capacity_by_its_backoff():
    # Failure: gangs waited up to 8 s with capacity free on other shards.
    bounds = limits.Limits()
    sched = samples.build(bounds, shares=ONE_KIND)
    samples.add_endpoints(sched, 1)
    sched.submit(samples.job('g', form=GANG, tasks=10), 0.0)
    times = request_times(sched, until=60.0)['g']
    longest_pause = bounds.remote_pause_s * 2**_holds.MAX_DELAY_DOUBLINGS
    gaps = [later - time for time, later in itertools.pairwise(times)]
    assert len(gaps) > 10
    assert max(gaps) <= longest_pause + bounds.remote_retry_s + 0.05


@pytest.mark.parametrize('seed', range(1, 9))
def test_a_backoff_does_not_outlast_the_turns_of_other_gangs(seed):
    # Failure: the last gang sat out a backoff chosen while others waited.
    bounds = limits.Limits()
    sched = samples.build(bounds, seed=seed, shares=ONE_KIND)
    samples.add_endpoints(sched, 1)
    for name in ('g', 'h'):
        sched.submit(samples.job(name, form=GANG, tasks=10), 0.0)
    times = request_times(sched, 40.0, shard_busy=lambda now: now < 20.0)
    longest_pause = bounds.remote_pause_s * 2**_holds.MAX_DELAY_DOUBLINGS
    turn = longest_pause + bounds.remote_retry_s + 0.05
    assert max(times['g'][-1], times['h'][-1]) <= 20.0 + turn


def test_gangs_that_wait_for_remote_capacity_take_turns():
    sched = samples.build(shares=ONE_KIND)
    samples.add_endpoints(sched, 1)
    for i in range(6):
        sched.submit(samples.job(f'g{i}', form=GANG, tasks=10), 0.0)
    times = request_times(sched, until=120.0)
    asked = sorted(len(job_times) for job_times in times.values())
    assert len(asked) == 6
    assert asked[-1] <= 2 * asked[0]
