"""Choose endpoints for the tasks of one step.

The placement limits how many jobs a fault delays: a zone that is partitioned
for seconds, or a few endpoints that turn slow or fail what they run, while
small jobs of many tasks come and go. A job waits for the last of its tasks.
With a task in each zone it would wait whichever zone is partitioned, and with
tasks on ten endpoints if any of them is faulty. So the tasks of a job go to
one zone as far as its capacity allows, to a different one from job to job,
and there to few endpoints. Long-running tasks are placed one by one, as each
is useful by itself. Tasks that need accelerators are placed by best fit, as
larger ones need whole endpoints.
"""

import collections
import collections.abc
import dataclasses
import heapq
import zlib

from hibiscusslip.dispatch import candidate_pool
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import pool_rating
from hibiscusslip.dispatch import preferences
from hibiscusslip.dispatch import state


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """A task and the candidate to start it on."""

    task: state.Task
    candidate: candidate_pool.Candidate

    @property
    def endpoint(self) -> state.Endpoint:
        """Return the endpoint of the candidate."""
        return self.candidate.endpoint


def endpoints_of(step: state.StepState) -> list[str]:
    """Return the endpoint of each run of a step, a task's second one too."""
    names = [task.endpoint for task in step.tasks if task.status.placed]
    names += [
        task.second.endpoint for task in step.tasks if task.second is not None
    ]
    return names


def count_by_endpoint(step: state.StepState) -> collections.Counter[str]:
    """Count the runs on each endpoint, of a step whose spread is bounded."""
    return collections.Counter(endpoints_of(step) if step.spec.spread else ())


def choose(
    step: state.StepState,
    tasks: list[state.Task],
    candidates: list[candidate_pool.Candidate],
    preference: preferences.Preference = preferences.NONE,
) -> list[Choice]:
    """Choose candidates for tasks, as many as fit.

    A gang is placed as a whole or not at all, and on candidates of equal
    speed if that takes no more zones.
    """
    if step.spec.same_rack:
        return _place_in_one_rack(step, tasks, candidates, preference)
    if step.spec.gang:
        return _place_gang(step, tasks, candidates, preference)
    return _place_by_cost(step, tasks, candidates, preference)


def choose_some(
    step: state.StepState,
    tasks: list[state.Task],
    candidates: list[candidate_pool.Candidate],
) -> list[Choice]:
    """Choose candidates for as many tasks as fit, whatever their step asks."""
    return _place_by_cost(step, tasks, candidates, preferences.NONE)


def count_fitting(
    step: state.StepState, candidates: list[candidate_pool.Candidate]
) -> int:
    """Return how many tasks of a step could start on candidates now."""
    demand = step.spec.allocated_demand
    placed = count_by_endpoint(step)
    return sum(
        _Option(step, candidate, placed).max_tasks(demand)
        for candidate in candidates
    )


def max_tasks(
    step: state.StepState, candidate: candidate_pool.Candidate
) -> int:
    """Return how many tasks of a step fit on a candidate now."""
    return pool_rating.count_fitting(
        step.spec.demand, candidate, max_spread(step)
    )


def max_spread(step: state.StepState) -> int:
    """Return how many tasks of a step one endpoint may run."""
    count = len(step.tasks)
    return min(step.spec.spread or count, count)


def order_zones(
    job: state.Job, zones: collections.abc.Iterable[str]
) -> list[str]:
    """Return zones in the order in which a job's tasks should use them."""
    return sorted(zones, key=lambda zone: _zone_key(job, zone))


class _Option(candidate_pool.RemainingCapacity):
    """A candidate's capacity for the tasks of one step.

    `tasks_left` is how many more of them the step's spread allows, as
    `placed` counts the runs of the step on each endpoint.
    """

    __slots__ = ('candidate', 'tasks_left')

    def __init__(
        self,
        step: state.StepState,
        candidate: candidate_pool.Candidate,
        placed: collections.Counter[str],
    ) -> None:
        super().__init__(
            candidate.cpu, candidate.memory, candidate.accelerators
        )
        self.candidate = candidate
        spread = step.spec.spread
        self.tasks_left = len(step.tasks)
        if spread:
            self.tasks_left = spread - placed[candidate.endpoint.name]

    def allocate(self, demand: model.Demand) -> None:
        """Subtract the demand of one task."""
        super().allocate(demand)
        self.tasks_left -= 1

    def fits(self, demand: model.Demand) -> bool:
        """Return True if one more task of the step may be placed here."""
        return self.tasks_left > 0 and super().fits(demand)

    def max_tasks(self, demand: model.Demand) -> int:
        """Return how many tasks of the step may be placed here."""
        return pool_rating.count_fitting(demand, self, self.tasks_left)


