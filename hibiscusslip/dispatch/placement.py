"""Choose endpoints for the tasks of one step.

The pattern it answers: a zone is cut off for seconds, or a few endpoints turn
slow or fail what they run, while small jobs of many tasks come and go. A job
waits for the last of its tasks, so one with a task in each zone waits
whichever zone is cut, and one with tasks on ten endpoints waits if any of them
is bad. Tasks of a job go to one zone as far as it has room, which differs from
job to job, and there to few endpoints. Tasks that last are placed one by one,
as each counts for itself, and those that need accelerators by best fit, as
larger ones need whole endpoints.
"""

import dataclasses
import heapq
import zlib

from hibiscusslip.dispatch import _suspicion
from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import progress
from hibiscusslip.dispatch import state


class _RemainingCapacity:
    """Count down what is left of a room as tasks are placed."""

    __slots__ = ('accelerators', 'cpu', 'memory')

    def __init__(self, cpu: int, memory: int, accelerators: int) -> None:
        self.cpu = cpu
        self.memory = memory
        self.accelerators = accelerators

    def allocate(self, demand: model.Demand) -> None:
        """Place one task here."""
        self.cpu -= demand.cpu
        self.memory -= demand.memory
        self.accelerators -= demand.accelerators

    def fits(self, demand: model.Demand) -> bool:
        """Tell whether one more task may be placed here."""
        return (
            demand.cpu <= self.cpu
            and demand.memory <= self.memory
            and demand.accelerators <= self.accelerators
        )


class Candidate(_RemainingCapacity):
    """Hold what a usable endpoint has left during one round of planning.

    The amounts are kept apart from the endpoint's, as one round looks at
    each of them for hundreds of steps.
    """

    __slots__ = ('endpoint', 'entry', 'number', 'slow')

    def __init__(self, endpoint: state.Endpoint, number: int, now: float):
        free = endpoint.free()
        super().__init__(free.cpu, free.memory, free.accelerators)
        assert endpoint.entry is not None
        self.endpoint = endpoint
        self.entry = endpoint.entry
        self.number = number
        self.slow = progress.is_slow(endpoint, now)


