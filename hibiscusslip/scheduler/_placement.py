"""Choose an endpoint for a task."""

import abc
import collections.abc

from hibiscusslip.scheduler import _endpoints
from hibiscusslip.scheduler import _vector

CANDIDATES = 8
RACKS_TRIED = 16

Counts = collections.abc.Mapping[str, int]


class Placement(abc.ABC):
    """Choose where a task lands among the endpoints with room."""

    @abc.abstractmethod
    def choose(
        self, book: _endpoints.Book, need: _vector.Vector
    ) -> _endpoints.Room | None:
        """Return an endpoint with room for `need`, None without one."""

    def choose_apart(
        self, book: _endpoints.Book, need: _vector.Vector, racks: Counts
    ) -> _endpoints.Room | None:
        """Return an endpoint in a rack that holds the fewest of a job."""
        names = sorted(book.racks, key=lambda name: racks.get(name, 0))
        for name in names[:RACKS_TRIED]:
            rooms = book.racks[name].values()
            fit = [r for r in rooms if r.open and book.admits(r, need)]
            if fit:
                return max(fit, key=lambda r: (r.free[3], -r.order))
        return self.choose(book, need)


class FirstFit(Placement):
    """Take the first endpoint with room, in the order they came."""

    def choose(
        self, book: _endpoints.Book, need: _vector.Vector
    ) -> _endpoints.Room | None:
        """Return the oldest endpoint with room."""
        for room in book.rooms.values():
            if room.open and _vector.fits(need, room.free):
                return room
        return None

    def choose_apart(
        self, book: _endpoints.Book, need: _vector.Vector, racks: Counts
    ) -> _endpoints.Room | None:
        """Return the oldest endpoint with room, in whatever rack."""
        return self.choose(book, need)


class _Scored(Placement):
    """Take the endpoint with the best score in the tightest bucket."""

    def choose(
        self, book: _endpoints.Book, need: _vector.Vector
    ) -> _endpoints.Room | None:
        """Return the endpoint with the lowest score of the first found."""
        for found in book.index.candidates(need):
            rooms = self._admitted(book, found, need)
            if rooms:
                return min(rooms, key=lambda r: (self.score(r, need), r.order))
        return None

    @staticmethod
    def _admitted(
        book: _endpoints.Book,
        found: list[_endpoints.Room],
        need: _vector.Vector,
    ) -> list[_endpoints.Room]:
        if need[_vector.ACCELERATORS]:
            return found[:CANDIDATES]
        allows = book.guard.allows
        admitted = []
        for room in found:
            if allows(need, room.free):
                admitted.append(room)
                if len(admitted) == CANDIDATES:
                    break
        return admitted

    @abc.abstractmethod
    def score(self, room: _endpoints.Room, need: _vector.Vector) -> float:
        """Return how badly a task suits an endpoint."""


class BestFit(_Scored):
    """Leave the least room behind."""

    def score(self, room: _endpoints.Room, need: _vector.Vector) -> float:
        """Return the sum of the fractions that stay free."""
        left = zip(room.free, need, room.capacity, strict=True)
        return sum((f - n) / c for f, n, c in left if c)


class Alignment(_Scored):
    """Leave the dimensions of an endpoint evenly free."""

    def score(self, room: _endpoints.Room, need: _vector.Vector) -> float:
        """Return how far apart the fractions that stay free are."""
        left = zip(room.free, need, room.capacity, strict=True)
        parts = [(f - n) / c for f, n, c in left if c]
        return max(parts) - min(parts) + sum(parts) / len(parts)
