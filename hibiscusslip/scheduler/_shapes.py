"""Group demands of about the same size."""

import bisect

from hibiscusslip.scheduler import _index
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _vector

MAX_SHAPES = 512
CATCH_ALL = 0


class Shapes:
    """Number the shapes of jobs and keep the smallest demand of each.

    A shape that has found no room is blocked for all jobs that share it,
    until an endpoint frees enough.
    """

    def __init__(self) -> None:
        self._numbers: dict[tuple[int, ...], int] = {}
        self._lowest: list[_vector.Vector | None] = [None]
        self._tables: list[tuple[list[int], list[int]]] = []
        self.blocked = 0
        self._revived: dict[str, int] = {}
        self.all = 1
        self.short = 0
        self._accelerated = 1 << CATCH_ALL
        self.version = 0

    def number(self, job: _jobs.Job) -> int:
        """Return the shape of a job."""
        need = job.demand
        tasks = job.spec.tasks.bit_length() if job.gang else 0
        key = (
            _index.level(need[0]),
            _index.level(need[1]),
            need[2],
            need[3],
            need[4],
            tasks,
            int(job.spread),
            int(job.short),
        )
        found = self._numbers.get(key)
        if found is None:
            found = self._new(key)
        low = self._lowest[found]
        if low is None or not _vector.fits(low, need):
            self._lowest[found] = _vector.least(low or need, need)
            self._tables = []
            self.version += 1
        return found

    def _new(self, key: tuple[int, ...]) -> int:
        if len(self._lowest) >= MAX_SHAPES:
            return CATCH_ALL
        number = len(self._lowest)
        self._numbers[key] = number
        self._lowest.append(None)
        self.all |= 1 << number
        if key[-1]:
            self.short |= 1 << number
        if key[_vector.ACCELERATORS]:
            self._accelerated |= 1 << number
        return number

    def block(self, number: int) -> None:
        """Skip a shape until room is freed."""
        self.blocked |= 1 << number

    def freed(
        self, name: str, free: _vector.Vector, plain: _vector.Vector
    ) -> None:
        """Unblock the shapes that may fit into an endpoint's free room."""
        if self.blocked:
            candidates = self.blocked
            for mask in self._revived.values():
                candidates |= mask
            revived = candidates & self._fitting(free, plain)
            self._revived[name] = revived
            self.blocked &= ~revived

    def booked(
        self, name: str, free: _vector.Vector, plain: _vector.Vector
    ) -> None:
        """Block again what the endpoint had unblocked and can't take now."""
        revived = self._revived.get(name)
        if not revived:
            return
        kept = revived & self._fitting(free, plain)
        self._revived[name] = kept
        others = 0
        for mask in self._revived.values():
            others |= mask
        self.blocked |= revived & ~others

    def settle(self) -> None:
        """Forget which endpoints unblocked what, at the end of a round."""
        self._revived.clear()

    def _fitting(self, free: _vector.Vector, plain: _vector.Vector) -> int:
        fitting = self.fitting(free)
        if plain is not free:
            fitting &= self._accelerated | self.fitting(plain)
        return fitting

    def unblock_all(self) -> None:
        """Try every shape again."""
        self.blocked = 0

    def fitting(self, room: _vector.Vector) -> int:
        """Return the mask of the shapes that may fit into `room`."""
        if not self._tables:
            self._tables = [self._table(i) for i in range(len(room))]
        mask = self.all
        for (values, masks), have in zip(self._tables, room, strict=True):
            mask &= masks[bisect.bisect_right(values, have)]
        return mask

    def _table(self, dimension: int) -> tuple[list[int], list[int]]:
        lows = [(low or _vector.ZERO)[dimension] for low in self._lowest]
        order = sorted(range(len(lows)), key=lows.__getitem__)
        masks = [0]
        for number in order:
            masks.append(masks[-1] | 1 << number)
        return [lows[number] for number in order], masks
