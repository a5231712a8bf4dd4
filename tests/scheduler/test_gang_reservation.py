"""Test that a gang blocked by its share releases reserved endpoints.

The reserved endpoints may fit a gang that its share or quota doesn't let
start. If the reservation stayed, no other work could start on them.
"""

import random

from hibiscusslip import configuration
from hibiscusslip.jobs import sheet_jobs
from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.model import work
import hibiscusslip.scheduler as scheduler
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import limits
import hibiscusslip.sheet as sheet
from hibiscusslip.sheet import samples as sheet_samples
from tests.scheduler import samples

SHARD = places.Shard('a', 0)
END_S = 8


def build_with_sample_jobs():
    """Return a scheduler of two endpoints, and the jobs of a sample sheet."""
    content = sheet.parse(sheet_samples.read('peachtree'))
    policy = configuration.to_policy(content, 1)
    sched = scheduler.build(SHARD, policy, limits.Limits(), random.Random(1))
    sizes = {'p0': (64_000, 0), 'g0': (128_000, 8)}
    for name, (cpu, accelerators) in sizes.items():
        capacity = resources.Resources(cpu, 262_144, accelerators, 8, 64)
        info = places.EndpointInfo(name, 'a', name, '127.0.0.1', 1, capacity)
        sched.set_endpoint(info, 1.0)
    jobs = sheet_jobs.derive_jobs(content, 0.0, SHARD, [SHARD])
    for spec in jobs:
        sched.submit(spec, 1.0)
    return sched, {spec.job_id: spec for spec in jobs}


def decide_starts(sched, jobs, now):
    """Run one scheduling pass; batch tasks complete at once."""
    starts = [d for d in sched.decide(now) if isinstance(d, base.Start)]
    for start in starts:
        job_id = start.task.rpartition('/')[0]
        if not sheet_jobs.is_service_id(job_id):
            sched.ended(start.task, base.RunOutcome.SUCCEEDED, now + 0.5)
    return starts


def test_a_gang_blocked_by_shares_leaves_endpoints_to_others():
    sched, jobs = build_with_sample_jobs()
    counts = [
        len(decide_starts(sched, jobs, float(now))) for now in range(1, END_S)
    ]
    assert all(counts), counts


def test_endpoint_that_returns_smaller_is_not_overcommitted():
    """The reservation of a gang had kept the endpoint of before."""
    sched = samples.build(shares={'a': (1.0, 1.0)})
    samples.add_endpoints(sched, 2, per_rack=1)
    spread = samples.job('s', spread=True, tasks=2, run_time=100.0)
    sched.submit(spread, 0.0)
    assert len(sched.decide(0.0)) == 2
    whole = samples.amount(8000)
    gang = samples.job('g', form=work.Form.GANG, demand=whole)
    sched.submit(gang, 1.0)
    assert sched.decide(1.0) == []
    (reserved,) = sched._reserver.plan.endpoints
    sched.endpoint_lost(reserved.name, 2.0)
    half = samples.amount(4000, 8192, 0, 8, 64)
    sched.set_endpoint(samples.endpoint(reserved.name, capacity=half), 3.0)
    sched.cancel('g', 4.0)
    need = samples.amount(2500)
    sched.submit(samples.job('b', tasks=4, demand=need), 5.0)
    sched.decide(5.0)
    free = {
        name: endpoint.free[0]
        for name, endpoint in sched._ledger.inventory.endpoints.items()
    }
    assert min(free.values()) >= 0, free
