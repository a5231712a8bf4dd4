"""Book tasks on the endpoints of a shard."""

import collections
import dataclasses
import random

from hibiscusslip.model import places
from hibiscusslip.model import resources
from hibiscusslip.scheduler import _accelerators
from hibiscusslip.scheduler import _index
from hibiscusslip.scheduler import _reserve
from hibiscusslip.scheduler import _vector


@dataclasses.dataclass(slots=True, eq=False)
class Room:
    """Hold what an endpoint has and what is booked on it.

    `free` is negative where runs were adopted beyond the capacity.
    """

    name: str
    rack: str
    capacity: _vector.Vector
    free: _vector.Vector
    state: places.EndpointState
    order: int
    trusted: bool = True
    fenced: bool = False
    position: int = 0
    tasks: dict[str, _vector.Vector] = dataclasses.field(default_factory=dict)
    bucket: _index.Key | None = None

    @property
    def live(self) -> bool:
        """Tell whether the endpoint takes new work."""
        return self.state is places.EndpointState.LIVE

    @property
    def usable(self) -> bool:
        """Tell whether it takes new work and isn't suspected."""
        return self.state is places.EndpointState.LIVE and self.trusted

    @property
    def open(self) -> bool:
        """Tell whether it is usable and not kept for a gang."""
        return self.usable and not self.fenced


class Book:
    """Book tasks so that no endpoint is given more than it has."""

    def __init__(self) -> None:
        self.rooms: dict[str, Room] = {}
        self.racks: dict[str, dict[str, Room]] = {}
        self.where: dict[str, Room] = {}
        self.guard = _accelerators.Guard()
        self.reserve = _reserve.Reserve(self.guard)
        self._all: list[Room] = []
        self.index = _index.Index()
        self.capacity = _vector.ZERO
        self.elsewhere: list[resources.Resources] = []
        self.capacities: collections.Counter[_vector.Vector] = (
            collections.Counter()
        )
        self._order = 0

    def set_endpoint(self, info: places.EndpointInfo) -> Room:
        """Add an endpoint or change its state and capacity."""
        capacity = _vector.of(info.capacity)
        room = self.rooms.get(info.name)
        if room is None:
            room = self._add(info.name)
        used = _vector.sub(room.capacity, room.free)
        self._count(room, -1)
        self._move_rack(room, info.rack)
        room.capacity = capacity
        room.free = _vector.sub(capacity, used)
        room.state = info.state
        self._count(room, 1)
        self.refresh(room)
        return room

    def remove(self, name: str) -> list[str]:
        """Drop an endpoint and return the tasks booked on it."""
        room = self.rooms.get(name)
        if room is None:
            return []
        tasks = list(room.tasks)
        last = self._all.pop()
        if last is not room:
            self._all[room.position] = last
            last.position = room.position
        self._count(room, -1)
        self.reserve.forget(room)
        self.index.remove(room)
        self.racks[room.rack].pop(name, None)
        del self.rooms[name]
        for task in tasks:
            del self.where[task]
        return tasks

    def book(self, task: str, name: str, need: _vector.Vector) -> Room:
        """Book a task; the caller has checked that it may land here."""
        room = self.rooms.get(name)
        if room is None:
            room = self._add(name)
        room.tasks[task] = need
        room.free = _vector.sub(room.free, need)
        self.where[task] = room
        self.refresh(room)
        return room

    def unbook(self, task: str) -> Room | None:
        """Free what a task held and return where."""
        room = self.where.pop(task, None)
        if room is None:
            return None
        need = room.tasks.pop(task)
        room.free = _vector.add(room.free, need)
        self.refresh(room)
        return room

    def admits(self, room: Room, need: _vector.Vector) -> bool:
        """Tell whether `need` fits and strands no accelerators."""
        fits = _vector.fits(need, room.free)
        return fits and self.guard.allows(need, room.free)

    def sample(self, number: int, rng: random.Random) -> list[Room]:
        """Return some endpoints at random."""
        if len(self._all) <= number:
            return list(self._all)
        return rng.sample(self._all, number)

    def could_fit(self, need: _vector.Vector) -> bool:
        """Tell whether a live endpoint could ever hold `need`."""
        return any(_vector.fits(need, room) for room in self.capacities)

    def fits_elsewhere(self, need: _vector.Vector) -> bool:
        """Tell whether an endpoint of another shard could hold `need`."""
        return any(
            _vector.fits(need, _vector.of(size)) for size in self.elsewhere
        )

    def refresh(self, room: Room) -> None:
        """Put an endpoint where the index expects its free room."""
        self.reserve.update(room)
        if room.open:
            self.index.put(room)
        else:
            self.index.remove(room)

    def _add(self, name: str) -> Room:
        self._order += 1
        room = Room(
            name,
            '',
            _vector.ZERO,
            _vector.ZERO,
            places.EndpointState.GONE,
            self._order,
        )
        room.position = len(self._all)
        self._all.append(room)
        self.rooms[name] = room
        self.racks.setdefault('', {})[name] = room
        return room

    def _move_rack(self, room: Room, rack: str) -> None:
        if room.rack == rack:
            return
        self.racks[room.rack].pop(room.name, None)
        room.rack = rack
        self.racks.setdefault(rack, {})[room.name] = room

    def _count(self, room: Room, sign: int) -> None:
        if room.state is not places.EndpointState.LIVE:
            return
        part = _vector.scale(room.capacity, sign)
        self.capacity = _vector.add(self.capacity, part)
        self.capacities[room.capacity] += sign
        if not self.capacities[room.capacity]:
            del self.capacities[room.capacity]
