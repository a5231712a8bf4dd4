"""Group demands of about the same size."""

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
        self.blocked = 0

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
        )
        found = self._numbers.get(key)
        if found is None:
            found = self._new(key)
        low = self._lowest[found]
        self._lowest[found] = _vector.least(low, need) if low else need
        return found

    def _new(self, key: tuple[int, ...]) -> int:
        if len(self._lowest) >= MAX_SHAPES:
            return CATCH_ALL
        number = len(self._lowest)
        self._numbers[key] = number
        self._lowest.append(None)
        return number

    def block(self, number: int) -> None:
        """Skip a shape until room is freed."""
        self.blocked |= 1 << number

    def freed(self, free: _vector.Vector) -> None:
        """Unblock the shapes that may fit into an endpoint's free room."""
        mask = self.blocked
        while mask:
            bit = mask & -mask
            mask ^= bit
            low = self._lowest[bit.bit_length() - 1]
            if low is None or _vector.fits(low, free):
                self.blocked ^= bit

    def unblock_all(self) -> None:
        """Try every shape again."""
        self.blocked = 0
