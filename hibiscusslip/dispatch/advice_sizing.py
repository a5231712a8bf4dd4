"""Decide about which endpoints, and how many, to ask the advice service.

A call takes longer with each endpoint that it names, and a call that names
too few has to be followed by another one. So a call names the endpoints that
should have capacity for all waiting tasks nine times out of ten: those with
free capacity first, and of one zone if that suffices, as the tasks of a job
are placed in one zone. Which endpoints are eligible is known for those that
were asked about before, and learned by queue for the others.
"""

import dataclasses
import math
import typing

from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import placement
from hibiscusslip.dispatch import state

MAX_ENDPOINTS_PER_CALL = 100
FULL_WEIGHT = 0.1  # of capacity that is allocated to others now
CROWDING = 2.0  # capacity wanted per task, as others are placed meanwhile
DEVIATIONS = 1.3  # below the mean, where one time in ten is
FIXED_COST_SHARE = 0.25  # of a call's fixed part, for which more are named
ELIGIBLE = 1.0  # the chance of an endpoint that the advice has admitted
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Prospect:
    """An endpoint's chance of being eligible and its capacity, in tasks."""

    name: str
    zone: str
    chance: float
    tasks: float
    far: bool

    @property
    def sort_key(self) -> tuple[bool, float, float]:
        """Return the key by which the best prospects come first."""
        return self.far, -self.chance * self.tasks, -self.chance


class _Expectation:
    """The capacity that the named endpoints should have, in tasks."""

    def __init__(self) -> None:
        self._mean = 0.0
        self._variance = 0.0

    def add(self, prospect: _Prospect) -> None:
        """Add one endpoint."""
        chance = prospect.chance
        self._mean += chance * prospect.tasks
        self._variance += chance * (1.0 - chance) * prospect.tasks**2

    def covers(self, tasks: float) -> bool:
        """Return True if there is capacity for `tasks` with confidence."""
        deviation = DEVIATIONS * math.sqrt(self._variance)
        return self._mean - deviation >= tasks


def select(
    step: state.StepState,
    pool: list[state.Endpoint],
    candidates: candidate_pool.Candidates,
    share: float,
    min_count: int,
) -> tuple[str, ...]:
    """Return the names of the endpoints to ask about for a step.

    `share` is the share of eligible endpoints to expect of those that weren't
    asked about, `min_count` how many to name although fewer would do, unless
    enough are known to be eligible.
    Endpoints that the step's tasks depend on in other ways than by capacity,
    as for long-running tasks or for one rack, are all named.
    """
    prospects = [
        prospect
        for endpoint in pool
        if (prospect := _make_prospect(step, endpoint, candidates, share))
    ]
    prospects.sort(key=lambda prospect: prospect.sort_key)
    tasks = CROWDING * max(len(step.waiting()), 1)  # or a copy
    if step.spec.same_rack or step.spec.long_running:
        tasks = math.inf
    chosen = _choose_in_one_zone(step, prospects, tasks)
    if chosen is None:
        chosen = _choose_first(prospects, tasks)
    chosen = chosen[:MAX_ENDPOINTS_PER_CALL]
    if len(chosen) < min_count:
        names = {prospect.name for prospect in chosen}
        others = [
            prospect
            for prospect in prospects
            if prospect.name not in names
            and (not step.eligible or prospect.chance == ELIGIBLE)
        ]
        chosen = chosen + others[: min_count - len(chosen)]
    return tuple(prospect.name for prospect in chosen)


def min_count(fixed_s: float, per_endpoint_s: float) -> int:
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
    """Return how many tasks of a step the candidates have capacity for."""
    return sum(placement.max_tasks(step, item) for item in candidates)


def _make_prospect(
    step: state.StepState,
    endpoint: state.Endpoint,
    candidates: candidate_pool.Candidates,
    share: float,
) -> _Prospect | None:
    """Return None for an endpoint that can't run the step's tasks."""
    entry = endpoint.entry
    if entry is None or entry.draining:
        return None
    label = step.spec.label
    if label and label not in entry.labels:
        return None
    chance = share
    if endpoint.name in step.eligible:
        chance = ELIGIBLE
    elif endpoint.name in step.asked_about:
        return None
    candidate = candidates.find(endpoint.name)
    tasks = 0.0
    if candidate is not None:
        free = placement.max_tasks(step, candidate)
        total = placement.max_tasks_when_empty(step, candidate)
        tasks = free + FULL_WEIGHT * (total - free)
    far = bool(step.spec.rack) and step.spec.rack != entry.rack
    return _Prospect(endpoint.name, entry.zone, chance, tasks, far)


def _choose_in_one_zone(
    step: state.StepState, prospects: list[_Prospect], tasks: float
) -> list[_Prospect] | None:
    """Return endpoints of one zone if they should suffice, else None."""
    zones: dict[str, list[_Prospect]] = {}
    for prospect in prospects:
        if not prospect.far:
            zones.setdefault(prospect.zone, []).append(prospect)
    for zone in placement.order_zones(step.job, zones):
        chosen = _choose_first(zones[zone], tasks)
        expectation = _Expectation()
        for prospect in chosen:
            expectation.add(prospect)
        if expectation.covers(tasks):
            return chosen
    return None


def _choose_first(prospects: list[_Prospect], tasks: float) -> list[_Prospect]:
    """Return the first prospects that should suffice, or all."""
    expectation = _Expectation()
    for count, prospect in enumerate(prospects):
        if expectation.covers(tasks):
            return prospects[:count]
        expectation.add(prospect)
    return prospects
