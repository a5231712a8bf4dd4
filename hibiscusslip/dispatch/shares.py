"""Classify jobs by entitlement, and organisations by their fair share.

An organisation whose weighted dominant share of a service's pool is above
its fair share of what is in use yields to those below. What is in use is
divided in proportion to the weights of the organisations that hold something
or wait. The levels have hysteresis and are updated at intervals, so that the
order of the steps doesn't flap. One that holds far less than its share is
below, however little the others are above theirs: beside a large
organisation, the share of a small one is less than any tolerance.
"""

import collections.abc

from hibiscusslip.dispatch import entitlement
from hibiscusslip.dispatch import forecast
from hibiscusslip.dispatch import holdings
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import state
from hibiscusslip.model import fair_share

UPDATE_PERIOD_S = 0.1
MAX_NOTED_STEPS = 10_000
WANTED_S = 1.0  # for which an organisation counts after its steps waited
# Shares over the fair share at which the level is entered, and left again.
ENTER_ABOVE, LEAVE_ABOVE = 1.1, 1.0
ENTER_BELOW, LEAVE_BELOW = 0.5, 0.75


class Shares:
    """What the organisations are entitled to and hold.

    `fair_shares` maps services to the weighted dominant share that is fair.
    Until `advice_wanted_until` no step beyond an entitlement asks for advice,
    and until the times in `advice_full_until` none of these queues. An
    organisation's rate of jobs is judged over `window` seconds.
    """

    def __init__(self, window: float = entitlement.DEFAULT_WINDOW_S) -> None:
        self.advice_wanted_until = float('-inf')
        self.advice_full_until: dict[str, float] = {}
        self.forecast = forecast.Forecast()
        self.fair_shares: dict[str, float] = {}
        self._entitlements = entitlement.Entitlements(window)
        self._holdings: dict[str, dict[str, holdings.Holding]] = {}
        self._updated_at: dict[str, float] = {}
        self._noted: dict[str, float] = {}

    def classify(
        self,
        job: state.Job,
        config: model.Configuration | None,
        accepted: float,
        wall_time: float,
    ) -> None:
        """Set a new job's classification and where its runs are summed up.

        `accepted` is the Unix time of acceptance. Later times than
        `wall_time` count as that, as one host's clock may be ahead.
        """
        if config is None or config.organisations is None:
            return
        if job.organisation:
            self._classify(job, config, min(accepted, wall_time))
        self.forecast.count(job, config)

    def _classify(
        self, job: state.Job, config: model.Configuration, accepted: float
    ) -> None:
        name = job.organisation
        held_by_name = self._holdings.setdefault(job.service, {})
        holding = held_by_name.setdefault(name, holdings.Holding(name))
        holding.wanted_at = max(holding.wanted_at, job.submitted_at)
        job.holding = holding
        weight = entitlement.weight_of(config, name)
        job.within_entitlement = self._entitlements.take(
            name, weight, accepted
        )

    def update(
        self,
        config: model.Configuration | None,
        service: str,
        entries: collections.abc.Iterable[model.EndpointEntry],
        now: float,
    ) -> None:
        """Update which organisations are above their share of a pool.

        `entries` are those of the pool's usable endpoints.
        """
        held_by_name = self._holdings.get(service)
        updated_at = self._updated_at.get(service, float('-inf'))
        if not held_by_name or now < updated_at + UPDATE_PERIOD_S:
            return
        self._updated_at[service] = now
        capacity = _total_capacity(entries)
        fair = self._update_shares(config, held_by_name, capacity, now)
        self.fair_shares[service] = fair
        in_use = config is not None and config.organisations is not None
        for item in held_by_name.values():
            item.level = (
                _next_level(item, fair) if in_use else holdings.Level.FAIR
            )

    def _update_shares(
        self,
        config: model.Configuration | None,
        held_by_name: dict[str, holdings.Holding],
        capacity: tuple[int, int, int],
        now: float,
    ) -> float:
        """Update each organisation's share and return the fair one."""
        total_weight = 0.0
        total_share = 0.0
        for name, item in held_by_name.items():
            weight = entitlement.weight_of(config, name)
            item.share = fair_share.weighted_share(item.held, capacity, weight)
            if item.share or now < item.wanted_at + WANTED_S:
                total_weight += weight
                total_share += item.share * weight
        return total_share / total_weight if total_weight else 0.0

    def describe_wait(self, step: state.StepState) -> dict[str, object]:
        """Return why a step yields to others, once for each of its waits.

        Returns nothing the next times.
        """
        job = step.job
        holding = job.holding
        if holding is None or self._noted.get(step.name) == step.waiting_since:
            return {}
        self._noted[step.name] = step.waiting_since
        if len(self._noted) > MAX_NOTED_STEPS:
            del self._noted[next(iter(self._noted))]
        fair = self.fair_shares.get(job.service, 0.0)
        return {
            'step': step.name,
            'organisation': job.organisation,
            'reason': 'share' if job.within_entitlement else 'entitlement',
            'share': round(holding.share, 5),
            'fair_share': round(fair, 5),
        }


def _next_level(item: holdings.Holding, fair: float) -> holdings.Level:
    """Return the level of an organisation, the last one if nothing is held.

    A gang for which a pool was emptied isn't behind others all at once.
    """
    level = holdings.Level
    if not fair:
        return item.level
    above = LEAVE_ABOVE if item.level is level.ABOVE else ENTER_ABOVE
    below = LEAVE_BELOW if item.level is level.BELOW else ENTER_BELOW
    if item.share > fair * above:
        return level.ABOVE
    return level.BELOW if item.share < fair * below else level.FAIR


def _total_capacity(
    entries: collections.abc.Iterable[model.EndpointEntry],
) -> tuple[int, int, int]:
    cpu = memory = accelerators = 0
    for entry in entries:
        cpu += entry.capacity.cpu
        memory += entry.capacity.memory
        accelerators += entry.capacity.accelerators
    return cpu, memory, accelerators
