"""Tell how many tasks of a step can be expected to run at a time; no I/O.

A step that needs more than its organisation may have running, or more than a
quarter of its pool, runs in several waves. This is considered only where the
configuration has organisations.
"""

import collections.abc
import math

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state

POOL_SHARE = 0.25  # that one step can count on while others compete for it
UPDATE_PERIOD_S = 1.0  # each update looks at all endpoints


class Parallelism:
    """Track limits and the sizes of pools; `version` changes with them."""

    def __init__(self) -> None:
        self.version = 0
        self._limits: dict[str, model.Demand] = {}
        self._pools: dict[str, model.Demand] = {}
        self._updated_at = -math.inf
        self._counts_waves = False

    def update(
        self,
        config: model.Configuration | None,
        endpoints: collections.abc.Iterable[state.Endpoint],
        now: float,
    ) -> None:
        """Apply a configuration and the listed endpoints, if that is due."""
        if config is None or now < self._updated_at + UPDATE_PERIOD_S:
            return
        self._updated_at = now
        limits: dict[str, model.Demand] = {}
        pools: dict[str, model.Demand] = {}
        if config.organisations is not None:
            for name, organisation in config.organisations.items():
                limits[name] = organisation.limit
            pools = _sum_capacities(endpoints)
        if (limits, pools) != (self._limits, self._pools):
            self.version += 1
            self._limits, self._pools = limits, pools
            self._counts_waves = bool(pools)

    def set_limit(self, organisation: str, limit: model.Demand) -> None:
        """Count the waves of an organisation's steps by its limit only.

        This is for a host that doesn't know the pools.
        """
        self.version += 1
        self._limits = {organisation: limit}
        self._counts_waves = True

    def waves(self, job: state.Job, spec: model.Step, tasks: int) -> int:
        """Return in how many waves `tasks` tasks of a step run, 1 or more.

        The members of a gang run all at a time.
        """
        if (
            tasks <= 1
            or not self._counts_waves
            or spec.gang
            or spec.long_running
        ):
            return 1
        limit = self._limits.get(job.organisation, model.Demand())
        pool = self._pools.get(job.service, model.Demand())
        at_a_time = min(
            _count_within(spec.demand, limit, 1.0),
            _count_within(spec.allocated_demand, pool, POOL_SHARE),
        )
        # `at_a_time` is infinite if neither the limit nor the pool bounds it.
        return max(math.ceil(tasks / max(at_a_time, 1.0)), 1)


def _sum_capacities(
    endpoints: collections.abc.Iterable[state.Endpoint],
) -> dict[str, model.Demand]:
    totals: dict[str, list[int]] = {}
    for endpoint in endpoints:
        entry = endpoint.entry
        if entry is None or entry.draining:
            continue
        total = totals.setdefault(entry.service, [0, 0, 0])
        total[0] += entry.capacity.cpu
        total[1] += entry.capacity.memory
        total[2] += entry.capacity.accelerators
    return {name: model.Demand(*total) for name, total in totals.items()}


def _count_within(
    demand: model.Demand, available: model.Demand, share: float
) -> float:
    """Return how many tasks fit in a share; an amount of 0 is no bound."""
    return min(
        (
            share * amount // need
            for need, amount in (
                (demand.cpu, available.cpu),
                (demand.memory, available.memory),
                (demand.accelerators, available.accelerators),
            )
            if need and amount
        ),
        default=math.inf,
    )
