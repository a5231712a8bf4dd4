"""Decide which task starts on which endpoint.

The package does no I/O; the present time is an argument.
"""

import random
import typing

from hibiscusslip.model import places
from hibiscusslip.scheduler import _placement
from hibiscusslip.scheduler import _shard
from hibiscusslip.scheduler import base
from hibiscusslip.scheduler import limits
from hibiscusslip.scheduler import strategies

_PLACEMENTS: dict[strategies.PlacementName, type[typing.Any]] = {
    strategies.PlacementName.FIRST_FIT: _placement.FirstFit,
    strategies.PlacementName.BEST_FIT: _placement.BestFit,
    strategies.PlacementName.ALIGNMENT: _placement.Alignment,
}


def build(
    shard: places.Shard,
    policy: base.FleetPolicy,
    bounds: limits.Limits,
    rng: random.Random,
    placement: str = strategies.PlacementName.BEST_FIT,
    order: str = strategies.OrderName.FAIR,
) -> base.Scheduler:
    """Return the scheduler of one shard.

    `placement` and `order` are the values of `strategies.PlacementName` and
    `strategies.OrderName`.
    """
    chosen = _PLACEMENTS[strategies.PlacementName(placement)]()
    fair = strategies.OrderName(order) is strategies.OrderName.FAIR
    return _shard.ShardScheduler(shard, policy, bounds, rng, chosen, fair)