def _rank_zones(
    step: state.StepState, options: list[_Option], needed: int
) -> dict[str, int]:
    """Return the rank of each zone for a step; 0 is the best.

    Zones with capacity for all its tasks go first: the one where the job ran
    last, then the others in an order that differs between jobs. Of the zones
    with less capacity, too, the one where the job ran last goes first, then
    those with the most.
    """
    demand = step.spec.allocated_demand
    capacity: dict[str, int] = {}
    for option in options:
        zone = option.candidate.entry.zone
        capacity[zone] = capacity.get(zone, 0) + option.max_tasks(demand)
    job = step.job

    def sort_key(zone: str) -> tuple[bool, bool, int]:
        if capacity[zone] < needed:
            return True, zone != job.zone, -capacity[zone]
        return False, *_zone_key(job, zone)

    return {
        zone: rank for rank, zone in enumerate(sorted(capacity, key=sort_key))
    }


def _zone_key(job: state.Job, zone: str) -> tuple[bool, int]:
    """Return the sort key: the zone of the last run, then one by the job."""
    return zone != job.zone, _stable_hash(job.job_id, zone)


def _stable_hash(job_id: str, zone: str) -> int:
    """Return a number that depends on nothing but the job and the zone."""
    return zlib.crc32(f'{job_id}/{zone}'.encode())


def _place_by_cost(
    step: state.StepState,
    tasks: list[state.Task],
    candidates: list[candidate_pool.Candidate],
    preference: preferences.Preference,
) -> list[Choice]:
    """Place each task on the candidate of the lowest cost, as many as fit."""
    demand = step.spec.allocated_demand
    placed = count_by_endpoint(step)
    found = [
        _Option(step, candidate, placed)
        for candidate in candidates
        if candidate.fits(demand)
    ]
    options = [option for option in found if option.tasks_left > 0]
    zones = (
        {}
        if step.spec.long_running
        else _rank_zones(step, options, len(tasks))
    )
    if _should_pack(step):
        return _pack(step, tasks, options, zones, preference)

    def cost(option: _Option) -> tuple[float, ...]:
        zone = zones.get(option.candidate.entry.zone, 0)
        return _cost(step, option, demand, zone, preference)

    heap = [
        (cost(option), option.candidate.number, option) for option in options
    ]
    heapq.heapify(heap)
    choices: list[Choice] = []
    while heap and len(choices) < len(tasks):
        _, number, option = heapq.heappop(heap)
        option.allocate(demand)
        choices.append(Choice(tasks[len(choices)], option.candidate))
        if option.fits(demand):
            heapq.heappush(heap, (cost(option), number, option))
    return choices


def _should_pack(step: state.StepState) -> bool:
    """Return True if a step's tasks go to as few endpoints as possible."""
    spec = step.spec
    return not (
        spec.long_running or spec.fills or spec.allocated_demand.accelerators
    )


def _pack(
    step: state.StepState,
    tasks: list[state.Task],
    options: list[_Option],
    zones: dict[str, int],
    preference: preferences.Preference,
) -> list[Choice]:
    """Fill one endpoint after the other, those that fit most tasks first."""
    demand = step.spec.allocated_demand
    needed = len(tasks)

    def cost(option: _Option) -> tuple[float, ...]:
        candidate = option.candidate
        fitting = min(option.max_tasks(demand), needed)
        avoid = _is_far_from_data(step, candidate) or candidate.slow
        return (
            avoid or preference.is_too_slow(candidate),
            zones[candidate.entry.zone],
            -fitting,
            *preference.rank(candidate, option, demand, fitting),
            option.cpu,
            candidate.number,
        )

    choices: list[Choice] = []
    for option in sorted(options, key=cost):
        while len(choices) < needed and option.fits(demand):
            option.allocate(demand)
            choices.append(Choice(tasks[len(choices)], option.candidate))
    return choices


