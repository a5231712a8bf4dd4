"""Keep enough beside free accelerators for the work that needs them."""

import math

from hibiscusslip.scheduler import _vector

DEMAND_TTL_S = 300.0
EWMA_WEIGHT = 0.05


class StrandingGuard:
    """Learn what work takes along with each accelerator, and keep it.

    Without such work lately nothing is kept.
    """

    def __init__(self) -> None:
        self._cpu = 0.0
        self._memory = 0.0
        self._slots = 0.0
        self._expires_at = -math.inf
        self._now = 0.0

    def record_demand(self, need: _vector.Vector, now: float) -> None:
        """Learn from a demand."""
        self._now = now
        number = need[_vector.ACCELERATORS]
        if number <= 0:
            return
        ewma_weight = EWMA_WEIGHT if self._slots else 1.0
        self._cpu += ewma_weight * (need[0] / number - self._cpu)
        self._memory += ewma_weight * (need[1] / number - self._memory)
        self._slots += ewma_weight * (need[3] / number - self._slots)
        self._expires_at = now + DEMAND_TTL_S

    def set_now(self, now: float) -> None:
        """Take the present time of a round of decisions."""
        self._now = now

    def reserved_for(self, number: int) -> _vector.Vector:
        """Return what is kept beside a number of free accelerators."""
        if self._now > self._expires_at or number <= 0:
            return _vector.ZERO
        return (
            int(number * self._cpu),
            int(number * self._memory),
            0,
            math.ceil(number * self._slots),
            0,
        )

    def allows(self, need: _vector.Vector, free: _vector.Vector) -> bool:
        """Tell whether `need` leaves what free accelerators will want."""
        number = free[_vector.ACCELERATORS]
        if number <= 0 or need[_vector.ACCELERATORS] > 0:
            return True
        if self._now > self._expires_at:
            return True
        return (
            free[0] - need[0] >= number * self._cpu
            and free[1] - need[1] >= number * self._memory
            and free[3] - need[3] >= math.ceil(number * self._slots)
        )
