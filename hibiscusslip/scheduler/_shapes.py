"""Group jobs into shapes: classes of similar demands.

Sets of shapes are bit masks: bit n stands for shape n.
"""

import bisect

from hibiscusslip.scheduler import _index
from hibiscusslip.scheduler import _jobs
from hibiscusslip.scheduler import _vector

MAX_SHAPES = 512
CATCH_ALL = 0


class Shapes:
    """Number the shapes of jobs and track the smallest demand of each.

    A shape that fits no endpoint is blocked for all jobs that share it until
    an endpoint frees enough. `version` grows when a smallest demand decreases.
    Once there are `MAX_SHAPES`, new demands share the shape `CATCH_ALL`.
    """

    def __init__(self) -> None:
        self._shape_by_key: dict[tuple[int, ...], int] = {}
        self._min_demands: list[_vector.Vector | None] = [None]
        self._tables: list[tuple[list[int], list[int]]] = []
        self.blocked = 0
        self._unblocked_by: dict[str, int] = {}
        self.all_shapes = 1
        self.short_shapes = 0
        self._accelerator_shapes = 1 << CATCH_ALL
        self.version = 0

    def shape_of(self, job: _jobs.Job) -> int:
        """Return the shape of a job."""
        need = job.demand
        tasks = job.spec.tasks.bit_length() if job.gang else 0
        key = (
            _index.log_bucket(need[0]),
            _index.log_bucket(need[1]),
            need[2],
            need[3],
            need[4],
            tasks,
            int(job.spread),
            int(job.short),
        )
        shape = self._shape_by_key.get(key)
        if shape is None:
            shape = self._add_shape(key)
        minimum = self._min_demands[shape]
        if minimum is None or not _vector.fits(minimum, need):
            self._min_demands[shape] = _vector.minimum(minimum or need, need)
            self._tables = []
            self.version += 1
        return shape

    def _add_shape(self, key: tuple[int, ...]) -> int:
        if len(self._min_demands) >= MAX_SHAPES:
            return CATCH_ALL
        shape = len(self._min_demands)
        self._shape_by_key[key] = shape
        self._min_demands.append(None)
        self.all_shapes |= 1 << shape
        if key[-1]:
            self.short_shapes |= 1 << shape
        if key[_vector.ACCELERATORS]:
            self._accelerator_shapes |= 1 << shape
        return shape

    def block(self, shape: int) -> None:
        """Block a shape until capacity is freed."""
        self.blocked |= 1 << shape

    def handle_freed(
        self, name: str, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> None:
        """Unblock the shapes that may fit an endpoint's free capacity."""
        if self.blocked:
            candidates = self.blocked
            for mask in self._unblocked_by.values():
                candidates |= mask
            unblocked = candidates & self._shapes_fitting(free, cpu_only_free)
            self._unblocked_by[name] = unblocked
            self.blocked &= ~unblocked

    def handle_allocated(
        self, name: str, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> None:
        """Block the shapes again that the endpoint no longer fits.

        Shapes that another endpoint has unblocked in this pass stay unblocked.
        """
        unblocked = self._unblocked_by.get(name)
        if not unblocked:
            return
        still_fitting = unblocked & self._shapes_fitting(free, cpu_only_free)
        self._unblocked_by[name] = still_fitting
        unblocked_by_others = 0
        for mask in self._unblocked_by.values():
            unblocked_by_others |= mask
        self.blocked |= unblocked & ~unblocked_by_others

    def end_pass(self) -> None:
        """Forget which endpoints unblocked which shapes in this pass."""
        self._unblocked_by.clear()

    def _shapes_fitting(
        self, free: _vector.Vector, cpu_only_free: _vector.Vector
    ) -> int:
        fitting = self.shapes_fitting(free)
        if cpu_only_free is not free:
            fitting &= self._accelerator_shapes | self.shapes_fitting(
                cpu_only_free
            )
        return fitting

    def unblock_all(self) -> None:
        """Unblock every shape."""
        self.blocked = 0

    def shapes_fitting(self, available: _vector.Vector) -> int:
        """Return the mask of the shapes that may fit into `available`."""
        if not self._tables:
            self._tables = [self._table(i) for i in range(len(available))]
        mask = self.all_shapes
        for (values, masks), amount in zip(
            self._tables, available, strict=True
        ):
            mask &= masks[bisect.bisect_right(values, amount)]
        return mask

    def _table(self, dimension: int) -> tuple[list[int], list[int]]:
        minimums = [
            (minimum or _vector.ZERO)[dimension]
            for minimum in self._min_demands
        ]
        order = sorted(range(len(minimums)), key=minimums.__getitem__)
        masks = [0]
        for shape in order:
            masks.append(masks[-1] | 1 << shape)
        return [minimums[shape] for shape in order], masks