def _place_all_or_none(
    step: state.StepState,
    tasks: list[state.Task],
    candidates: list[candidate_pool.Candidate],
    preference: preferences.Preference,
) -> list[Choice]:
    if not _all_fit(step, tasks, candidates):
        return []
    choices = _place_by_cost(step, tasks, candidates, preference)
    return choices if len(choices) == len(tasks) else []


def _all_fit(
    step: state.StepState,
    tasks: list[state.Task],
    candidates: list[candidate_pool.Candidate],
) -> bool:
    """Return False if the candidates have no room for so many tasks.

    A cheap check, which leaves out where runs of the step are.
    """
    spread = max_spread(step)
    demand = step.spec.allocated_demand
    left = len(tasks)
    for candidate in candidates:
        left -= pool_rating.count_fitting(demand, candidate, spread)
        if left <= 0:
            return True
    return False


def _place_in_one_rack(
    step: state.StepState,
    tasks: list[state.Task],
    candidates: list[candidate_pool.Candidate],
    preference: preferences.Preference,
) -> list[Choice]:
    """Place all tasks in one rack, or across racks if none fits them all."""
    racks: dict[str, list[candidate_pool.Candidate]] = {}
    for candidate in candidates:
        racks.setdefault(candidate.entry.rack, []).append(candidate)
    for members in sorted(racks.values(), key=len):
        choices = _place_gang(step, tasks, members, preference)
        if choices:
            return choices
    return _place_gang(step, tasks, candidates, preference)


def _place_gang(
    step: state.StepState,
    tasks: list[state.Task],
    candidates: list[candidate_pool.Candidate],
    preference: preferences.Preference,
) -> list[Choice]:
    """Place all tasks or none, on candidates of equal speed if possible.

    The slowest member determines when a gang completes.
    """
    mixed = _place_all_or_none(step, tasks, candidates, preference)
    if not mixed or _has_equal_speeds(mixed):
        return mixed
    zone_count = _count_zones(mixed)
    for members in preference.group_by_speed(candidates):
        choices = _place_all_or_none(step, tasks, members, preference)
        if choices and _count_zones(choices) <= zone_count:
            return choices
    return mixed


def _has_equal_speeds(choices: list[Choice]) -> bool:
    bands = {choice.candidate.speed_band for choice in choices}
    return len(bands) == 1


def _count_zones(choices: list[Choice]) -> int:
    return len({choice.candidate.entry.zone for choice in choices})


def _cost(
    step: state.StepState,
    option: _Option,
    demand: model.Demand,
    zone: int,
    preference: preferences.Preference,
) -> tuple[float, ...]:
    """Return the cost of placing a task on an option; the lowest is chosen.

    Best-effort tasks avoid latency-sensitive ones, and the other way round.
    """
    candidate = option.candidate
    far = _is_far_from_data(step, candidate)
    if step.spec.fills:
        return (
            far,
            candidate.slow,
            zone,
            _count_latency_sensitive(candidate.endpoint),
            -option.cpu,
        )
    best_effort = (
        _count_best_effort(candidate.endpoint)
        if step.spec.tail_latency_target
        else 0
    )
    return (
        far or candidate.slow or preference.is_too_slow(candidate),
        zone,
        best_effort,
        *preference.rank(candidate, option, demand, 1),
        option.accelerators - demand.accelerators,
        option.cpu - demand.cpu,
    )


def _is_far_from_data(
    step: state.StepState, candidate: candidate_pool.Candidate
) -> bool:
    """Return True if a candidate isn't in the rack of the step's data."""
    return bool(step.spec.rack) and step.spec.rack != candidate.entry.rack


def _count_latency_sensitive(endpoint: state.Endpoint) -> int:
    return sum(
        allocation.task is not None
        and bool(allocation.task.step.spec.tail_latency_target)
        for allocation in endpoint.allocations.values()
    )


def _count_best_effort(endpoint: state.Endpoint) -> int:
    return sum(
        allocation.task is not None and allocation.task.step.spec.fills
        for allocation in endpoint.allocations.values()
    )
