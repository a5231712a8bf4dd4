"""Build small policies, endpoints and jobs for the tests."""

import random

from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.model import work
import hibiscusslip.scheduler
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import limits

SHARD = places.Shard('z1', 0)
PLENTY = resources.Resources(10**9, 10**9, 10**6, 10**6, 10**6)


def amount(cpu=1000, mem=1024, acc=0, slots=1, conns=1):
    return resources.Resources(cpu, mem, acc, slots, conns)


def policy(shares=None, teams=('t0', 't1', 't2'), limit=PLENTY):
    rows = shares or {'a': (0.5, 1.0), 'b': (0.3, 1.0)}
    return base.FleetPolicy(
        1,
        {
            kind: base.KindShare(kind, *numbers)
            for kind, numbers in rows.items()
        },
        {team: base.TeamQuota(team, limit) for team in teams},
    )


def build(bounds=None, seed=1, **policy_args):
    return hibiscusslip.scheduler.build(
        SHARD,
        policy(**policy_args),
        bounds or limits.Limits(),
        random.Random(seed),
    )


def endpoint(name, rack='r0', capacity=None, state=places.EndpointState.LIVE):
    size = capacity or amount(8000, 8192, 0, 8, 64)
    return places.EndpointInfo(name, 'z1', rack, '::1', 1, size, state)


def add_endpoints(sched, number, capacity=None, per_rack=2, now=0.0):
    for i in range(number):
        info = endpoint(f'e{i}', f'r{i // per_rack}', capacity)
        sched.set_endpoint(info, now)


def job(job_id, team='t0', kind='a', **fields):
    fields.setdefault('demand', amount())
    return work.JobSpec(job_id, team, kind, **fields)
