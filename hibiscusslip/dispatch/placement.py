"""Choose endpoints for the tasks of one step."""

import dataclasses

from hibiscusslip.dispatch import model
from hibiscusslip.dispatch import progress
from hibiscusslip.dispatch import state


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Hold one task and where to run it."""

    task: state.Task
    endpoint: state.Endpoint


def allowed(
    step: state.StepState, endpoint: state.Endpoint, now: float
) -> bool:
    """Tell whether a step's label and trust let it run on an endpoint."""
    if not endpoint.usable(now):
        return False
    assert endpoint.entry is not None
    label = step.spec.label
    return not label or label in endpoint.entry.labels


def placed_on(step: state.StepState, endpoint: str) -> int:
    """Return how many tasks of a step are placed on an endpoint."""
    return sum(t.status.placed and t.endpoint == endpoint for t in step.tasks)


def choose(
    step: state.StepState,
    tasks: list[state.Task],
    endpoints: list[state.Endpoint],
    now: float,
) -> list[Choice]:
    """Return places for tasks, best fit first; a gang gets all or none."""
    if step.spec.same_rack:
        return _in_one_rack(step, tasks, endpoints, now)
    if step.spec.gang:
        return _all_or_none(step, tasks, endpoints, now)
    return _one_by_one(step, tasks, endpoints, now)


class _Room:
    """Count down the room of an endpoint while tasks are placed."""

    __slots__ = ('endpoint', 'free', 'left', 'slow')

    def __init__(
        self, step: state.StepState, endpoint: state.Endpoint, now: float
    ):
        self.slow = progress.is_slow(endpoint, now)
        self.endpoint = endpoint
        self.free = endpoint.free()
        spread = step.spec.spread
        self.left = len(step.tasks)
        if spread:
            self.left = spread - placed_on(step, endpoint.name)

    def take(self, demand: model.Demand) -> None:
        """Place one task here."""
        self.free = self.free - demand
        self.left -= 1

    def fits(self, demand: model.Demand) -> bool:
        """Tell whether one more task may be placed here."""
        return self.left > 0 and demand.fits(self.free)


def _one_by_one(
    step: state.StepState,
    tasks: list[state.Task],
    endpoints: list[state.Endpoint],
    now: float,
) -> list[Choice]:
    demand = step.spec.booked
    rooms = [_Room(step, endpoint, now) for endpoint in endpoints]
    choices = []
    for task in tasks:
        fitting = [room for room in rooms if room.fits(demand)]
        if not fitting:
            break
        best = min(fitting, key=lambda room: _cost(step, room, demand))
        best.take(demand)
        choices.append(Choice(task, best.endpoint))
    return choices


def _all_or_none(
    step: state.StepState,
    tasks: list[state.Task],
    endpoints: list[state.Endpoint],
    now: float,
) -> list[Choice]:
    choices = _one_by_one(step, tasks, endpoints, now)
    return choices if len(choices) == len(tasks) else []


def _in_one_rack(
    step: state.StepState,
    tasks: list[state.Task],
    endpoints: list[state.Endpoint],
    now: float,
) -> list[Choice]:
    racks: dict[str, list[state.Endpoint]] = {}
    for endpoint in endpoints:
        assert endpoint.entry is not None
        racks.setdefault(endpoint.entry.rack, []).append(endpoint)
    for members in sorted(racks.values(), key=len):
        choices = _all_or_none(step, tasks, members, now)
        if choices:
            return choices
    return _all_or_none(step, tasks, endpoints, now)


def _cost(
    step: state.StepState, room: _Room, demand: model.Demand
) -> tuple[float, ...]:
    entry = room.endpoint.entry
    assert entry is not None
    far = bool(step.spec.rack) and step.spec.rack != entry.rack
    free = room.free
    if step.spec.fills:
        return (far, room.slow, _serving(room.endpoint), -free.cpu)
    noise = _filling(room.endpoint) if step.spec.tail_target else 0
    return (
        far or room.slow,
        noise,
        free.accelerators - demand.accelerators,
        free.cpu - demand.cpu,
    )


def _serving(endpoint: state.Endpoint) -> int:
    return sum(
        booking.task is not None and bool(booking.task.step.spec.tail_target)
        for booking in endpoint.bookings.values()
    )


def _filling(endpoint: state.Endpoint) -> int:
    return sum(
        booking.task is not None and booking.task.step.spec.fills
        for booking in endpoint.bookings.values()
    )
