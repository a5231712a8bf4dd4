"""Decide how many tasks of a step fit in an organisation's limit."""

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import usage


def count_startable(
    spec: model.Step,
    wanted: int,
    used: usage.Usage,
    limit: model.Demand | None,
    overage: float,
) -> int:
    """Return how many of `wanted` tasks may start, for a gang all or none.

    `limit` is None if it isn't known; then one task, or one gang, may run at
    a time. An organisation that has nothing running may start one task of any
    size, as it could never start it otherwise. For the same reason a gang
    that exceeds the limit by itself may start alone, if it exceeds it by no
    more than the share `overage` and one task, which the deployment tolerates.
    """
    is_gang = spec.gang and wanted > 1
    if limit is not None:
        count = _count_within(spec.demand, wanted, used.demand, limit)
        if count and (count == wanted or not is_gang):
            return count
    if used.runs:
        return 0
    if not is_gang:
        return min(wanted, 1)
    if limit is None or _tolerates_gang(spec.demand, wanted, limit, overage):
        return wanted
    return 0


def _count_within(
    demand: model.Demand, wanted: int, used: model.Demand, limit: model.Demand
) -> int:
    """Return how many tasks fit in what the limit leaves of each resource.

    None fits while more than the limit of any resource is in use, also if the
    tasks don't need that resource.
    """
    count = wanted
    for need, in_use, most in (
        (demand.cpu, used.cpu, limit.cpu),
        (demand.memory, used.memory, limit.memory),
        (demand.accelerators, used.accelerators, limit.accelerators),
    ):
        if most and in_use > most:
            return 0
        if most and need:
            count = min(count, (most - in_use) // need)
    return count


def _tolerates_gang(
    demand: model.Demand, size: int, limit: model.Demand, overage: float
) -> bool:
    """Return True if a gang exceeds the limit by no more than tolerated."""
    return all(
        not most or need * size <= most * (1 + overage) + need
        for need, most in (
            (demand.cpu, limit.cpu),
            (demand.memory, limit.memory),
            (demand.accelerators, limit.accelerators),
        )
    )