class Candidates:
    """Hold the rooms of a service during one round of planning.

    `widest` is the most processors that one endpoint has, in use or not.
    """

    def __init__(
        self,
        pool: list[state.Endpoint],
        suspicions: _suspicion.Suspicions,
        now: float,
    ) -> None:
        self.all = [
            Candidate(endpoint, number, now)
            for number, endpoint in enumerate(pool)
            if endpoint.usable(now) and suspicions.allows(endpoint)
        ]
        self._by_name = {
            candidate.endpoint.name: candidate for candidate in self.all
        }
        self._largest = model.Demand(
            max((candidate.cpu for candidate in self.all), default=-1),
            max((candidate.memory for candidate in self.all), default=-1),
            max(
                (candidate.accelerators for candidate in self.all), default=-1
            ),
        )
        self.max_endpoint_cpu = max(
            (e.entry.capacity.cpu for e in pool if e.entry is not None),
            default=0,
        )

    def may_fit_anywhere(self, demand: model.Demand) -> bool:
        """Tell, at no cost, whether some room may be large enough.

        It counts with the room at the begin of the round.
        """
        return demand.fits(self._largest)

    def eligible_for(
        self, step: state.StepState, tickets: dict[str, str] | None
    ) -> list[Candidate]:
        """Return the rooms that a step's label, and its tickets, allow."""
        candidates = self.all
        if tickets is not None:
            by_name = self._by_name
            candidates = [by_name[name] for name in tickets if name in by_name]
        label = step.spec.label
        if not label:
            return candidates
        return [
            candidate
            for candidate in candidates
            if label in candidate.entry.labels
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Hold one task and where to run it."""

    task: state.Task
    candidate: Candidate

    @property
    def endpoint(self) -> state.Endpoint:
        """Return the endpoint of the room."""
        return self.candidate.endpoint


def count_placed(step: state.StepState, endpoint: str) -> int:
    """Return how many tasks of a step are placed on an endpoint."""
    return sum(t.status.placed and t.endpoint == endpoint for t in step.tasks)


def choose(
    step: state.StepState, tasks: list[state.Task], candidates: list[Candidate]
) -> list[Choice]:
    """Return places for tasks, best fit first; a gang gets all or none."""
    if step.spec.same_rack:
        return _in_one_rack(step, tasks, candidates)
    if step.spec.gang:
        return _all_or_none(step, tasks, candidates)
    return _place_by_cost(step, tasks, candidates)


class _Option(_RemainingCapacity):
    """Count down a room while the tasks of one step are placed."""

    __slots__ = ('candidate', 'tasks_left')

    def __init__(self, step: state.StepState, candidate: Candidate) -> None:
        super().__init__(
            candidate.cpu, candidate.memory, candidate.accelerators
        )
        self.candidate = candidate
        spread = step.spec.spread
        self.tasks_left = len(step.tasks)
        if spread:
            self.tasks_left = spread - count_placed(
                step, candidate.endpoint.name
            )

    def allocate(self, demand: model.Demand) -> None:
        """Place one task here."""
        super().allocate(demand)
        self.tasks_left -= 1

    def fits(self, demand: model.Demand) -> bool:
        """Tell whether one more task may be placed here."""
        return self.tasks_left > 0 and super().fits(demand)

    def max_tasks(self, demand: model.Demand) -> int:
        """Return how many tasks may be placed here."""
        max_tasks = self.tasks_left
        if demand.cpu:
            max_tasks = min(max_tasks, self.cpu // demand.cpu)
        if demand.memory:
            max_tasks = min(max_tasks, self.memory // demand.memory)
        if demand.accelerators:
            max_tasks = min(
                max_tasks, self.accelerators // demand.accelerators
            )
        return max_tasks


def _rank_zones(
    step: state.StepState, options: list[_Option], needed: int
) -> dict[str, int]:
    """Return the place of each zone for a step, the first one 0.

    Zones with room for all its tasks go first, of those the one where the
    job has run; then the ones with the most room.
    """
    demand = step.spec.booked
    candidate: dict[str, int] = {}
    for option in options:
        zone = option.candidate.entry.zone
        candidate[zone] = candidate.get(zone, 0) + option.max_tasks(demand)
    job = step.job

    def sort_key(zone: str) -> tuple[bool, bool, int]:
        if candidate[zone] < needed:
            return True, zone != job.zone, -candidate[zone]
        return False, zone != job.zone, _stable_hash(job.job_id, zone)

    return {
        zone: rank for rank, zone in enumerate(sorted(candidate, key=sort_key))
    }


def _stable_hash(job_id: str, zone: str) -> int:
    """Return a number that is always the same for a job and a zone."""
    return zlib.crc32(f'{job_id}/{zone}'.encode())


def _place_by_cost(
    step: state.StepState, tasks: list[state.Task], candidates: list[Candidate]
) -> list[Choice]:
    demand = step.spec.booked
    found = [
        _Option(step, candidate)
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
        return _pack(step, tasks, options, zones)

    def cost(option: _Option) -> tuple[float, ...]:
        zone = zones.get(option.candidate.entry.zone, 0)
        return _cost(step, option, demand, zone)

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
    """Tell whether the tasks of a step go to as few endpoints as possible."""
    spec = step.spec
    return not (spec.long_running or spec.fills or spec.booked.accelerators)


def _pack(
    step: state.StepState,
    tasks: list[state.Task],
    options: list[_Option],
    zones: dict[str, int],
) -> list[Choice]:
    """Fill the endpoints that take the most of the tasks, one by one."""
    demand = step.spec.booked
    needed = len(tasks)

    def cost(option: _Option) -> tuple[float, ...]:
        candidate = option.candidate
        fitting = min(option.max_tasks(demand), needed)
        avoid = _is_far_from_data(step, candidate) or candidate.slow
        return (
            avoid,
            zones[candidate.entry.zone],
            -fitting,
            option.cpu,
            candidate.number,
        )

    choices: list[Choice] = []
    for option in sorted(options, key=cost):
        while len(choices) < needed and option.fits(demand):
            option.allocate(demand)
            choices.append(Choice(tasks[len(choices)], option.candidate))
    return choices


def _all_or_none(
    step: state.StepState, tasks: list[state.Task], candidates: list[Candidate]
) -> list[Choice]:
    choices = _place_by_cost(step, tasks, candidates)
    return choices if len(choices) == len(tasks) else []


def _in_one_rack(
    step: state.StepState, tasks: list[state.Task], candidates: list[Candidate]
) -> list[Choice]:
    racks: dict[str, list[Candidate]] = {}
    for candidate in candidates:
        racks.setdefault(candidate.entry.rack, []).append(candidate)
    for members in sorted(racks.values(), key=len):
        choices = _all_or_none(step, tasks, members)
        if choices:
            return choices
    return _all_or_none(step, tasks, candidates)


def _cost(
    step: state.StepState, option: _Option, demand: model.Demand, zone: int
) -> tuple[float, ...]:
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
        far or candidate.slow,
        zone,
        best_effort,
        option.accelerators - demand.accelerators,
        option.cpu - demand.cpu,
    )


def _is_far_from_data(step: state.StepState, candidate: Candidate) -> bool:
    """Tell whether a room isn't in the rack of the step's data."""
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
