"""Decide which task starts where: pure code, time is an argument."""

import random

from hibiscusslip.model import places
from hibiscusslip.scheduler import _shard
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import limits


def build(
    shard: places.Shard,
    policy: base.FleetPolicy,
    bounds: limits.Limits,
    rng: random.Random,
) -> base.Scheduler:
    """Return the scheduler of one shard."""
    return _shard.ShardScheduler(shard, policy, bounds, rng)
