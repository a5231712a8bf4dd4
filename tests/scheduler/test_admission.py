"""Test admission, refusals and dropped jobs."""

import pytest

from hibiscusslip.model import work
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import exceptions
from hibiscusslip.scheduler import feasibility
from hibiscusslip.scheduler import limits
from tests.scheduler import samples

Reason = base.RefusalReason


@pytest.mark.parametrize(
    ('fields', 'reason', 'remedy'),
    [
        ({'kind': 'zz'}, Reason.UNKNOWN_KIND, 'use one of: a, b'),
        ({'team': 'zz'}, Reason.UNKNOWN_TEAM, 'add the team'),
        ({'demand': samples.amount(9000)}, Reason.IMPOSSIBLE, 'at most 8 '),
        ({'tasks': 0}, Reason.IMPOSSIBLE, 'ask for 1'),
        ({'demand': samples.amount(-1)}, Reason.IMPOSSIBLE, '0 or more'),
        ({'deadline': 5.0, 'run_time': 6.0}, Reason.DEADLINE, 'later'),
        ({'tasks': 11}, Reason.QUEUE_FULL, 'try again in'),
    ],
)
def test_refusals_name_the_remedy(fields, reason, remedy):
    sched = samples.build(limits.Limits(max_queued_per_team=10))
    samples.add_endpoints(sched, 2)
    refusal = sched.submit(samples.job('j', **fields), 0.0)
    assert refusal.reason is reason
    assert remedy in refusal.detail
    assert (refusal.retry_after is None) == (reason is not Reason.QUEUE_FULL)


def test_refusal_of_an_impossible_job_has_the_nearest_demand():
    capacities = [samples.amount(8000, 1024), samples.amount(4000, 9999, 4)]
    spec = samples.job('j', demand=samples.amount(5000, 2048, 4))
    refused = feasibility.check(spec, capacities)
    assert refused.nearest == samples.amount(4000, 2048, 4)
    assert feasibility.check(samples.job('k'), capacities) is None
    assert feasibility.check(spec, []) is None


def test_a_gang_beyond_its_teams_quota_is_refused():
    sched = samples.build(limit=samples.amount(3000, 10**6, 0, 9, 9))
    gang = samples.job('g', form=work.Form.GANG, tasks=4)
    assert sched.submit(gang, 0.0).reason is Reason.QUOTA


def test_a_used_up_quota_blocks_starts_until_a_task_ends():
    sched = samples.build(limit=samples.amount(2000, 10**6, 0, 9, 9))
    samples.add_endpoints(sched, 2)
    sched.submit(samples.job('j', tasks=3), 0.0)
    assert [d.task for d in sched.decide(0.0)] == ['j/0', 'j/1']
    assert 'quota' in sched.explain('j', 1.0).reasons[0]
    sched.ended('j/0', base.RunOutcome.SUCCEEDED, 2.0)
    assert [d.task for d in sched.decide(2.0)] == ['j/2']


def test_a_queued_job_is_dropped_once_its_deadline_is_out_of_reach():
    sched = samples.build(limits.Limits(unix_offset=1000.0))
    spec = samples.job('j', deadline=1010.0, run_time=4.0)
    assert sched.submit(spec, 0.0) == base.Admitted()
    assert sched.decide(6.0) == []
    assert sched.next_wakeup(5.0) == 6.0
    (drop,) = sched.decide(6.1)
    assert (drop.job_id, drop.refusal.reason) == ('j', Reason.DEADLINE)
    assert sched.explain('j', 6.1) is None


def test_a_job_that_has_run_is_not_dropped_at_its_deadline():
    sched = samples.build()
    samples.add_endpoints(sched, 1)
    sched.submit(samples.job('j', deadline=10.0), 0.0)
    sched.decide(0.0)
    sched.ended('j/0', base.RunOutcome.FAILED, 1.0)
    sched.requeue('j/0', 1.0, 50.0)
    assert sched.decide(20.0) == []


def test_removing_a_kind_from_the_configuration_drops_its_jobs():
    sched = samples.build()
    sched.submit(samples.job('j', kind='b'), 0.0)
    sched.set_policy(samples.policy({'a': (0.5, 1.0)}), 1.0)
    (drop,) = sched.decide(1.0)
    assert drop.refusal.reason is Reason.UNKNOWN_KIND


def test_a_job_submitted_again_is_queued_once():
    sched = samples.build()
    samples.add_endpoints(sched, 1)
    for _ in range(2):
        sched.submit(samples.job('j'), 0.0)
        assert len(sched.decide(0.0)) <= 1
    assert sched.decide(1.0) == []


def test_requeue_of_an_unknown_task_names_the_remedy():
    with pytest.raises(exceptions.UnknownTask, match='submit'):
        samples.build().requeue('zz/0', 0.0)
