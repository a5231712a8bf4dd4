"""Decide about which endpoints, and how many, to ask the advice service.

A call takes longer with each endpoint that it names, and a call that names
too few has to be followed by another one. So a call names the endpoints that
should have capacity for all waiting tasks nine times out of ten: those with
free capacity first, and of one zone if that suffices, as the tasks of a job
are placed in one zone. Which endpoints are eligible is known for those that
were asked about before, and learned by queue for the others.
"""

import collections.abc
import itertools
import math
import typing

from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import pool_rating
from hibiscusslip.dispatch import preferences
from hibiscusslip.dispatch import prospects as prospect_lists
from hibiscusslip.dispatch import state

MAX_ENDPOINTS_PER_CALL = 100
CAPACITY_PER_TASK = 2.0  # wanted, as others are placed meanwhile
DEVIATIONS = 1.3  # below the mean, where one time in ten is
FIXED_COST_SHARE = 0.25  # of a call's fixed part, for which more are named
INITIAL_SHARE = 0.5
INITIAL_WEIGHT = 20.0  # in endpoints
MAX_WEIGHT = 400.0


class EligibleShare:
    """Learn which share of the endpoints the advice for a queue admits."""

    def __init__(self) -> None:
        self._asked = INITIAL_WEIGHT
        self._eligible = INITIAL_SHARE * INITIAL_WEIGHT

    @property
    def share(self) -> float:
        """Return the expected share, above 0 and at most 1."""
        return self._eligible / self._asked

    def learn(self, asked: int, eligible: int) -> None:
        """Count the endpoints of a reply that were asked about first."""
        self._asked += asked
        self._eligible += eligible
        if self._asked > MAX_WEIGHT:
            self._eligible *= MAX_WEIGHT / self._asked
            self._asked = MAX_WEIGHT


class _Expectation:
    """The capacity that the named endpoints should have, in tasks."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._variance = 0.0

    def add(self, prospect: prospect_lists.Prospect) -> None:
        """Add one endpoint."""
        chance = prospect.chance
        self._mean += chance * prospect.tasks
        self._variance += chance * (1.0 - chance) * prospect.tasks**2

    def covers(self, tasks: float) -> bool:
        """Return True if there is capacity for `tasks` with confidence."""
        if self._mean < tasks:
            return False
        deviation = DEVIATIONS * math.sqrt(self._variance)
        return self._mean - deviation >= tasks


def select(
    step: state.StepState,
    candidates: candidate_pool.Candidates,
    share: float,
    min_count: int,
    excluded: str = '',
    preference: preferences.Preference = preferences.NONE,
) -> tuple[str, ...]:
    """Return the names of the endpoints to ask about for a step.

    `share` is the share of eligible endpoints to expect of those that weren't
    asked about, `min_count` how many to name although fewer would do, unless
    enough are known to be eligible. The `excluded` endpoint isn't named.
    Among endpoints of equal capacity, those of the preferred speed go first.
    Endpoints that the step's tasks depend on in other ways than by capacity,
    as for long-running tasks or for one rack, are all named.
    """
    prospects = prospect_lists.Prospects(
        step, candidates, share, excluded, preference
    )
    tasks = CAPACITY_PER_TASK * max(len(step.waiting()), 1)  # or a copy
    if step.spec.same_rack or step.spec.long_running:
        tasks = math.inf
    chosen = _choose_in_one_zone(step, prospects, tasks)
    if chosen is None:
        first = itertools.islice(prospects.in_order(), MAX_ENDPOINTS_PER_CALL)
        chosen, _ = _choose_first(first, tasks)
    chosen = chosen[:MAX_ENDPOINTS_PER_CALL]
    if len(chosen) < min_count:
        in_order = prospects.in_order
        if step.eligible:
            in_order = prospects.eligible_in_order
        known = set(chosen)
        others = (item for item in in_order() if item not in known)
        chosen += itertools.islice(others, min_count - len(chosen))
    return tuple(prospects.name_of(prospect) for prospect in chosen)


def min_endpoints(fixed_s: float, per_endpoint_s: float) -> int:
    """Return how many endpoints to name at least.

    They cost little beside the fixed part of a call, and placement is better
    with some choice.
    """
    if per_endpoint_s <= 0:
        return MAX_ENDPOINTS_PER_CALL
    count = int(FIXED_COST_SHARE * fixed_s / per_endpoint_s)
    return min(max(count, 1), MAX_ENDPOINTS_PER_CALL)


def free_tasks(
    step: state.StepState,
    candidates: typing.Iterable[candidate_pool.Candidate],
) -> int:
    """Return how many more tasks of a step fit on the candidates.

    Runs of the step take up its spread.
    """
    placed = placement.count_by_endpoint(step)
    limit = placement.max_spread(step)
    return sum(
        pool_rating.count_fitting(
            step.spec.demand, item, limit - placed[item.endpoint.name]
        )
        for item in candidates
    )


def count_free_tasks(
    step: state.StepState, candidates: candidate_pool.Candidates
) -> int:
    """Return how many more tasks fit on endpoints that may be eligible."""
    known = candidates.eligible_for(step, step.eligible)
    return free_tasks(step, known) + unasked_free_tasks(step, candidates)


def unasked_free_tasks(
    step: state.StepState, candidates: candidate_pool.Candidates
) -> int:
    """Return how many tasks fit on endpoints that weren't asked about."""
    if candidates.has_trials:
        others = (
            candidate
            for candidate in candidates.eligible_for(step, None)
            if candidate.endpoint.name not in step.asked_about
        )
        return free_tasks(step, others)
    rating = candidates.rate(step.spec.demand, step.spec.label)
    limit = placement.max_spread(step)
    tasks = rating.free_tasks(limit)
    placed = placement.count_by_endpoint(step)
    for name in step.asked_about | placed.keys():
        number = candidates.number_of(name)
        fit = None if number is None else rating.fit(number)
        if fit is None:
            continue
        tasks -= min(fit.free, limit)
        if name not in step.asked_about:
            tasks += min(fit.free, max(limit - placed[name], 0))
    return tasks


def _choose_in_one_zone(
    step: state.StepState, prospects: prospect_lists.Prospects, tasks: float
) -> list[prospect_lists.Prospect] | None:
    """Return endpoints of one zone if they should suffice, else None."""
    zones = {
        name: zone
        for name, zone in prospects.by_zone().items()
        if prospects.may_suffice(zone, tasks)
    }
    for name in placement.order_zones(step.job, zones):
        chosen, suffices = _choose_first(
            prospects.in_order_of(zones[name]), tasks
        )
        if suffices:
            return chosen
    return None


def _choose_first(
    prospects: collections.abc.Iterable[prospect_lists.Prospect], tasks: float
) -> tuple[list[prospect_lists.Prospect], bool]:
    """Return the first prospects that should suffice, or all.

    Also returns whether they should suffice.
    """
    expectation = _Expectation()
    chosen = []
    for prospect in prospects:
        chosen.append(prospect)
        expectation.add(prospect)
        if expectation.covers(tasks):
            return chosen, True
    return chosen, False
