"""Compute with resource amounts as plain tuples.

The order is processors, memory, accelerators, slots, connections.
"""

from hibiscusslip.model import resources

Vector = tuple[int, int, int, int, int]
ZERO: Vector = (0, 0, 0, 0, 0)
DIMENSIONS = ('processors', 'memory', 'accelerators', 'slots', 'connections')
ACCELERATORS = 2


def from_resources(amount: resources.Resources) -> Vector:
    """Return the vector of a `Resources`."""
    return (
        amount.cpu_milli,
        amount.memory_mb,
        amount.accelerators,
        amount.slots,
        amount.connections,
    )


def to_resources(vector: Vector) -> resources.Resources:
    """Return the `Resources` of a vector."""
    return resources.Resources(*vector)


def fits(need: Vector, available: Vector) -> bool:
    """Return True if `need` fits into `available` in every dimension."""
    return (
        need[0] <= available[0]
        and need[1] <= available[1]
        and need[2] <= available[2]
        and need[3] <= available[3]
        and need[4] <= available[4]
    )


def clamp_negative(a: Vector) -> Vector:
    """Return the vector with negative values replaced by 0."""
    return (
        a[0] if a[0] > 0 else 0,
        a[1] if a[1] > 0 else 0,
        a[2] if a[2] > 0 else 0,
        a[3] if a[3] > 0 else 0,
        a[4] if a[4] > 0 else 0,
    )


def add(a: Vector, b: Vector) -> Vector:
    """Return the sum."""
    return (
        a[0] + b[0],
        a[1] + b[1],
        a[2] + b[2],
        a[3] + b[3],
        a[4] + b[4],
    )


def sub(a: Vector, b: Vector) -> Vector:
    """Return the difference, which may be negative."""
    return (
        a[0] - b[0],
        a[1] - b[1],
        a[2] - b[2],
        a[3] - b[3],
        a[4] - b[4],
    )


def scale(a: Vector, factor: float) -> Vector:
    """Return the product, truncated to integers."""
    return (
        int(a[0] * factor),
        int(a[1] * factor),
        int(a[2] * factor),
        int(a[3] * factor),
        int(a[4] * factor),
    )


def minimum(a: Vector, b: Vector) -> Vector:
    """Return the smaller value of each dimension."""
    return (
        a[0] if a[0] < b[0] else b[0],
        a[1] if a[1] < b[1] else b[1],
        a[2] if a[2] < b[2] else b[2],
        a[3] if a[3] < b[3] else b[3],
        a[4] if a[4] < b[4] else b[4],
    )


def maximum(a: Vector, b: Vector) -> Vector:
    """Return the larger value of each dimension."""
    return (
        a[0] if a[0] > b[0] else b[0],
        a[1] if a[1] > b[1] else b[1],
        a[2] if a[2] > b[2] else b[2],
        a[3] if a[3] > b[3] else b[3],
        a[4] if a[4] > b[4] else b[4],
    )


def exceeded_dimensions(need: Vector, available: Vector) -> list[str]:
    """Return the names of the dimensions in which `need` doesn't fit."""
    rows = zip(DIMENSIONS, need, available, strict=True)
    return [name for name, part, whole in rows if part > whole]
