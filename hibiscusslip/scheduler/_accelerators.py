"""Prevent work without accelerators from stranding free accelerators.

An accelerator is stranded if its endpoint lacks the free processors, memory
or slots for a task to use it.
"""

import math

from hibiscusslip.scheduler import _vector

DEMAND_TTL_S = 300.0
EWMA_WEIGHT = 0.05


class StrandingGuard:
    """Reserve the processors, memory and slots that each accelerator needs.

    They are moving averages over the submitted tasks that need accelerators.
    Nothing is reserved after `DEMAND_TTL_S` without such a task.
    """

    def __init__(self) -> None:
        self._cpu = 0.0
        self._memory = 0.0
        self._slots = 0.0
        self._expires_at = -math.inf
        self._now = 0.0

    def record_demand(self, need: _vector.Vector, now: float) -> None:
        """Update the estimates from the demand of one task."""
        self._now = now
        number = need[_vector.ACCELERATORS]
        if number <= 0:
            return
        weight = EWMA_WEIGHT if self._slots else 1.0
        self._cpu += weight * (need[0] / number - self._cpu)
        self._memory += weight * (need[1] / number - self._memory)
        self._slots += weight * (need[3] / number - self._slots)
        self._expires_at = now + DEMAND_TTL_S

    def set_now(self, now: float) -> None:
        """Set the present time of a scheduling pass."""
        self._now = now

    def reserved_for(self, number: int) -> _vector.Vector:
        """Return what is reserved for work on `number` free accelerators."""
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
        """Return True if `need` would strand no free accelerator."""
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
