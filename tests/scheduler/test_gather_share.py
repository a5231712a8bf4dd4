"""Check that a gang that may not start keeps nothing from others."""

import random

from hibiscusslip import configuration
from hibiscusslip.jobs import sheet_jobs
from hibiscusslip.model import places
from hibiscusslip.model import resources
import hibiscusslip.scheduler as scheduler
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import limits
import hibiscusslip.sheet as sheet
from hibiscusslip.sheet import samples

SHARD = places.Shard('a', 0)
ROUNDS = 8


def make():
    """Return a scheduler of two endpoints, and a sample sheet's jobs."""
    content = sheet.parse(samples.read('peachtree'))
    policy = configuration.to_policy(content, 1)
    made = scheduler.build(SHARD, policy, limits.Limits(), random.Random(1))
    sizes = {'p0': (64_000, 0), 'g0': (128_000, 8)}
    for name, (cpu, accelerators) in sizes.items():
        capacity = resources.Resources(cpu, 262_144, accelerators, 8, 64)
        info = places.EndpointInfo(name, 'a', name, '127.0.0.1', 1, capacity)
        made.set_endpoint(info, 1.0)
    jobs = sheet_jobs.derive_jobs(content, 0.0, SHARD, [SHARD])
    for spec in jobs:
        made.submit(spec, 1.0)
    return made, {spec.job_id: spec for spec in jobs}


def starts_of(made, jobs, now):
    """Let one round pass; batch tasks end at once."""
    found = [d for d in made.decide(now) if isinstance(d, base.Start)]
    for start in found:
        job_id = start.task.rpartition('/')[0]
        if not sheet_jobs.is_service_id(job_id):
            made.ended(start.task, base.RunOutcome.SUCCEEDED, now + 0.5)
    return found


def test_gang_that_may_not_start_leaves_its_endpoints_to_others():
    made, jobs = make()
    counts = [
        len(starts_of(made, jobs, float(now))) for now in range(1, ROUNDS)
    ]
    assert all(counts), counts
