"""Test guarantees, lending, fairness and reclaim."""

from hibiscusslip.model import work
from hibiscusslip.scheduler import base
from tests.scheduler import samples

URGENT, HIGH, NORMAL, LOW = work.Urgency


def submit(sched, prefix, number, now=0.0, **fields):
    for i in range(number):
        sched.submit(samples.job(f'{prefix}{i}', **fields), now)


def started(decisions):
    return [d.task for d in decisions if isinstance(d, base.Start)]


def test_a_flood_of_urgent_work_leaves_others_their_guarantee():
    sched = samples.build(shares={'a': (0.5, 1.0), 'b': (0.5, 1.0)})
    samples.add_endpoints(sched, 2)
    submit(sched, 'u', 100, kind='a', urgency=URGENT)
    submit(sched, 'l', 8, kind='b', urgency=LOW)
    tasks = started(sched.decide(0.0))
    assert len(tasks) == 16
    assert sum(task.startswith('l') for task in tasks) == 8


def test_idle_guarantee_is_lent_only_if_lendable():
    for lendable, number in ((True, 8), (False, 4)):
        policy = samples.policy({'a': (0.5, 1.0), 'b': (0.5, 1.0)})
        share = base.KindShare('b', 0.5, 1.0, lendable)
        policy.shares['b'] = share
        sched = samples.build()
        sched.set_policy(policy, 0.0)
        samples.add_endpoints(sched, 1)
        warm = samples.job('w', kind='b')
        sched.submit(warm, 0.0)
        sched.decide(0.0)
        sched.ended('w/0', base.RunOutcome.SUCCEEDED, 0.0)
        submit(sched, 'j', 20, now=9000.0)
        sched.decide(9000.0)
        assert len(started(sched.decide(9999.0))) in (0, number)
        held = sched.summary(9999.0).kinds[0].running
        assert held == number


def test_a_ceiling_bounds_a_kind_on_an_idle_shard():
    sched = samples.build(shares={'a': (0.1, 0.5)})
    samples.add_endpoints(sched, 1)
    submit(sched, 'j', 20)
    assert len(started(sched.decide(0.0))) == 4
    assert 'ceiling is 50%' in sched.explain('j9', 0.0).reasons[0]


def test_teams_of_a_kind_share_evenly_whatever_their_urgency():
    sched = samples.build(shares={'a': (1.0, 1.0)})
    samples.add_endpoints(sched, 1)
    submit(sched, 'u', 50, team='t0', urgency=URGENT)
    submit(sched, 'n', 50, team='t1', urgency=NORMAL)
    tasks = started(sched.decide(0.0))
    assert sum(task.startswith('n') for task in tasks) == 4


def test_within_a_team_the_more_urgent_goes_first():
    sched = samples.build(shares={'a': (1.0, 1.0)})
    samples.add_endpoints(sched, 1)
    submit(sched, 'l', 20, urgency=LOW)
    submit(sched, 'u', 3, urgency=URGENT)
    assert set(started(sched.decide(0.0))[:3]) == {'u0/0', 'u1/0', 'u2/0'}


def test_overdue_work_is_not_starved_by_more_urgent_work():
    sched = samples.build(shares={'a': (1.0, 1.0)})
    samples.add_endpoints(sched, 1)
    submit(sched, 'l', 1, urgency=LOW)
    running = []
    for i in range(40):
        now = 4000.0 + i
        submit(sched, f'u{i}-', 9, now=now, urgency=URGENT)
        running = started(sched.decide(now))
        if 'l0/0' in running:
            return
        for task in running:
            sched.ended(task, base.RunOutcome.SUCCEEDED, now)
    raise AssertionError('the least urgent job starved')


def test_reclaim_preempts_the_task_that_loses_the_least_work():
    sched = samples.build(shares={'a': (0.5, 1.0), 'b': (0.5, 1.0)})
    samples.add_endpoints(sched, 1)
    submit(sched, 'old', 7)
    sched.decide(0.0)
    submit(sched, 'new', 1, now=99.0)
    sched.decide(99.0)
    submit(sched, 'b', 1, now=100.0, kind='b')
    preempts = sched.decide(100.0)
    assert [(p.task, p.method) for p in preempts] == [
        ('new0/0', base.ReclaimMethod.STOP)
    ]
    sched.ended('new0/0', base.RunOutcome.STOPPED, 100.5)
    assert started(sched.decide(100.5)) == ['b0/0']


def test_reclaim_checkpoints_long_runs_and_spares_unrepeatable_ones():
    sched = samples.build(shares={'a': (0.5, 1.0), 'b': (0.5, 1.0)})
    samples.add_endpoints(sched, 1)
    submit(sched, 'press', 7, repeatable=False)
    submit(sched, 'batch', 1)
    sched.decide(0.0)
    submit(sched, 'b', 4, now=100.0, kind='b')
    preempts = sched.decide(100.0)
    assert [(p.task, p.method) for p in preempts] == [
        ('batch0/0', base.ReclaimMethod.CHECKPOINT)
    ]
