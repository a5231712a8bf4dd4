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


class _Left:
    """Count down what is left of a room as tasks are placed."""

    __slots__ = ('accelerators', 'cpu', 'memory')

    def __init__(self, cpu: int, memory: int, accelerators: int) -> None:
        self.cpu = cpu
        self.memory = memory
        self.accelerators = accelerators

    def take(self, demand: model.Demand) -> None:
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


class Room(_Left):
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


class Rooms:
    """Hold the rooms of a service during one round of planning.

    `widest` is the most processors that one endpoint has, in use or not.
    """

    def __init__(
        self,
        pool: list[state.Endpoint],
        doubts: _suspicion.Doubts,
        now: float,
    ) -> None:
        self.all = [
            Room(endpoint, number, now)
            for number, endpoint in enumerate(pool)
            if endpoint.usable(now) and doubts.clear(endpoint)
        ]
        self._by_name = {room.endpoint.name: room for room in self.all}
        self._largest = model.Demand(
            max((room.cpu for room in self.all), default=-1),
            max((room.memory for room in self.all), default=-1),
            max((room.accelerators for room in self.all), default=-1),
        )
        self.widest = max(
            (e.entry.capacity.cpu for e in pool if e.entry is not None),
            default=0,
        )

    def may_fit(self, demand: model.Demand) -> bool:
        """Tell, at no cost, whether some room may be large enough.

        It counts with the room at the begin of the round.
        """
        return demand.fits(self._largest)

    def allowed(
        self, step: state.StepState, tickets: dict[str, str] | None
    ) -> list[Room]:
        """Return the rooms that a step's label, and its tickets, allow."""
        rooms = self.all
        if tickets is not None:
            known = self._by_name
            rooms = [known[name] for name in tickets if name in known]
        label = step.spec.label
        if not label:
            return rooms
        return [room for room in rooms if label in room.entry.labels]


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Hold one task and where to run it."""

    task: state.Task
    room: Room

    @property
    def endpoint(self) -> state.Endpoint:
        """Return the endpoint of the room."""
        return self.room.endpoint


def placed_on(step: state.StepState, endpoint: str) -> int:
    """Return how many tasks of a step are placed on an endpoint."""
    return sum(t.status.placed and t.endpoint == endpoint for t in step.tasks)


def choose(
    step: state.StepState, tasks: list[state.Task], rooms: list[Room]
) -> list[Choice]:
    """Return places for tasks, best fit first; a gang gets all or none."""
    if step.spec.same_rack:
        return _in_one_rack(step, tasks, rooms)
    if step.spec.gang:
        return _all_or_none(step, tasks, rooms)
    return _one_by_one(step, tasks, rooms)


class _Slot(_Left):
    """Count down a room while the tasks of one step are placed."""

    __slots__ = ('left', 'room')

    def __init__(self, step: state.StepState, room: Room) -> None:
        super().__init__(room.cpu, room.memory, room.accelerators)
        self.room = room
        spread = step.spec.spread
        self.left = len(step.tasks)
        if spread:
            self.left = spread - placed_on(step, room.endpoint.name)

    def take(self, demand: model.Demand) -> None:
        """Place one task here."""
        super().take(demand)
        self.left -= 1

    def fits(self, demand: model.Demand) -> bool:
        """Tell whether one more task may be placed here."""
        return self.left > 0 and super().fits(demand)

    def most(self, demand: model.Demand) -> int:
        """Return how many tasks may be placed here."""
        most = self.left
        if demand.cpu:
            most = min(most, self.cpu // demand.cpu)
        if demand.memory:
            most = min(most, self.memory // demand.memory)
        if demand.accelerators:
            most = min(most, self.accelerators // demand.accelerators)
        return most


def _zone_order(
    step: state.StepState, slots: list[_Slot], needed: int
) -> dict[str, int]:
    """Return the place of each zone for a step, the first one 0.

    Zones with room for all its tasks go first, of those the one where the
    job has run; then the ones with the most room.
    """
    demand = step.spec.booked
    room: dict[str, int] = {}
    for slot in slots:
        zone = slot.room.entry.zone
        room[zone] = room.get(zone, 0) + slot.most(demand)
    job = step.job

    def place(zone: str) -> tuple[bool, bool, int]:
        if room[zone] < needed:
            return True, zone != job.zone, -room[zone]
        return False, zone != job.zone, _luck(job.job_id, zone)

    return {zone: rank for rank, zone in enumerate(sorted(room, key=place))}


def _luck(job_id: str, zone: str) -> int:
    """Return a number that is always the same for a job and a zone."""
    return zlib.crc32(f'{job_id}/{zone}'.encode())


def _one_by_one(
    step: state.StepState, tasks: list[state.Task], rooms: list[Room]
) -> list[Choice]:
    demand = step.spec.booked
    found = [_Slot(step, room) for room in rooms if room.fits(demand)]
    slots = [slot for slot in found if slot.left > 0]
    zones = (
        {} if step.spec.long_running else _zone_order(step, slots, len(tasks))
    )
    if _is_compact(step):
        return _on_few(step, tasks, slots, zones)

    def cost(slot: _Slot) -> tuple[float, ...]:
        zone = zones.get(slot.room.entry.zone, 0)
        return _cost(step, slot, demand, zone)

    heap = [(cost(slot), slot.room.number, slot) for slot in slots]
    heapq.heapify(heap)
    choices: list[Choice] = []
    while heap and len(choices) < len(tasks):
        _, number, slot = heapq.heappop(heap)
        slot.take(demand)
        choices.append(Choice(tasks[len(choices)], slot.room))
        if slot.fits(demand):
            heapq.heappush(heap, (cost(slot), number, slot))
    return choices


def _is_compact(step: state.StepState) -> bool:
    """Tell whether the tasks of a step go to as few endpoints as possible."""
    spec = step.spec
    return not (spec.long_running or spec.fills or spec.booked.accelerators)


def _on_few(
    step: state.StepState,
    tasks: list[state.Task],
    slots: list[_Slot],
    zones: dict[str, int],
) -> list[Choice]:
    """Fill the endpoints that take the most of the tasks, one by one."""
    demand = step.spec.booked
    needed = len(tasks)

    def cost(slot: _Slot) -> tuple[float, ...]:
        room = slot.room
        takes = min(slot.most(demand), needed)
        bad = _is_far(step, room) or room.slow
        return bad, zones[room.entry.zone], -takes, slot.cpu, room.number

    choices: list[Choice] = []
    for slot in sorted(slots, key=cost):
        while len(choices) < needed and slot.fits(demand):
            slot.take(demand)
            choices.append(Choice(tasks[len(choices)], slot.room))
    return choices


def _all_or_none(
    step: state.StepState, tasks: list[state.Task], rooms: list[Room]
) -> list[Choice]:
    choices = _one_by_one(step, tasks, rooms)
    return choices if len(choices) == len(tasks) else []


def _in_one_rack(
    step: state.StepState, tasks: list[state.Task], rooms: list[Room]
) -> list[Choice]:
    racks: dict[str, list[Room]] = {}
    for room in rooms:
        racks.setdefault(room.entry.rack, []).append(room)
    for members in sorted(racks.values(), key=len):
        choices = _all_or_none(step, tasks, members)
        if choices:
            return choices
    return _all_or_none(step, tasks, rooms)


def _cost(
    step: state.StepState, slot: _Slot, demand: model.Demand, zone: int
) -> tuple[float, ...]:
    room = slot.room
    far = _is_far(step, room)
    if step.spec.fills:
        return (far, room.slow, zone, _serving(room.endpoint), -slot.cpu)
    noise = _filling(room.endpoint) if step.spec.tail_latency_target else 0
    return (
        far or room.slow,
        zone,
        noise,
        slot.accelerators - demand.accelerators,
        slot.cpu - demand.cpu,
    )


def _is_far(step: state.StepState, room: Room) -> bool:
    """Tell whether a room isn't in the rack of the step's data."""
    return bool(step.spec.rack) and step.spec.rack != room.entry.rack


def _serving(endpoint: state.Endpoint) -> int:
    return sum(
        booking.task is not None
        and bool(booking.task.step.spec.tail_latency_target)
        for booking in endpoint.allocations.values()
    )


def _filling(endpoint: state.Endpoint) -> int:
    return sum(
        booking.task is not None and booking.task.step.spec.fills
        for booking in endpoint.allocations.values()
    )
